#include "testing/forwarding/model_store.hpp"

#include <algorithm>
#include <iterator>

namespace dotterelrouter::testing
{
namespace
{

/// Number of changes that the store keeps for watches.
constexpr std::size_t max_history_size = 40;
/// Number of copies that are kept.
constexpr std::size_t max_copies = 120;

} // namespace

store_revision model_store::next_revision()
{
    ++contents_.revision.value;
    return contents_.revision;
}

void model_store::add_to_history(changed_record const& record)
{
    auto& history = contents_.history;
    history.emplace_back(contents_.revision.value, record);
    if (history.size() > max_history_size)
    {
        contents_.history_start =
            std::max(contents_.history_start, history.front().first);
        history.erase(history.begin());
    }
}

void model_store::write_server(server_record record)
{
    record.revision = next_revision();
    auto const* const existing = find(record.name);
    record.created =
        existing == nullptr ? record.revision.value : existing->created;
    contents_.servers[record.name] = record;
    add_to_history(record);
}

void model_store::remove_server(std::string const& name)
{
    if (contents_.servers.erase(name) == 0)
    {
        return;
    }
    server_record removed;
    removed.name = name;
    removed.revision = next_revision();
    add_to_history(removed);
}

void model_store::write_routes(route_table table)
{
    table.revision = next_revision();
    contents_.routes = std::make_shared<route_table const>(std::move(table));
}

void model_store::write_evacuation(std::string const& data_centre)
{
    evacuation_record const record{.name = data_centre,
                                   .data_centre = {id_from_name(data_centre)},
                                   .active = true,
                                   .revision = next_revision()};
    contents_.evacuations[data_centre] = record;
    add_to_history(record);
}

void model_store::remove_evacuation(std::string const& data_centre)
{
    if (contents_.evacuations.erase(data_centre) == 0)
    {
        return;
    }
    add_to_history(evacuation_record{.name = data_centre,
                                     .data_centre = {id_from_name(data_centre)},
                                     .revision = next_revision()});
}

void model_store::erase_history()
{
    contents_.history_start = contents_.revision.value;
}

void model_store::save_copy(steady_time now)
{
    copies_[now] = contents_;
    if (copies_.size() > max_copies)
    {
        copies_.erase(copies_.begin());
    }
}

void model_store::roll_back_to(steady_time latest)
{
    auto const after = copies_.upper_bound(latest);
    if (after == copies_.begin())
    {
        return;
    }
    auto const era = contents_.revision.era;
    contents_ = std::prev(after)->second;
    contents_.revision.era = era + 1;
    copies_.erase(after, copies_.end());
}

server_record const* model_store::find(std::string const& name) const
{
    auto const found = contents_.servers.find(name);
    return found == contents_.servers.end() ? nullptr : &found->second;
}

std::vector<std::string> model_store::server_names() const
{
    std::vector<std::string> names;
    for (auto const& [name, record] : contents_.servers)
    {
        names.push_back(name);
    }
    return names;
}

/// Responses of the store name the era in which they are given, also for
/// entries that were written before.
directory_update model_store::snapshot() const
{
    directory_update update{.through = contents_.revision,
                            .lists_evacuations = true};
    if (contents_.routes)
    {
        auto table = std::make_shared<route_table>(*contents_.routes);
        table->revision.era = contents_.revision.era;
        update.routes = std::move(table);
    }
    for (auto const& [name, record] : contents_.servers)
    {
        update.servers.push_back(record);
        update.servers.back().revision.era = contents_.revision.era;
    }
    for (auto const& [name, record] : contents_.evacuations)
    {
        update.evacuations.push_back(record);
        update.evacuations.back().revision.era = contents_.revision.era;
    }
    return update;
}

std::optional<directory_update>
model_store::changes_after(store_revision after) const
{
    if (after.value < contents_.history_start ||
        after.value > contents_.revision.value)
    {
        return std::nullopt;
    }
    directory_update update{.through = contents_.revision,
                            .lists_evacuations = true};
    if (contents_.routes && contents_.routes->revision.value > after.value)
    {
        update.routes = snapshot().routes;
    }
    auto const add = [&](auto& records, auto const& record)
    {
        records.push_back(record);
        records.back().revision.era = contents_.revision.era;
    };
    for (auto const& [revision, record] : contents_.history)
    {
        if (revision <= after.value)
        {
            continue;
        }
        if (auto const* const server = std::get_if<server_record>(&record))
        {
            add(update.servers, *server);
        }
        else
        {
            add(update.evacuations, std::get<evacuation_record>(record));
        }
    }
    return update;
}

} // namespace dotterelrouter::testing
