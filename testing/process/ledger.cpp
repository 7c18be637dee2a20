#include "testing/process/ledger.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <unordered_map>
#include <unordered_set>

namespace dotterelrouter::testing
{
namespace
{

using nlohmann::json;

/// Returns the complete lines that log the given event.
std::vector<json> read_events(std::string_view path, std::string_view event)
{
    std::ifstream in{std::string{path}};
    std::vector<json> lines;
    std::string text;
    while (std::getline(in, text) && !in.eof())
    {
        // The log lines of the runtime go to the same file.
        if (text.empty() || text.front() != '{')
        {
            continue;
        }
        auto line = json::parse(text);
        if (line.at("event") == event)
        {
            lines.push_back(std::move(line));
        }
    }
    return lines;
}

std::string string_field(json const& line, char const* name)
{
    return line.at(name).get<std::string>();
}

std::string flow_id(json const& line)
{
    return string_field(line, "caller") + ">" + string_field(line, "address");
}

std::string request_id(json const& line)
{
    return flow_id(line) + "#" + line.at("request").dump();
}

wall_time event_time(json const& line)
{
    return wall_time{duration{line.at("wall_ns").get<std::int64_t>()}};
}

std::uint64_t count_field(json const& line, char const* name)
{
    return line.at(name).get<std::uint64_t>();
}

summary_record parse_summary(json const& line)
{
    summary_record summary;
    summary.plan = string_field(line, "plan");
    summary.issued = count_field(line, "issued");
    summary.answered = count_field(line, "answered");
    summary.refused_not_run = count_field(line, "refused_not_run");
    summary.refused_may_have_run = count_field(line, "refused_may_have_run");
    summary.told_run = count_field(line, "told_run");
    summary.incomplete = count_field(line, "incomplete");
    summary.unanswered = count_field(line, "unanswered");
    summary.wrong = count_field(line, "wrong");
    summary.contradicted = count_field(line, "contradicted");
    summary.flows_moved = count_field(line, "flows_moved");
    return summary;
}

} // namespace

std::vector<run_record> read_runs(std::string_view path)
{
    std::vector<run_record> runs;
    for (auto const& line : read_events(path, "run"))
    {
        runs.push_back({.server = string_field(line, "server"),
                        .flow = flow_id(line),
                        .request = request_id(line),
                        .address = string_field(line, "address"),
                        .new_flow = line.at("new_flow").get<bool>(),
                        .time = event_time(line)});
    }
    return runs;
}

std::vector<call_record> read_calls(std::string_view path)
{
    std::vector<call_record> calls;
    for (auto const& line : read_events(path, "call"))
    {
        calls.push_back({.plan = string_field(line, "plan"),
                         .flow = flow_id(line),
                         .request = request_id(line),
                         .outcome = string_field(line, "outcome"),
                         .reason = string_field(line, "reason"),
                         .time = event_time(line)});
    }
    return calls;
}

std::vector<summary_record> read_summaries(std::string_view path)
{
    std::vector<summary_record> summaries;
    for (auto const& line : read_events(path, "summary"))
    {
        summaries.push_back(parse_summary(line));
    }
    return summaries;
}

std::size_t count_misrouted(std::string_view path)
{
    return read_events(path, "misrouted").size();
}

audit_result audit(std::span<run_record const> runs,
                   std::span<call_record const> calls,
                   std::span<std::string const> non_idempotent_addresses)
{
    audit_result found;
    std::unordered_set<std::string> run_requests;
    for (auto const& run : runs)
    {
        auto const is_first = run_requests.insert(run.request).second;
        auto const is_non_idempotent =
            std::ranges::find(non_idempotent_addresses, run.address) !=
            non_idempotent_addresses.end();
        if (!is_first && is_non_idempotent)
        {
            found.duplicate_runs.push_back(run.request);
        }
    }
    for (auto const& call : calls)
    {
        auto const has_run = run_requests.contains(call.request);
        if (call.outcome == "refused_not_run" && has_run)
        {
            found.runs_refused_as_not_run.push_back(call.request);
        }
        if (call.outcome == "answered" && !has_run)
        {
            found.responses_without_run.push_back(call.request);
        }
    }
    return found;
}

} // namespace dotterelrouter::testing
