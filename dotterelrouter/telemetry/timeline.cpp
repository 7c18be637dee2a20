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
    object["time_ns"] = record.when.time_since_epoch().count();
    object["step"] = name_of(record.step.what);
    object["subject"] = record.step.subject;
    object["cause"] = record.step.cause;
    object["detail"] = record.step.detail;
    return object;
}

} // namespace

timeline::timeline(std::string_view process, std::size_t capacity)
    : process_(process), capacity_(capacity)
{
    records_.reserve(capacity);
}

void timeline::add(wall_time when, record_step const& record)
{
    if (records_.size() < capacity_)
    {
        records_.push_back({when, record});
    }
    else
    {
        records_[added_ % capacity_] = {when, record};
    }
    ++added_;
}

std::string timeline::to_json(wall_time since) const
{
    auto list = nlohmann::ordered_json::array();
    auto const first = added_ - records_.size();
    for (auto i = first; i < added_; ++i)
    {
        auto const& record = records_[i % capacity_];
        if (record.when >= since)
        {
            list.push_back(to_json_object(record));
        }
    }
    nlohmann::ordered_json whole;
    whole["process"] = process_;
    whole["overwritten"] = first;
    whole["records"] = std::move(list);
    return whole.dump();
}

} // namespace dotterelrouter
