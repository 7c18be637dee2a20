// Definitions of fleet_simulation: time and randomness, balancers, network and
// key-value service.
#pragma once

#include "testing/fleet/fleet.hpp"

namespace dotterelrouter::testing
{

inline constexpr duration mean_packet_latency = std::chrono::microseconds{600};
inline constexpr duration max_store_latency = std::chrono::milliseconds{4};
// Time after which a watch without a change gets its response.
inline constexpr duration long_poll_timeout = std::chrono::seconds{30};
inline constexpr std::uint16_t control_port = 7000;
inline constexpr std::uint16_t data_port = 7001;
inline constexpr std::uint32_t vm_network = 0x0a000000;

template <class Rules>
void fleet_simulation<Rules>::schedule(virtual_time due_at, action due_action)
{
    schedule_.push({due_at, ++scheduled_count_, std::move(due_action)});
}

template <class Rules>
bool fleet_simulation<Rules>::occurs_with(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

template <class Rules>
duration fleet_simulation<Rules>::random_up_to(duration max)
{
    return duration(
        std::uniform_int_distribution<duration::rep>(0, max.count())(random_));
}

template <class Rules>
std::size_t fleet_simulation<Rules>::random_index(std::size_t size)
{
    return std::uniform_int_distribution<std::size_t>(0, size - 1)(random_);
}

template <class Rules>
instant
fleet_simulation<Rules>::clock_of(simulated_balancer const& balancer) const
{
    auto const elapsed = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::nano>(
            static_cast<double>(now_.count()) * (1 + balancer.clock_drift)));
    return {steady_time{std::chrono::hours{1} + elapsed},
            run_start + now_ + balancer.clock_offset};
}

template <class Rules>
std::size_t fleet_simulation<Rules>::start_balancer(std::uint32_t vm_number)
{
    auto const index = balancers_.size();
    auto& balancer = balancers_.emplace_back();
    balancer.vm_number = vm_number;
    balancer.record.id = {{vm_network + vm_number, control_port},
                          next_incarnation_++};
    balancer.record.data = {vm_network + vm_number, data_port};
    balancer.record.data_centre = data_centre_id{vm_number % 4};
    balancer.clock_offset =
        random_up_to(2 * profile_.max_clock_error) - profile_.max_clock_error;
    balancer.clock_drift =
        (static_cast<double>(random_index(2001)) / 1000 - 1) *
        profile_.max_clock_drift;
    balancer.reducer.emplace(balancer_builder{}
                                 .self(balancer.record)
                                 .seed(random_())
                                 .slots(profile_.slot_count)
                                 .build());
    balancer.is_running = true;
    vm_record const vm{.control = balancer.record.id.control,
                       .data = balancer.record.data,
                       .data_centre = balancer.record.data_centre};
    auto const existing =
        std::ranges::find(vm_list_, vm.control, &vm_record::control);
    if (existing == vm_list_.end())
    {
        vm_list_.push_back(vm);
    }
    reduce(index, timer_fired{});
    return index;
}

template <class Rules>
void fleet_simulation<Rules>::reduce(std::size_t index, event const& next_event)
{
    auto& balancer = balancers_[index];
    effects requested_effects;
    balancer.reducer->reduce(next_event, clock_of(balancer), requested_effects);
    for (auto const& requested_effect : requested_effects)
    {
        dispatch(index, requested_effect);
    }
    auto const& current_configuration = balancer.reducer->in_force();
    auto const epoch =
        current_configuration ? current_configuration->epoch() : epoch_number{};
    if (epoch < balancer.epoch)
    {
        report_violation("epoch of the configuration in force decreased", {});
    }
    balancer.epoch = epoch;
}

template <class Rules>
void fleet_simulation<Rules>::dispatch(std::size_t index,
                                       effect const& requested_effect)
{
    std::visit(
        [&](auto const& concrete_effect)
        {
            execute(index, concrete_effect);
        },
        requested_effect);
}

template <class Rules>
void fleet_simulation<Rules>::execute(std::size_t index,
                                      send_request const& requested_effect)
{
    auto const& sender = balancers_[index];
    auto packet = requested_effect.packet;
    packet.payload = calls_[packet.key.request.value].payload;
    auto const server = server_by_address_.find(requested_effect.destination);
    transmit(sender.vm_number,
             0,
             server_delivery{server->second, sender.record.data, packet});
}

template <class Rules>
void fleet_simulation<Rules>::execute(std::size_t index,
                                      forward_request const& requested_effect)
{
    auto packet = requested_effect.packet;
    packet.payload = calls_[packet.key.request.value].payload;
    if (auto const receiver = balancer_at(requested_effect.destination))
    {
        transmit(
            balancers_[index].vm_number,
            balancers_[*receiver].vm_number,
            balancer_delivery{*receiver, request_received{packet}, {}, {}});
    }
}

template <class Rules>
void fleet_simulation<Rules>::execute(std::size_t index,
                                      send_response const& requested_effect)
{
    auto packet = requested_effect.packet;
    packet.payload = calls_[packet.key.request.value].payload;
    transmit(balancers_[index].vm_number, 0, caller_delivery{packet});
}

template <class Rules>
void fleet_simulation<Rules>::execute(std::size_t index,
                                      send_refusal const& requested_effect)
{
    auto& call = calls_[requested_effect.packet.key.request.value];
    auto const reported = requested_effect.packet.reported_verdict;
    ++report_.refusals[std::string(to_string(reported.outcome)) + ", " +
                       std::string(to_string(reported.cause))];
    if (reported.outcome == execution::not_run)
    {
        call.reported_not_run = true;
        if (call.executions > 0)
        {
            report_violation("request reported as not run after its execution",
                             call.packet.key.request);
        }
    }
    transmit(balancers_[index].vm_number,
             0,
             caller_delivery{requested_effect.packet});
}

template <class Rules>
void fleet_simulation<Rules>::execute(std::size_t index,
                                      send_peer_message const& requested_effect)
{
    send_to_peer(index, requested_effect);
}

template <class Rules>
void fleet_simulation<Rules>::execute(std::size_t index,
                                      set_timer const& requested_effect)
{
    auto& balancer = balancers_[index];
    auto const delay = std::max<duration>(
        requested_effect.deadline - clock_of(balancer).steady, {});
    schedule(now_ + delay + std::chrono::microseconds{1},
             balancer_timer{index, ++balancer.timer_generation});
}

// Timelines are not simulated.
template <class Rules>
void fleet_simulation<Rules>::execute(
    std::size_t /*index*/, record_timeline_event const& /*requested_effect*/)
{
}

template <class Rules>
void fleet_simulation<Rules>::execute(std::size_t /*index*/,
                                      increment_counter const& requested_effect)
{
    if (requested_effect.id == counter::invariants_broken)
    {
        report_violation("balancer reported a broken invariant", {});
    }
}

template <class Rules>
void fleet_simulation<Rules>::execute(std::size_t index,
                                      exit_process const& /*requested_effect*/)
{
    auto& balancer = balancers_[index];
    balancer.is_running = false;
    balancer.stopped_at = now_;
    std::erase_if(vm_list_,
                  [&](vm_record const& vm)
                  {
                      return vm.control == balancer.record.id.control;
                  });
}

// Every other effect is a call to the platform's key-value service.
template <class Rules>
template <class PlatformCall>
void fleet_simulation<Rules>::execute(std::size_t index,
                                      PlatformCall const& requested_effect)
{
    ++report_.store_calls;
    schedule(now_ + random_up_to(max_store_latency),
             store_request{index, requested_effect});
}

template <class Rules>
bool fleet_simulation<Rules>::is_link_cut(std::uint32_t sender_vm,
                                          std::uint32_t receiver_vm) const
{
    auto const cut = link_cut_until_.find({sender_vm, receiver_vm});
    return cut != link_cut_until_.end() && cut->second > now_;
}

template <class Rules>
template <class Packet>
void fleet_simulation<Rules>::transmit(std::uint32_t sender_vm,
                                       std::uint32_t receiver_vm,
                                       Packet packet)
{
    if (is_link_cut(sender_vm, receiver_vm) ||
        occurs_with(profile_.loss_probability))
    {
        return;
    }
    // A backend server executes every copy of a request, so the links to
    // servers must not duplicate packets; see docs/DESIGN.md.
    constexpr bool may_duplicate = !std::is_same_v<Packet, server_delivery>;
    auto const copies =
        may_duplicate && occurs_with(profile_.duplication_probability) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy)
    {
        auto const delay =
            occurs_with(profile_.long_delay_probability)
                ? random_up_to(profile_.max_delay)
                : mean_packet_latency / 2 + random_up_to(mean_packet_latency);
        schedule(now_ + delay, packet);
    }
}

// Returns the latest running balancer with this data or control address, as a
// restart adds an entry with the same addresses.
template <class Rules>
std::optional<std::size_t>
fleet_simulation<Rules>::balancer_at(endpoint address) const
{
    for (std::size_t index = balancers_.size(); index-- > 0;)
    {
        auto const& candidate = balancers_[index];
        if (candidate.is_running && (candidate.record.data == address ||
                                     candidate.record.id.control == address))
        {
            return index;
        }
    }
    return std::nullopt;
}

template <class Rules>
void fleet_simulation<Rules>::send_to_peer(
    std::size_t sender, send_peer_message const& requested_effect)
{
    ++report_.peer_messages;
    auto const receiver = balancer_at(requested_effect.destination.control);
    if (!receiver)
    {
        return;
    }
    peer_message_received const received{balancers_[sender].record.id,
                                         requested_effect.message};
    transmit(balancers_[sender].vm_number,
             balancers_[*receiver].vm_number,
             balancer_delivery{*receiver, received, {}, {}});
}

template <class Rules>
void fleet_simulation<Rules>::handle(balancer_timer const& timer)
{
    auto& balancer = balancers_[timer.balancer];
    if (!balancer.is_running || balancer.timer_generation != timer.generation)
    {
        return;
    }
    if (balancer.paused_until > now_)
    {
        schedule(balancer.paused_until, timer);
        return;
    }
    reduce(timer.balancer, timer_fired{});
}

template <class Rules>
void fleet_simulation<Rules>::handle(balancer_delivery const& delivery)
{
    auto& receiver = balancers_[delivery.balancer];
    if (!receiver.is_running)
    {
        return;
    }
    if (receiver.paused_until > now_)
    {
        schedule(receiver.paused_until, delivery);
        return;
    }
    auto next_event = delivery.next_event;
    if (auto* read = std::get_if<assignments_read>(&next_event))
    {
        read->assignments = delivery.assignments;
    }
    if (auto* read = std::get_if<vm_list_read>(&next_event))
    {
        read->vms = delivery.vms;
    }
    reduce(delivery.balancer, next_event);
}

template <class Rules>
bool fleet_simulation<Rules>::is_store_unreachable(
    simulated_balancer const& balancer) const
{
    return store_outage_until_ > now_ ||
           balancer.store_disconnected_until > now_;
}

template <class Rules>
void fleet_simulation<Rules>::send_store_response(std::size_t index,
                                                  balancer_delivery response)
{
    response.balancer = index;
    schedule(now_ + random_up_to(max_store_latency), std::move(response));
}

template <class Rules>
void fleet_simulation<Rules>::handle(store_request const& request)
{
    auto const is_response_lost =
        occurs_with(profile_.lost_store_response_probability);
    if (is_store_unreachable(balancers_[request.balancer]))
    {
        fail_store_request(request.balancer, request.requested_effect, false);
        return;
    }
    if (is_response_lost)
    {
        fail_store_request(request.balancer, request.requested_effect, true);
        return;
    }
    std::visit(
        [&](auto const& concrete_effect)
        {
            if constexpr (requires {
                              serve(request.balancer, concrete_effect);
                          })
            {
                serve(request.balancer, concrete_effect);
            }
        },
        request.requested_effect);
}

template <class Rules>
void fleet_simulation<Rules>::fail_store_request(std::size_t index,
                                                 effect const& requested_effect,
                                                 bool reached_store)
{
    auto const fail = [&](platform_read read, chunk_hash chunk)
    {
        send_store_response(index,
                            {0, platform_unavailable{read, chunk}, {}, {}});
    };
    if (auto const* proposed =
            std::get_if<propose_assignment>(&requested_effect))
    {
        // The response is lost, but the write may still take effect, even much
        // later.
        if (reached_store ||
            occurs_with(profile_.lost_store_response_probability))
        {
            schedule(now_ + random_up_to(profile_.max_delay),
                     delayed_write{*proposed});
        }
        proposal_completed const response{proposed->slot,
                                          write_result::unknown};
        send_store_response(index, {0, response, {}, {}});
    }
    else if (std::holds_alternative<read_assignments>(requested_effect))
    {
        fail(platform_read::assignments, {});
    }
    else if (std::holds_alternative<read_manifest>(requested_effect))
    {
        fail(platform_read::manifest, {});
    }
    else if (auto const* chunk = std::get_if<read_chunk>(&requested_effect))
    {
        fail(platform_read::chunk, chunk->hash);
    }
    else if (std::holds_alternative<read_vm_list>(requested_effect))
    {
        fail(platform_read::vm_list, {});
    }
}

template <class Rules>
void fleet_simulation<Rules>::send_assignments(std::size_t index, bool complete)
{
    auto& reader = balancers_[index];
    balancer_delivery response{index, assignments_read{{}, complete}, {}, {}};
    for (auto const& [slot, stored] : store_.assignments)
    {
        if (complete || stored.revision.value > reader.last_read_revision)
        {
            response.assignments.push_back(stored);
        }
    }
    reader.last_read_revision = store_.revision;
    send_store_response(index, std::move(response));
}

template <class Rules>
void fleet_simulation<Rules>::serve(std::size_t index,
                                    read_assignments const& request)
{
    auto const& reader = balancers_[index];
    if (!request.watch || reader.last_read_revision > store_.revision)
    {
        send_assignments(index, true);
    }
    else if (reader.last_read_revision < store_.revision)
    {
        send_assignments(index, false);
    }
    else
    {
        watches_.insert({index, false});
        schedule(now_ + long_poll_timeout,
                 watch_end{index, store_.revision, false});
    }
}

template <class Rules>
write_result
fleet_simulation<Rules>::compare_and_swap(propose_assignment const& proposal)
{
    auto const found = store_.assignments.find(proposal.slot.value);
    auto const current = found == store_.assignments.end()
                             ? store_revision{}
                             : found->second.revision;
    if (current != proposal.expected)
    {
        return write_result::conflict;
    }
    store_revision const revision{++store_.revision};
    store_.assignments[proposal.slot.value] = {
        proposal.slot, revision, proposal.value};
    schedule(now_, watch_end{0, 0, false});
    return write_result::applied;
}

template <class Rules>
void fleet_simulation<Rules>::handle(delayed_write const& write)
{
    compare_and_swap(write.proposal);
}

template <class Rules>
void fleet_simulation<Rules>::serve(std::size_t index,
                                    propose_assignment const& request)
{
    auto const status = compare_and_swap(request);
    send_store_response(index,
                        {0, proposal_completed{request.slot, status}, {}, {}});
}

template <class Rules>
void fleet_simulation<Rules>::send_manifest(std::size_t index)
{
    send_store_response(
        index,
        {0, manifest_read{store_.manifest_revision, store_.manifest}, {}, {}});
}

template <class Rules>
void fleet_simulation<Rules>::serve(std::size_t index,
                                    read_manifest const& request)
{
    if (!request.watch)
    {
        send_manifest(index);
        return;
    }
    watches_.insert({index, true});
    schedule(now_ + long_poll_timeout, watch_end{index, 0, true});
}

template <class Rules>
void fleet_simulation<Rules>::serve(std::size_t index,
                                    read_chunk const& request)
{
    auto const found = store_.chunks.find(request.hash);
    send_store_response(
        index,
        {0,
         chunk_read{request.hash,
                    found == store_.chunks.end() ? nullptr : found->second},
         {},
         {}});
}

template <class Rules>
void fleet_simulation<Rules>::serve(std::size_t /*index*/,
                                    restore_manifest const& request)
{
    if (store_.manifest_revision != request.expected)
    {
        return;
    }
    for (auto const& chunk : request.chunks)
    {
        store_.chunks[chunk->hash] = chunk;
    }
    store_.manifest = request.value;
    store_.manifest_revision = store_revision{++store_.revision};
    schedule(now_, watch_end{0, 0, true});
}

template <class Rules>
void fleet_simulation<Rules>::serve(std::size_t index,
                                    read_vm_list const& /*request*/)
{
    balancer_delivery response{index, vm_list_read{}, {}, vm_list_};
    send_store_response(index, std::move(response));
}

template <class Rules>
void fleet_simulation<Rules>::handle(watch_end const& end)
{
    // Each change, and the timeout of any watch, ends all watches of the same
    // kind.
    auto const open_watches = watches_;
    for (auto const& [index, manifest] : open_watches)
    {
        if (manifest != end.manifest)
        {
            continue;
        }
        watches_.erase({index, manifest});
        if (is_store_unreachable(balancers_[index]))
        {
            send_store_response(
                index,
                {0,
                 platform_unavailable{manifest ? platform_read::manifest
                                               : platform_read::assignments,
                                      {}},
                 {},
                 {}});
        }
        else if (manifest)
        {
            send_manifest(index);
        }
        else
        {
            send_assignments(index, false);
        }
    }
}

} // namespace dotterelrouter::testing
