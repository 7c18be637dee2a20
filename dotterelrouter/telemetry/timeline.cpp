#include "dotterelrouter/telemetry/internal/timeline.hpp"

#include "dotterelrouter/telemetry/internal/names.hpp"

#include <nlohmann/json.hpp>

namespace dotterelrouter
{

namespace
{

nlohmann::ordered_json to_json_object(timeline_record const& record)
{
    nlohmann::ordered_json object;
    object["time_ns"] = record.time.time_since_epoch().count();
    object["step"] = name_of(record.effect.type);
    object["subject"] = record.effect.subject;
    object["cause"] = record.effect.cause;
    object["detail"] = record.effect.detail;
    return object;
}

} // namespace

timeline::timeline(std::string_view process, std::size_t max_records)
    : process_(process), max_records_(max_records)
{
    records_.reserve(max_records);
}

void timeline::add(wall_time time, record_timeline_event const& timeline_effect)
{
    if (records_.size() < max_records_)
    {
        records_.push_back({time, timeline_effect});
    }
    else
    {
        records_[added_count_ % max_records_] = {time, timeline_effect};
    }
    ++added_count_;
}

std::string timeline::to_json(wall_time since) const
{
    auto records = nlohmann::ordered_json::array();
    auto const overwritten_count = added_count_ - records_.size();
    for (auto i = overwritten_count; i < added_count_; ++i)
    {
        auto const& record = records_[i % max_records_];
        if (record.time >= since)
        {
            records.push_back(to_json_object(record));
        }
    }
    nlohmann::ordered_json object;
    object["process"] = process_;
    object["overwritten"] = overwritten_count;
    object["records"] = std::move(records);
    return object.dump();
}

} // namespace dotterelrouter
