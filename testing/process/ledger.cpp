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

/// The finished lines that tell of one event.
std::vector<json> read_lines(std::string_view path, std::string_view event)
{
    std::ifstream in{std::string{path}};
    std::vector<json> lines;
    std::string text;
    while (std::getline(in, text) && !in.eof())
    {
        // Log lines of the runtime share the file.
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

std::string text_of(json const& line, char const* name)
{
    return line.at(name).get<std::string>();
}

std::string flow_of(json const& line)
{
    return text_of(line, "caller") + ">" + text_of(line, "address");
}

std::string request_of(json const& line)
{
    return flow_of(line) + "#" + line.at("request").dump();
}

wall_time when_of(json const& line)
{
    return wall_time{duration{line.at("wall_ns").get<std::int64_t>()}};
}

std::uint64_t count_of(json const& line, char const* name)
{
    return line.at(name).get<std::uint64_t>();
}

summary_line summary_of(json const& line)
{
    summary_line summary;
    summary.plan = text_of(line, "plan");
    summary.issued = count_of(line, "issued");
    summary.answered = count_of(line, "answered");
    summary.refused_not_run = count_of(line, "refused_not_run");
    summary.refused_may_have_run = count_of(line, "refused_may_have_run");
    summary.told_run = count_of(line, "told_run");
    summary.incomplete = count_of(line, "incomplete");
    summary.unanswered = count_of(line, "unanswered");
    summary.wrong = count_of(line, "wrong");
    summary.contradicted = count_of(line, "contradicted");
    summary.flows_moved = count_of(line, "flows_moved");
    return summary;
}

} // namespace

std::vector<run_line> read_runs(std::string_view path)
{
    std::vector<run_line> runs;
    for (auto const& line : read_lines(path, "run"))
    {
        runs.push_back({.server = text_of(line, "server"),
                        .flow = flow_of(line),
                        .request = request_of(line),
                        .address = text_of(line, "address"),
                        .new_flow = line.at("new_flow").get<bool>(),
                        .when = when_of(line)});
    }
    return runs;
}

std::vector<call_line> read_calls(std::string_view path)
{
    std::vector<call_line> calls;
    for (auto const& line : read_lines(path, "call"))
    {
        calls.push_back({.plan = text_of(line, "plan"),
                         .flow = flow_of(line),
                         .request = request_of(line),
                         .outcome = text_of(line, "outcome"),
                         .reason = text_of(line, "reason"),
                         .when = when_of(line)});
    }
    return calls;
}

std::vector<summary_line> read_summaries(std::string_view path)
{
    std::vector<summary_line> summaries;
    for (auto const& line : read_lines(path, "summary"))
    {
        summaries.push_back(summary_of(line));
    }
    return summaries;
}

std::size_t count_misrouted(std::string_view path)
{
    return read_lines(path, "misrouted").size();
}

audit_result audit(std::span<run_line const> runs,
                   std::span<call_line const> calls,
                   std::span<std::string const> once_addresses)
{
    audit_result found;
    std::unordered_set<std::string> ran;
    for (auto const& run : runs)
    {
        auto const is_first = ran.insert(run.request).second;
        auto const once = std::ranges::find(once_addresses, run.address) !=
                          once_addresses.end();
        if (!is_first && once)
        {
            found.doubled.push_back(run.request);
        }
    }
    for (auto const& call : calls)
    {
        auto const has_run = ran.contains(call.request);
        if (call.outcome == "refused_not_run" && has_run)
        {
            found.ran_though_not_run.push_back(call.request);
        }
        if (call.outcome == "answered" && !has_run)
        {
            found.answered_unrun.push_back(call.request);
        }
    }
    return found;
}

} // namespace dotterelrouter::testing
