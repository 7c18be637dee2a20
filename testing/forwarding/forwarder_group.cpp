#include "testing/forwarding/forwarder_group.hpp"

#include <algorithm>
#include <array>

namespace dotterelrouter::testing
{
namespace
{

using namespace std::chrono_literals;

constexpr duration message_delay = 500us;
constexpr std::uint32_t handshake_sequence = 500000;

constexpr unsigned bits_per_byte = 8;

/// Returns the bytes of the packets from a port. They have static storage
/// duration.
byte_view bytes_of_port(std::uint16_t port)
{
    constexpr std::size_t port_count = 65536;
    static std::array<std::array<std::byte, 2>, port_count> bytes{};
    bytes[port] = {static_cast<std::byte>(port >> bits_per_byte),
                   static_cast<std::byte>(port)};
    return bytes[port];
}

/// Returns the port of a packet with such bytes; 0 if it has others.
std::uint16_t port_of(byte_view bytes)
{
    return bytes.size() == 2
               ? static_cast<std::uint16_t>(std::to_integer<unsigned>(bytes[0])
                                                << bits_per_byte |
                                            std::to_integer<unsigned>(bytes[1]))
               : std::uint16_t{0};
}

/// Returns records of the servers 1 to `count`.
std::vector<server_record> make_server_records(std::uint32_t count)
{
    std::vector<server_record> records;
    for (std::uint32_t number = 1; number <= count; ++number)
    {
        records.push_back(make_server_record(number, 0));
    }
    return records;
}

} // namespace

forwarder_group::forwarder_group(std::vector<std::string> data_centres,
                                 std::uint32_t server_count)
    : forwarder_group(std::move(data_centres),
                      make_server_records(server_count))
{
}

forwarder_group
forwarder_group::in_two_halves(std::vector<std::string> data_centres,
                               std::uint32_t server_count)
{
    return {std::move(data_centres),
            make_server_records(server_count),
            max_token_hash_bits,
            {},
            true};
}

forwarder_group::forwarder_group(std::vector<std::string> data_centres,
                                 std::vector<server_record> servers,
                                 unsigned token_hash_bits,
                                 group_cold_limits cold_limits,
                                 bool is_halved)
    : token_hash_bits_(token_hash_bits), cold_limits_(cold_limits)
{
    write_store(std::move(servers));
    for (std::size_t index = 0; index < data_centres.size(); ++index)
    {
        members_.push_back(
            {.address = {0x0a010001 + static_cast<std::uint32_t>(index), 7720},
             .data_centre = std::move(data_centres[index])});
    }
    first_size_ = members_.size();
    for (std::size_t even = 0; is_halved && even < first_size_; even += 2)
    {
        for (std::size_t odd = 1; odd < first_size_; odd += 2)
        {
            cut(even, odd);
        }
    }
    for (std::size_t index = 0; index < members_.size(); ++index)
    {
        start(index);
    }
    advance(2s);
}

void forwarder_group::start(std::size_t index)
{
    auto& started = members_[index];
    started.reducer = std::make_unique<forwarder>(forwarder_settings{
        .heartbeat_endpoint = started.address,
        .data_centre = started.data_centre,
        .incarnation = ++starts_,
        .seeds = seeds_.empty() ? std::vector{members_.front().address,
                                              members_.back().address}
                                : seeds_,
        .sockets_opened_at = now_.steady,
        .is_first_start = starts_ <= first_size_,
        .token_hash_bits = token_hash_bits_,
        .cold_limits = cold_limits_.limits});
    started.waiting.clear();
    started.is_frozen = false;
    deliver(index, timer_fired{});
}

void forwarder_group::add(std::string data_centre)
{
    auto const index = members_.size();
    members_.push_back({.address = {members_.front().address.ip +
                                        static_cast<std::uint32_t>(index),
                                    members_.front().address.port},
                        .data_centre = std::move(data_centre)});
    start(index);
}

void forwarder_group::set_seeds(std::vector<std::size_t> const& indexes)
{
    seeds_.clear();
    for (auto const index : indexes)
    {
        seeds_.push_back(members_[index].address);
    }
}

void forwarder_group::reload_seeds()
{
    for (std::size_t index = 0; index < members_.size(); ++index)
    {
        deliver(index, settings_reloaded{seeds_});
    }
}

void forwarder_group::restart(std::size_t index)
{
    kill(index);
    start(index);
}

void forwarder_group::stop(std::size_t index)
{
    deliver(index, shutdown_requested{});
}

void forwarder_group::kill(std::size_t index)
{
    std::erase_if(messages_,
                  [&](message const& sent)
                  {
                      return sent.receiver == index;
                  });
    members_[index].reducer.reset();
    members_[index].known_flows.clear();
    members_[index].has_exited = false;
    members_[index].is_ready = false;
    members_[index].timer_at = steady_time::max();
}

void forwarder_group::freeze(std::size_t index)
{
    members_[index].is_frozen = true;
}

void forwarder_group::wake(std::size_t index)
{
    auto& woken = members_[index];
    woken.is_frozen = false;
    for (auto const& next_event : std::exchange(woken.waiting, {}))
    {
        deliver(index, next_event);
    }
}

void forwarder_group::cut(std::size_t first, std::size_t second)
{
    cuts_.insert({first, second});
    cuts_.insert({second, first});
}

void forwarder_group::set_servers(std::vector<server_record> servers)
{
    write_store(std::move(servers));
    for (std::size_t index = 0; index < members_.size(); ++index)
    {
        read_store(index);
    }
}

void forwarder_group::write_store(std::vector<server_record> servers)
{
    for (auto& record : servers)
    {
        auto const stored =
            std::ranges::find(servers_, record.name, &server_record::name);
        auto const is_new = stored == servers_.end();
        record.revision = {is_new ? 0 : stored->revision.value};
        record.created = is_new ? 0 : stored->created;
        if (is_new || record != *stored)
        {
            record.revision = {++revision_};
            record.created = is_new ? revision_ : record.created;
        }
    }
    servers_ = std::move(servers);
    ++revision_; // Entries that are missing now were removed by then.
}

void forwarder_group::read_store(std::size_t index)
{
    if (members_[index].reducer)
    {
        execute(index, read_snapshot{});
    }
}

std::size_t forwarder_group::count_logged(decision type) const
{
    return static_cast<std::size_t>(std::ranges::count(logged_, type));
}

packet_arrived forwarder_group::first_packet(std::uint16_t port,
                                             std::uint32_t copies)
{
    auto arrived =
        make_packet_arrived(make_flow_key(port), packet_type::open, {}, copies);
    arrived.packet.sequence = group_first_sequence;
    arrived.packet.bytes = bytes_of_port(port);
    return arrived;
}

packet_arrived forwarder_group::acknowledgement(std::uint16_t port,
                                                route_token token)
{
    auto arrived = make_packet_arrived(
        make_flow_key(port), packet_type::data, token, handshake_sequence);
    arrived.packet.sequence = group_first_sequence + 1;
    arrived.packet.bytes = bytes_of_port(port);
    return arrived;
}

packet_arrived forwarder_group::request(std::uint16_t port, route_token token)
{
    constexpr std::uint32_t earlier_request_size = 900;
    constexpr std::uint32_t earlier_response_size = 600;
    auto arrived =
        make_packet_arrived(make_flow_key(port),
                            packet_type::data,
                            token,
                            handshake_sequence + earlier_response_size);
    arrived.packet.sequence = group_first_sequence + 1 + earlier_request_size;
    arrived.packet.data_size = earlier_request_size;
    arrived.packet.bytes = bytes_of_port(port);
    return arrived;
}

std::optional<forward_packet>
forwarder_group::send(std::size_t index, packet_arrived const& arrived)
{
    auto const forwarded_before = forwarded_.size();
    deliver(index, arrived);
    advance(response_time);
    return forwarded_.size() == forwarded_before
               ? std::nullopt
               : std::optional{forwarded_.back()};
}

void forwarder_group::advance(duration time)
{
    auto const until = now_.steady + time;
    while (run_next(until))
    {
    }
    now_.wall += until - now_.steady;
    now_.steady = until;
}

bool forwarder_group::run_next(steady_time until)
{
    auto const next_timer =
        std::ranges::min_element(members_,
                                 {},
                                 [](member const& candidate)
                                 {
                                     return candidate.is_frozen
                                                ? steady_time::max()
                                                : candidate.timer_at;
                                 });
    auto const timer_at =
        next_timer->is_frozen ? steady_time::max() : next_timer->timer_at;
    auto const message_at =
        messages_.empty() ? steady_time::max() : messages_.front().due;
    auto const next = std::min(timer_at, message_at);
    if (next > until)
    {
        return false;
    }
    now_.wall += std::max(duration::zero(), duration{next - now_.steady});
    now_.steady = std::max(now_.steady, next);
    if (message_at <= timer_at)
    {
        auto const arrived = std::move(messages_.front());
        messages_.pop_front();
        deliver(arrived.receiver, arrived.next_event);
        return true;
    }
    next_timer->timer_at = steady_time::max();
    deliver(static_cast<std::size_t>(next_timer - members_.begin()),
            timer_fired{});
    return true;
}

void forwarder_group::deliver(std::size_t index,
                              forwarder_event const& next_event)
{
    auto& receiver = members_[index];
    if (!receiver.reducer)
    {
        return;
    }
    if (receiver.is_frozen)
    {
        receiver.waiting.push_back(next_event);
        return;
    }
    if (auto const* const told = std::get_if<bindings_received>(&next_event))
    {
        note_known_flows(index, told->message);
    }
    forwarder_effects effects;
    receiver.reducer->reduce(next_event, now_, effects);
    for (auto const& requested_effect : effects)
    {
        std::visit(
            [&](auto const& concrete_effect)
            {
                execute(index, concrete_effect);
            },
            requested_effect);
    }
    if (receiver.has_exited)
    {
        kill(index);
    }
}

void forwarder_group::note_known_flows(std::size_t index,
                                       binding_message const& told)
{
    for (auto const& binding : told.bindings)
    {
        if (!binding.server.empty() && !binding.is_proposal)
        {
            members_[index].known_flows.insert(binding.flow.caller.port);
        }
    }
}

bool forwarder_group::is_known(std::uint16_t port) const
{
    return std::ranges::any_of(members_,
                               [port](member const& candidate)
                               {
                                   return candidate.known_flows.contains(port);
                               });
}

bool forwarder_group::is_known_in_reach(std::uint16_t port,
                                        std::size_t index) const
{
    for (std::size_t other = 0; other < members_.size(); ++other)
    {
        auto const is_reached =
            members_[other].reducer && !members_[other].is_frozen &&
            !cuts_.contains({index, other}) && !cuts_.contains({other, index});
        if (is_reached && members_[other].known_flows.contains(port))
        {
            return true;
        }
    }
    return false;
}

void forwarder_group::post(std::size_t from,
                           endpoint to,
                           forwarder_event next_event)
{
    auto const receiver = std::ranges::find(members_, to, &member::address);
    auto const index = static_cast<std::size_t>(receiver - members_.begin());
    if (receiver == members_.end() || cuts_.contains({from, index}))
    {
        return;
    }
    messages_.push_back(
        {now_.steady + message_delay, index, std::move(next_event)});
}

void forwarder_group::execute(std::size_t index,
                              forward_packet const& requested_effect)
{
    forwarding_records_.push_back(
        {now_.steady, index, port_of(requested_effect.bytes)});
    forwarded_.push_back(requested_effect);
    forwarded_.back().bytes = {};
}

void forwarder_group::execute(std::size_t index,
                              send_heartbeat const& requested_effect)
{
    post(
        index,
        requested_effect.destination,
        heartbeat_received{members_[index].address, *requested_effect.message});
}

void forwarder_group::execute(std::size_t index,
                              send_bindings const& requested_effect)
{
    ++binding_messages_;
    note_known_flows(index, requested_effect.message);
    post(index,
         requested_effect.destination,
         bindings_received{members_[index].address, requested_effect.message});
}

void forwarder_group::execute(std::size_t index,
                              send_load_report const& requested_effect)
{
    post(index,
         requested_effect.destination,
         load_report_received{members_[index].address,
                              *requested_effect.report});
}

void forwarder_group::execute(std::size_t index,
                              read_snapshot const& /*requested_effect*/)
{
    snapshot_page_read page;
    page.update.through = {revision_};
    page.update.complete = true;
    page.update.servers = servers_;
    auto routes = *make_route_table(1, 1);
    routes.services = {
        {.name = "catalogue", .cold_rate = cold_limits_.cold_rate}};
    page.update.routes = std::make_shared<route_table>(std::move(routes));
    messages_.push_back({now_.steady + message_delay, index, std::move(page)});
}

void forwarder_group::execute(std::size_t index,
                              request_changes const& requested_effect)
{
    if (shares_directories_)
    {
        post(index,
             requested_effect.peer,
             changes_requested{index,
                               requested_effect.after,
                               requested_effect.with_removed_servers});
    }
}

void forwarder_group::execute(std::size_t index,
                              probe_process const& requested_effect)
{
    auto const probed =
        std::ranges::find(members_, requested_effect.peer, &member::address);
    auto const other = static_cast<std::size_t>(probed - members_.begin());
    if (probed == members_.end() || probed->reducer ||
        cuts_.contains({index, other}) || cuts_.contains({other, index}))
    {
        return;
    }
    messages_.push_back(
        {now_.steady + message_delay,
         index,
         process_ended{requested_effect.peer, requested_effect.incarnation}});
}

void forwarder_group::execute(std::size_t index,
                              send_changes const& requested_effect)
{
    auto const requester = static_cast<std::size_t>(requested_effect.call_id);
    post(index,
         members_[requester].address,
         peer_changes_received{members_[index].address,
                               requested_effect.update,
                               requested_effect.age});
}

void forwarder_group::execute(std::size_t index,
                              set_timer const& requested_effect)
{
    members_[index].timer_at = requested_effect.deadline;
}

void forwarder_group::execute(std::size_t /*index*/,
                              refuse_flow const& /*requested_effect*/)
{
    ++refused_flows_;
}

void forwarder_group::execute(std::size_t index,
                              exit_process const& /*requested_effect*/)
{
    members_[index].has_exited = true;
}

void forwarder_group::execute(std::size_t index,
                              set_readiness const& requested_effect)
{
    members_[index].is_ready = requested_effect.ready;
}

void forwarder_group::execute(
    std::size_t /*index*/, increment_forwarder_counter const& requested_effect)
{
    counters_[static_cast<std::size_t>(requested_effect.id)] +=
        requested_effect.by;
}

void forwarder_group::execute(std::size_t /*index*/,
                              log_decision const& requested_effect)
{
    logged_.push_back(requested_effect.type);
}

} // namespace dotterelrouter::testing
