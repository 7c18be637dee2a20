#include "testing/forwarding/shared_load_fleet.hpp"

#include <utility>
#include <variant>

namespace dotterelrouter::testing
{
namespace
{

using namespace std::chrono_literals;

constexpr std::uint32_t first_ip = 0x0a010001;
constexpr std::uint16_t heartbeat_port = 7720;
constexpr duration message_delay = 1ms;
/// Time that the store holds a watch without changes.
constexpr duration watch_time = 500ms;
constexpr std::size_t seed_count = 3;

} // namespace

shared_load_fleet::shared_load_fleet(shared_load_settings settings)
    : settings_(std::move(settings))
{
    std::vector<endpoint> seeds;
    for (auto const& data_centre : settings_.data_centres)
    {
        auto const index = static_cast<std::uint32_t>(members_.size());
        members_.push_back({.address = {first_ip + index, heartbeat_port},
                            .data_centre = data_centre});
        if (seeds.size() < seed_count)
        {
            seeds.push_back(members_.back().address);
        }
    }
    for (std::size_t index = 0; index < members_.size(); ++index)
    {
        auto& started = members_[index];
        started.reducer = std::make_unique<forwarder>(forwarder_settings{
            .heartbeat_endpoint = started.address,
            .data_centre = started.data_centre,
            .incarnation = index + 1,
            .seeds = seeds,
            .is_first_start = true,
            .load_sharing = settings_.shares_load
                                ? std::optional{load_sharing_settings{}}
                                : std::nullopt});
        // Processes don't start at the same instant.
        schedule(index * 37ms % 250ms,
                 [this, index]
                 {
                     deliver(index, timer_fired{});
                 });
    }
}

void shared_load_fleet::advance(duration time)
{
    auto const until = now_.steady + time;
    while (!actions_.empty() && actions_.top().due <= until)
    {
        auto const next = actions_.top();
        actions_.pop();
        now_.wall += next.due - now_.steady;
        now_.steady = next.due;
        next.action();
    }
    now_.wall += until - now_.steady;
    now_.steady = until;
}

void shared_load_fleet::schedule(duration delay, std::function<void()> action)
{
    actions_.push({now_.steady + delay, action_count_++, std::move(action)});
}

std::optional<forward_packet>
shared_load_fleet::send(std::size_t index, packet_arrived const& arrived)
{
    forwarded_.reset();
    deliver(index, arrived);
    return forwarded_;
}

void shared_load_fleet::deliver(std::size_t index,
                                forwarder_event const& next_event)
{
    forwarder_effects effects;
    members_[index].reducer->reduce(next_event, now_, effects);
    for (auto const& effect : effects)
    {
        std::visit(
            [&](auto const& concrete_effect)
            {
                execute(index, concrete_effect);
            },
            effect);
    }
}

void shared_load_fleet::post(endpoint to, forwarder_event next_event)
{
    schedule(message_delay,
             [this, to, next_event = std::move(next_event)]
             {
                 deliver(index_of(to), next_event);
             });
}

std::size_t shared_load_fleet::index_of(endpoint address) const
{
    return address.ip - first_ip;
}

void shared_load_fleet::execute(std::size_t index,
                                send_heartbeat const& requested_effect)
{
    post(
        requested_effect.destination,
        heartbeat_received{members_[index].address, *requested_effect.message});
}

void shared_load_fleet::execute(std::size_t index,
                                send_load_report const& requested_effect)
{
    post(requested_effect.destination,
         load_report_received{members_[index].address,
                              *requested_effect.report});
}

void shared_load_fleet::execute(std::size_t index,
                                read_snapshot const& /*requested_effect*/)
{
    snapshot_page_read page;
    page.update.through = {10};
    page.update.complete = true;
    page.update.servers = settings_.servers;
    page.update.routes = settings_.routes;
    post(members_[index].address, std::move(page));
}

void shared_load_fleet::execute(std::size_t index,
                                watch_changes const& /*requested_effect*/)
{
    schedule(watch_time,
             [this, index]
             {
                 changes_read changes;
                 changes.update.through = {10};
                 deliver(index, changes);
             });
}

void shared_load_fleet::execute(std::size_t index,
                                set_timer const& requested_effect)
{
    auto const generation = ++members_[index].timer_generation;
    schedule(requested_effect.deadline - now_.steady,
             [this, index, generation]
             {
                 if (members_[index].timer_generation == generation)
                 {
                     deliver(index, timer_fired{});
                 }
             });
}

void shared_load_fleet::execute(std::size_t /*index*/,
                                forward_packet const& requested_effect)
{
    forwarded_ = requested_effect;
}

} // namespace dotterelrouter::testing
