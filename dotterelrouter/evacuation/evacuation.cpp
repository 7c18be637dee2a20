#include "dotterelrouter/evacuation/evacuation.hpp"

namespace dotterelrouter
{
namespace
{

void log_change(decision type,
                evacuation_record const& record,
                std::string_view reason,
                forwarder_effects& out)
{
    out.push_back(log_decision{.type = type,
                               .subject = record.name,
                               .reason = reason,
                               .revision = record.revision});
}

} // namespace

void evacuation_list::on_update(directory_update const& update,
                                instant now,
                                forwarder_effects& out)
{
    auto const is_newer = update.through > through_;
    through_ = std::max(through_, update.through);
    for (auto const& record : update.evacuations)
    {
        merge(record, now, out);
    }
    if (!update.lists_evacuations)
    {
        is_complete_ = is_complete_ && !is_newer;
    }
    else if (update.complete)
    {
        end_unlisted(update, now, out);
        complete_through_ = std::max(complete_through_, update.through);
        is_complete_ = is_complete_ || update.through == through_;
    }
    limit_earlier_eras(now);
    rebuild_active();
}

evacuation_list::entry* evacuation_list::find(std::string_view name)
{
    auto const found =
        std::ranges::find_if(entries_,
                             [name](entry const& candidate)
                             {
                                 return candidate.record.name == name;
                             });
    return found == entries_.end() ? nullptr : &*found;
}

void evacuation_list::merge(evacuation_record const& record,
                            instant now,
                            forwarder_effects& out)
{
    auto* existing = find(record.name);
    // A record with a time limit is one that the store lost, whose absence from
    // a complete update says nothing.
    auto const has_ended =
        record.revision <= complete_through_ && !record.expires_in;
    if (existing == nullptr ? has_ended
                            : record.revision <= existing->record.revision)
    {
        return;
    }
    auto const was_active = existing != nullptr && existing->record.active;
    auto& merged = existing == nullptr ? entries_.emplace_back() : *existing;
    merged.record = record;
    merged.record.expires_in.reset();
    merged.expires_at.reset();
    if (!record.active || record.expires_in)
    {
        merged.expires_at =
            now.steady +
            std::clamp(record.expires_in.value_or(evacuation_retention_period),
                       duration::zero(),
                       evacuation_retention_period);
    }
    if (record.active != was_active)
    {
        log_change(record.active ? decision::data_centre_evacuated
                                 : decision::data_centre_returned,
                   record,
                   record.active ? "requested by the operator"
                                 : "withdrawn by the operator",
                   out);
    }
}

void evacuation_list::end_unlisted(directory_update const& update,
                                   instant now,
                                   forwarder_effects& out)
{
    for (auto& candidate : entries_)
    {
        auto& record = candidate.record;
        auto const is_listed = std::ranges::count(update.evacuations,
                                                  record.name,
                                                  &evacuation_record::name) > 0;
        if (record.active && !is_listed && record.revision < update.through &&
            record.revision.era == update.through.era)
        {
            record.revision = update.through;
            end(candidate, "no longer in the store", now, out);
        }
    }
}

void evacuation_list::limit_earlier_eras(instant now)
{
    for (auto& candidate : entries_)
    {
        if (!candidate.expires_at &&
            candidate.record.revision.era < through_.era)
        {
            candidate.expires_at = now.steady + evacuation_retention_period;
        }
    }
}

void evacuation_list::end(entry& ended,
                          std::string_view reason,
                          instant now,
                          forwarder_effects& out)
{
    ended.record.active = false;
    ended.expires_at = now.steady + evacuation_retention_period;
    log_change(decision::data_centre_returned, ended.record, reason, out);
}

void evacuation_list::rebuild_active()
{
    active_.clear();
    for (auto const& candidate : entries_)
    {
        if (candidate.record.active)
        {
            active_.push_back(candidate.record);
        }
    }
}

void evacuation_list::on_timer(instant now, forwarder_effects& out)
{
    auto const is_due = [now](entry const& candidate)
    {
        return candidate.expires_at && *candidate.expires_at <= now.steady;
    };
    for (auto& candidate : entries_)
    {
        if (is_due(candidate) && candidate.record.active)
        {
            end(candidate, "lost by the store and not listed again", now, out);
        }
        else if (is_due(candidate))
        {
            erased_through_ =
                std::max(erased_through_, candidate.record.revision);
        }
    }
    std::erase_if(entries_, is_due);
    rebuild_active();
}

std::optional<steady_time> evacuation_list::next_timer_at() const
{
    std::optional<steady_time> next;
    for (auto const& candidate : entries_)
    {
        if (candidate.expires_at && (!next || *candidate.expires_at < *next))
        {
            next = candidate.expires_at;
        }
    }
    return next;
}

std::vector<evacuation_record>
evacuation_list::changes_after(store_revision after, instant now) const
{
    auto const newest_era = std::max(through_.era, after.era);
    std::vector<evacuation_record> changes;
    for (auto const& candidate : entries_)
    {
        auto const may_be_lost = candidate.record.revision.era < newest_era;
        if (candidate.record.revision <= after && !may_be_lost)
        {
            continue;
        }
        auto& record = changes.emplace_back(candidate.record);
        if (may_be_lost)
        {
            auto const expires_at = candidate.expires_at.value_or(
                now.steady + evacuation_retention_period);
            record.expires_in =
                std::max(duration::zero(), duration{expires_at - now.steady});
        }
    }
    return changes;
}

} // namespace dotterelrouter
