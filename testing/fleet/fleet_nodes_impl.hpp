// Definitions of fleet: time, balancers, network and store.
#pragma once

#include "testing/fleet/fleet.hpp"

namespace dotterelrouter::testing
{

inline constexpr duration packet_latency = std::chrono::microseconds{600};
inline constexpr duration store_latency = std::chrono::milliseconds{4};
inline constexpr duration watch_length = std::chrono::seconds{30};
inline constexpr std::uint16_t control_port = 7000;
inline constexpr std::uint16_t data_port = 7001;
inline constexpr std::uint32_t vm_network = 0x0a000000;

template <class Rules>
void fleet<Rules>::at(true_time when, action what)
{
    queue_.push({when, ++order_, std::move(what)});
}

template <class Rules>
bool fleet<Rules>::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

template <class Rules>
duration fleet<Rules>::random_up_to(duration most)
{
    return duration(
        std::uniform_int_distribution<duration::rep>(0, most.count())(random_));
}

template <class Rules>
std::size_t fleet<Rules>::random_index(std::size_t size)
{
    return std::uniform_int_distribution<std::size_t>(0, size - 1)(random_);
}

template <class Rules>
instant fleet<Rules>::clock_of(node const& of) const
{
    auto const elapsed = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::nano>(
            static_cast<double>(now_.count()) * (1 + of.drift)));
    return {steady_time{std::chrono::hours{1} + elapsed},
            run_start + now_ + of.clock_offset};
}

template <class Rules>
std::size_t fleet<Rules>::start_node(std::uint32_t vm)
{
    auto const index = nodes_.size();
    auto& made = nodes_.emplace_back();
    made.vm = vm;
    made.record.id = {{vm_network + vm, control_port}, next_incarnation_++};
    made.record.data = {vm_network + vm, data_port};
    made.record.data_centre = data_centre_id{vm % 4};
    made.clock_offset = random_up_to(2 * how_.clock_error) - how_.clock_error;
    made.drift =
        (static_cast<double>(random_index(2001)) / 1000 - 1) * how_.drift;
    made.state.emplace(balancer_builder{}
                           .self(made.record)
                           .seed(random_())
                           .slots(how_.slots)
                           .build());
    made.alive = true;
    vm_record const listed{.control = made.record.id.control,
                           .data = made.record.data,
                           .data_centre = made.record.data_centre};
    auto const known =
        std::ranges::find(vm_list_, listed.control, &vm_record::control);
    if (known == vm_list_.end())
    {
        vm_list_.push_back(listed);
    }
    reduce(index, timer_fired{});
    return index;
}

template <class Rules>
void fleet<Rules>::reduce(std::size_t index, event const& happened)
{
    auto& state = nodes_[index];
    effects out;
    state.state->reduce(happened, clock_of(state), out);
    for (auto const& asked : out)
    {
        carry_out(index, asked);
    }
    auto const& current = state.state->in_force();
    auto const epoch = current ? current->epoch() : epoch_number{};
    if (epoch < state.epoch)
    {
        violation("epoch went back", {});
    }
    state.epoch = epoch;
}

template <class Rules>
void fleet<Rules>::carry_out(std::size_t index, effect const& asked)
{
    std::visit(
        [&](auto const& value)
        {
            carry(index, value);
        },
        asked);
}

template <class Rules>
void fleet<Rules>::carry(std::size_t index, send_request const& asked)
{
    auto const& from = nodes_[index];
    auto packet = asked.packet;
    packet.payload = calls_[packet.key.request.value].payload;
    auto const server = server_at_.find(asked.to);
    transmit(from.vm, 0, to_server{server->second, from.record.data, packet});
}

template <class Rules>
void fleet<Rules>::carry(std::size_t index, pass_request const& asked)
{
    auto packet = asked.packet;
    packet.payload = calls_[packet.key.request.value].payload;
    if (auto const to = node_at(asked.to))
    {
        transmit(nodes_[index].vm,
                 nodes_[*to].vm,
                 to_node{*to, request_received{packet}, {}, {}});
    }
}

template <class Rules>
void fleet<Rules>::carry(std::size_t index, send_answer const& asked)
{
    auto packet = asked.packet;
    packet.payload = calls_[packet.key.request.value].payload;
    transmit(nodes_[index].vm, 0, to_caller{packet});
}

template <class Rules>
void fleet<Rules>::carry(std::size_t index, send_refusal const& asked)
{
    auto& refused = calls_[asked.packet.key.request.value];
    auto const told = asked.packet.told;
    ++seen_.refusals[std::string(to_string(told.outcome)) + ", " +
                     std::string(to_string(told.why))];
    if (told.outcome == execution::not_run)
    {
        refused.told_not_run = true;
        if (refused.executions > 0)
        {
            violation("told not run after it ran", refused.packet.key.request);
        }
    }
    transmit(nodes_[index].vm, 0, to_caller{asked.packet});
}

template <class Rules>
void fleet<Rules>::carry(std::size_t index, send_peer_message const& asked)
{
    send_to_peer(index, asked);
}

template <class Rules>
void fleet<Rules>::carry(std::size_t index, wake_at const& asked)
{
    auto& from = nodes_[index];
    auto const wait =
        std::max<duration>(asked.when - clock_of(from).steady, {});
    at(now_ + wait + std::chrono::microseconds{1},
       wake{index, ++from.wake_number});
}

template <class Rules>
void fleet<Rules>::carry(std::size_t /*index*/, record_step const& /*asked*/)
{
}

template <class Rules>
void fleet<Rules>::carry(std::size_t /*index*/, count const& asked)
{
    if (asked.what == counter::invariants_broken)
    {
        violation("invariant of a balancer", {});
    }
}

template <class Rules>
void fleet<Rules>::carry(std::size_t index, finish const& /*asked*/)
{
    auto& from = nodes_[index];
    from.alive = false;
    std::erase_if(vm_list_,
                  [&](vm_record const& vm)
                  {
                      return vm.control == from.record.id.control;
                  });
}

template <class Rules>
template <class PlatformCall>
void fleet<Rules>::carry(std::size_t index, PlatformCall const& asked)
{
    ++seen_.store_calls;
    at(now_ + random_up_to(store_latency), to_store{index, asked});
}

template <class Rules>
bool fleet<Rules>::cut(std::uint32_t from, std::uint32_t to) const
{
    auto const found = cuts_.find({from, to});
    return found != cuts_.end() && found->second > now_;
}

template <class Rules>
template <class Packet>
void fleet<Rules>::transmit(std::uint32_t from, std::uint32_t to, Packet packet)
{
    if (cut(from, to) || chance(how_.loss))
    {
        return;
    }
    // Backend servers run each copy, so their links must not duplicate: see
    // docs/DESIGN.md.
    constexpr bool may_copy = !std::is_same_v<Packet, to_server>;
    auto const copies = may_copy && chance(how_.duplication) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy)
    {
        auto const delay =
            chance(how_.long_delay)
                ? random_up_to(how_.max_delay)
                : packet_latency / 2 + random_up_to(packet_latency);
        at(now_ + delay, packet);
    }
}

template <class Rules>
std::optional<std::size_t> fleet<Rules>::node_at(endpoint where) const
{
    for (std::size_t index = nodes_.size(); index-- > 0;)
    {
        auto const& candidate = nodes_[index];
        if (candidate.alive && (candidate.record.data == where ||
                                candidate.record.id.control == where))
        {
            return index;
        }
    }
    return std::nullopt;
}

template <class Rules>
void fleet<Rules>::send_to_peer(std::size_t from, send_peer_message const& sent)
{
    ++seen_.peer_messages;
    auto const to = node_at(sent.to.control);
    if (!to)
    {
        return;
    }
    peer_message_received const received{nodes_[from].record.id, sent.message};
    transmit(nodes_[from].vm, nodes_[*to].vm, to_node{*to, received, {}, {}});
}

template <class Rules>
void fleet<Rules>::due(wake const& what)
{
    auto& woken = nodes_[what.node];
    if (!woken.alive || woken.wake_number != what.number)
    {
        return;
    }
    if (woken.paused_until > now_)
    {
        at(woken.paused_until, what);
        return;
    }
    reduce(what.node, timer_fired{});
}

template <class Rules>
void fleet<Rules>::due(to_node const& what)
{
    auto& receiver = nodes_[what.node];
    if (!receiver.alive)
    {
        return;
    }
    if (receiver.paused_until > now_)
    {
        at(receiver.paused_until, what);
        return;
    }
    auto happened = what.happened;
    if (auto* read = std::get_if<assignments_read>(&happened))
    {
        read->assignments = what.assignments;
    }
    if (auto* read = std::get_if<vm_list_read>(&happened))
    {
        read->vms = what.vms;
    }
    reduce(what.node, happened);
}

template <class Rules>
bool fleet<Rules>::store_down(node const& seen_by) const
{
    return store_down_until_ > now_ || seen_by.store_cut_until > now_;
}

template <class Rules>
void fleet<Rules>::reply(std::size_t index, to_node what)
{
    what.node = index;
    at(now_ + random_up_to(store_latency), std::move(what));
}

template <class Rules>
void fleet<Rules>::due(to_store const& what)
{
    auto const lost = chance(how_.lost_store_answers);
    if (store_down(nodes_[what.node]))
    {
        store_fails(what.node, what.asked, false);
        return;
    }
    if (lost)
    {
        store_fails(what.node, what.asked, true);
        return;
    }
    std::visit(
        [&](auto const& asked)
        {
            if constexpr (requires { store_call(what.node, asked); })
            {
                store_call(what.node, asked);
            }
        },
        what.asked);
}

template <class Rules>
void fleet<Rules>::store_fails(std::size_t index,
                               effect const& asked,
                               bool landed)
{
    auto const fail = [&](platform_read what, chunk_hash chunk)
    {
        reply(index, {0, platform_unavailable{what, chunk}, {}, {}});
    };
    if (auto const* proposed = std::get_if<propose_assignment>(&asked))
    {
        // The answer is lost; the write may land, even much later.
        if (landed || chance(how_.lost_store_answers))
        {
            at(now_ + random_up_to(how_.max_delay), late_write{*proposed});
        }
        assignment_proposed const ended{proposed->slot, store_status::unknown};
        reply(index, {0, ended, {}, {}});
    }
    else if (std::holds_alternative<read_assignments>(asked))
    {
        fail(platform_read::assignments, {});
    }
    else if (std::holds_alternative<read_manifest>(asked))
    {
        fail(platform_read::manifest, {});
    }
    else if (auto const* chunk = std::get_if<read_chunk>(&asked))
    {
        fail(platform_read::chunk, chunk->hash);
    }
    else if (std::holds_alternative<read_vm_list>(asked))
    {
        fail(platform_read::vm_list, {});
    }
}

template <class Rules>
void fleet<Rules>::answer_assignments(std::size_t index, bool complete)
{
    auto& reader = nodes_[index];
    to_node what{index, assignments_read{{}, complete}, {}, {}};
    for (auto const& [slot, stored] : store_.assignments)
    {
        if (complete || stored.revision.value > reader.seen_revision)
        {
            what.assignments.push_back(stored);
        }
    }
    reader.seen_revision = store_.revision;
    reply(index, std::move(what));
}

template <class Rules>
void fleet<Rules>::store_call(std::size_t index, read_assignments const& asked)
{
    auto const& reader = nodes_[index];
    if (!asked.watch || reader.seen_revision > store_.revision)
    {
        answer_assignments(index, true);
    }
    else if (reader.seen_revision < store_.revision)
    {
        answer_assignments(index, false);
    }
    else
    {
        watches_.insert({index, false});
        at(now_ + watch_length, watch_ends{index, store_.revision, false});
    }
}

template <class Rules>
store_status fleet<Rules>::swap(propose_assignment const& asked)
{
    auto const found = store_.assignments.find(asked.slot.value);
    auto const current = found == store_.assignments.end()
                             ? store_revision{}
                             : found->second.revision;
    if (current != asked.expected)
    {
        return store_status::conflict;
    }
    store_revision const revision{++store_.revision};
    store_.assignments[asked.slot.value] = {asked.slot, revision, asked.value};
    at(now_, watch_ends{0, 0, false});
    return store_status::done;
}

template <class Rules>
void fleet<Rules>::due(late_write const& what)
{
    swap(what.asked);
}

template <class Rules>
void fleet<Rules>::store_call(std::size_t index,
                              propose_assignment const& asked)
{
    auto const status = swap(asked);
    reply(index, {0, assignment_proposed{asked.slot, status}, {}, {}});
}

template <class Rules>
void fleet<Rules>::answer_manifest(std::size_t index)
{
    reply(
        index,
        {0, manifest_read{store_.manifest_revision, store_.manifest}, {}, {}});
}

template <class Rules>
void fleet<Rules>::store_call(std::size_t index, read_manifest const& asked)
{
    if (!asked.watch)
    {
        answer_manifest(index);
        return;
    }
    watches_.insert({index, true});
    at(now_ + watch_length, watch_ends{index, 0, true});
}

template <class Rules>
void fleet<Rules>::store_call(std::size_t index, read_chunk const& asked)
{
    auto const found = store_.chunks.find(asked.hash);
    reply(index,
          {0,
           chunk_read{asked.hash,
                      found == store_.chunks.end() ? nullptr : found->second},
           {},
           {}});
}

template <class Rules>
void fleet<Rules>::store_call(std::size_t /*index*/,
                              restore_manifest const& asked)
{
    if (store_.manifest_revision != asked.expected)
    {
        return;
    }
    for (auto const& chunk : asked.chunks)
    {
        store_.chunks[chunk->hash] = chunk;
    }
    store_.manifest = asked.value;
    store_.manifest_revision = store_revision{++store_.revision};
    at(now_, watch_ends{0, 0, true});
}

template <class Rules>
void fleet<Rules>::store_call(std::size_t index, read_vm_list const& /*asked*/)
{
    to_node what{index, vm_list_read{}, {}, vm_list_};
    reply(index, std::move(what));
}

template <class Rules>
void fleet<Rules>::due(watch_ends const& what)
{
    // Any change, and the end of a watch's time, wakes all who watch.
    auto const waiting = watches_;
    for (auto const& [index, manifest] : waiting)
    {
        if (manifest != what.manifest)
        {
            continue;
        }
        watches_.erase({index, manifest});
        if (store_down(nodes_[index]))
        {
            reply(index,
                  {0,
                   platform_unavailable{manifest ? platform_read::manifest
                                                 : platform_read::assignments,
                                        {}},
                   {},
                   {}});
        }
        else if (manifest)
        {
            answer_manifest(index);
        }
        else
        {
            answer_assignments(index, false);
        }
    }
}

} // namespace dotterelrouter::testing
