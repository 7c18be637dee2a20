#include "dotterelrouter/telemetry/internal/decision_log.hpp"

#include <nlohmann/json.hpp>

#include <chrono>

namespace dotterelrouter
{
namespace
{

constexpr auto budget_period = std::chrono::seconds{1};

/// What a record is about, and which budget it takes from.
enum class record_class : std::uint8_t
{
    good_flow,
    bad_flow,
    belief
};

record_class class_of(decision what)
{
    switch (what)
    {
    case decision::flow_opened:
        return record_class::good_flow;
    case decision::flow_tried_again:
    case decision::flow_refused:
    case decision::flow_not_opened:
    case decision::flow_unfinished:
    case decision::flow_token_unknown:
        return record_class::bad_flow;
    default:
        return record_class::belief;
    }
}

std::string to_line(nlohmann::ordered_json const& record)
{
    constexpr int no_indent = -1;
    return record.dump(no_indent,
                       ' ',
                       false,
                       nlohmann::ordered_json::error_handler_t::replace);
}

constexpr std::array<std::uint32_t, 3> budgets{
    decision_log::good_flows_per_second,
    decision_log::bad_flows_per_second,
    decision_log::beliefs_per_second};

double milliseconds_of(duration length)
{
    return std::chrono::duration<double, std::milli>{length}.count();
}

} // namespace

std::string_view name_of(decision what)
{
    switch (what)
    {
    case decision::started:
        return "started";
    case decision::stopping:
        return "stopping";
    case decision::stopped:
        return "stopped";
    case decision::settings_reloaded:
        return "settings_reloaded";
    case decision::resumed:
        return "resumed";
    case decision::readiness_changed:
        return "readiness_changed";
    case decision::store_lost:
        return "store_lost";
    case decision::store_restored:
        return "store_restored";
    case decision::reader_changed:
        return "reader_changed";
    case decision::directory_lost:
        return "directory_lost";
    case decision::directory_restored:
        return "directory_restored";
    case decision::routes_in_force:
        return "routes_in_force";
    case decision::server_changed:
        return "server_changed";
    case decision::entry_unreadable:
        return "entry_unreadable";
    case decision::peer_found:
        return "peer_found";
    case decision::peer_lost:
        return "peer_lost";
    case decision::server_suspected:
        return "server_suspected";
    case decision::server_answers:
        return "server_answers";
    case decision::data_centre_suspected:
        return "data_centre_suspected";
    case decision::data_centre_answers:
        return "data_centre_answers";
    case decision::flow_opened:
        return "flow_opened";
    case decision::flow_tried_again:
        return "flow_tried_again";
    case decision::flow_refused:
        return "flow_refused";
    case decision::flow_not_opened:
        return "flow_not_opened";
    case decision::flow_unfinished:
        return "flow_unfinished";
    case decision::flow_token_unknown:
        return "flow_token_unknown";
    case decision::invariant_broken:
        return "invariant_broken";
    }
    return "unknown";
}

std::string
to_json(log_decision const& record, instant now, std::string_view process)
{
    nlohmann::ordered_json line;
    line["time_ns"] = now.wall.time_since_epoch().count();
    line["process"] = process;
    line["event"] = name_of(record.what);
    if (record.flow)
    {
        line["flow"] = to_string(record.flow->caller) + ">" +
                       to_string(record.flow->service_address);
    }
    auto const put_text = [&line](char const* name, std::string_view text)
    {
        if (!text.empty())
        {
            line[name] = text;
        }
    };
    auto const put_number = [&line](char const* name, auto const& number)
    {
        if (number)
        {
            line[name] = *number;
        }
    };
    put_text("request", record.request_id);
    put_text("subject", record.subject);
    put_text("reason", record.reason);
    put_number("version", record.version);
    put_number("revision", record.revision);
    if (record.age)
    {
        line["age_ms"] = milliseconds_of(*record.age);
    }
    put_number("load", record.load);
    put_number("count", record.count);
    return to_line(line);
}

decision_log::decision_log(std::string_view process, int descriptor)
    : process_(process), output_(descriptor), left_(budgets)
{
}

void decision_log::begin_second(instant now)
{
    second_ = now.steady;
    left_ = budgets;
    if (suppressed() == reported_)
    {
        return;
    }
    nlohmann::ordered_json line;
    line["time_ns"] = now.wall.time_since_epoch().count();
    line["process"] = process_;
    line["event"] = "log_suppressed";
    line["count"] = suppressed() - reported_;
    reported_ = suppressed();
    output_.add(to_line(line));
}

void decision_log::record(log_decision const& one, instant now)
{
    if (now.steady - second_ >= budget_period)
    {
        begin_second(now);
    }
    auto& left = left_[static_cast<std::size_t>(class_of(one.what))];
    if (left == 0)
    {
        ++suppressed_;
        return;
    }
    --left;
    output_.add(to_json(one, now, process_));
}

} // namespace dotterelrouter
