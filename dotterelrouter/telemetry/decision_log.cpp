#include "dotterelrouter/telemetry/internal/decision_log.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <cstddef>

namespace dotterelrouter
{
namespace
{

constexpr auto rate_limit_interval = std::chrono::seconds{1};

/// Class of a record. Each class has a rate limit of its own.
enum class record_class : std::uint8_t
{
    flow_success,
    flow_problem,
    state_change
};

record_class record_class_of(decision type)
{
    switch (type)
    {
    case decision::flow_opened:
        return record_class::flow_success;
    case decision::flow_tried_again:
    case decision::flow_refused:
    case decision::flow_not_opened:
    case decision::flow_unfinished:
    case decision::flow_token_unknown:
    case decision::flow_bound:
    case decision::flow_rebound:
    case decision::flow_binding_unconfirmed:
    case decision::flow_ambiguous:
        return record_class::flow_problem;
    default:
        return record_class::state_change;
    }
}

std::string to_single_line(nlohmann::ordered_json const& record)
{
    constexpr int no_indent = -1;
    return record.dump(no_indent,
                       ' ',
                       false,
                       nlohmann::ordered_json::error_handler_t::replace);
}

/// Name of each decision, indexed by `decision`.
constexpr std::array decision_names{
    std::string_view{"started"},
    std::string_view{"stopping"},
    std::string_view{"stopped"},
    std::string_view{"settings_reloaded"},
    std::string_view{"resumed"},
    std::string_view{"readiness_changed"},
    std::string_view{"store_lost"},
    std::string_view{"store_restored"},
    std::string_view{"store_rolled_back"},
    std::string_view{"snapshot_read"},
    std::string_view{"reader_changed"},
    std::string_view{"directory_lost"},
    std::string_view{"directory_restored"},
    std::string_view{"routes_in_force"},
    std::string_view{"server_changed"},
    std::string_view{"token_shared"},
    std::string_view{"entry_unreadable"},
    std::string_view{"peer_found"},
    std::string_view{"peer_lost"},
    std::string_view{"server_suspected"},
    std::string_view{"server_answers"},
    std::string_view{"data_centre_suspected"},
    std::string_view{"data_centre_answers"},
    std::string_view{"flow_opened"},
    std::string_view{"flow_tried_again"},
    std::string_view{"flow_refused"},
    std::string_view{"flow_not_opened"},
    std::string_view{"flow_unfinished"},
    std::string_view{"flow_token_unknown"},
    std::string_view{"flow_bound"},
    std::string_view{"flow_rebound"},
    std::string_view{"flow_binding_unconfirmed"},
    std::string_view{"flow_ambiguous"},
    std::string_view{"data_centre_evacuated"},
    std::string_view{"data_centre_returned"},
    std::string_view{"evacuation_completed"},
    std::string_view{"cold_limit_reached"},
    std::string_view{"spillover_changed"},
    std::string_view{"shedding_changed"},
    std::string_view{"invariant_broken"},
};
static_assert(decision_names.size() ==
              static_cast<std::size_t>(decision::invariant_broken) + 1);

/// Maximum number of records per interval, indexed by `record_class`.
constexpr std::array<std::uint32_t, 3> max_records_per_interval{
    decision_log::max_flow_success_records_per_second,
    decision_log::max_flow_problem_records_per_second,
    decision_log::max_state_change_records_per_second};

double to_milliseconds(duration value)
{
    return std::chrono::duration<double, std::milli>{value}.count();
}

} // namespace

std::string_view name_of(decision type)
{
    auto const index = static_cast<std::size_t>(type);
    return index < decision_names.size() ? decision_names[index] : "unknown";
}

std::string
to_json(log_decision const& record, instant now, std::string_view process)
{
    nlohmann::ordered_json object;
    object["time_ns"] = now.wall.time_since_epoch().count();
    object["process"] = process;
    object["event"] = name_of(record.type);
    if (record.flow)
    {
        object["flow"] = to_string(record.flow->caller) + ">" +
                         to_string(record.flow->service_address);
    }
    auto const put_text_if_set =
        [&object](char const* key, std::string_view text)
    {
        if (!text.empty())
        {
            object[key] = text;
        }
    };
    auto const put_number_if_set =
        [&object](char const* key, auto const& number)
    {
        if (number)
        {
            object[key] = *number;
        }
    };
    put_text_if_set("request", record.request_id);
    put_text_if_set("subject", record.subject);
    put_text_if_set("reason", record.reason);
    put_number_if_set("version", record.version);
    if (record.revision)
    {
        object["revision"] = record.revision->value;
    }
    if (record.revision && record.revision->era != 0)
    {
        object["era"] = record.revision->era;
    }
    if (record.age)
    {
        object["age_ms"] = to_milliseconds(*record.age);
    }
    put_number_if_set("load", record.load);
    put_number_if_set("count", record.count);
    return to_single_line(object);
}

decision_log::decision_log(std::string_view process, int descriptor)
    : process_(process), output_(descriptor),
      remaining_records_(max_records_per_interval)
{
}

void decision_log::start_rate_limit_interval(instant now)
{
    interval_start_ = now.steady;
    remaining_records_ = max_records_per_interval;
    if (suppressed_records() == reported_suppressed_records_)
    {
        return;
    }
    nlohmann::ordered_json object;
    object["time_ns"] = now.wall.time_since_epoch().count();
    object["process"] = process_;
    object["event"] = "log_suppressed";
    object["count"] = suppressed_records() - reported_suppressed_records_;
    reported_suppressed_records_ = suppressed_records();
    output_.append_line(to_single_line(object));
}

void decision_log::record(log_decision const& record, instant now)
{
    if (now.steady - interval_start_ >= rate_limit_interval)
    {
        start_rate_limit_interval(now);
    }
    auto& remaining = remaining_records_[static_cast<std::size_t>(
        record_class_of(record.type))];
    if (remaining == 0)
    {
        ++rate_limited_records_;
        return;
    }
    --remaining;
    output_.append_line(to_json(record, now, process_));
}

} // namespace dotterelrouter
