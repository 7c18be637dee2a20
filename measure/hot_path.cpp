// Benchmarks of the functions that run for each packet.
//
//     hot_path [--benchmark_filter=REGEX]
//
// Packets are requests and responses. `allocations` is the mean number of
// operator new calls per packet or, where no packets are processed, per
// operation.
#include "dotterelrouter/balancer/balancer.hpp"
#include "dotterelrouter/routing/routing.hpp"
#include "measure/internal/allocations.hpp"

#include <benchmark/benchmark.h>

#include <memory>
#include <string>
#include <vector>

namespace dotterelrouter::measure
{
namespace
{

using namespace std::chrono_literals;

constexpr std::uint32_t open_flows = 500'000;
constexpr std::size_t table_slots = 256;
constexpr endpoint service_address{9, 80};
/// Step between the flows of successive operations, so that they do not hit
/// adjacent memory.
constexpr std::uint32_t flow_stride = 7919;

flow_key flow_key_of(std::uint32_t number)
{
    return {{number + 1, 7}, service_address};
}

std::shared_ptr<configuration const> make_configuration(std::uint16_t servers)
{
    constexpr std::uint16_t slots = 1000;
    configuration_builder builder;
    builder.epoch(epoch_number{1}).kind({.id = {}, .name = "lookup"});
    for (std::uint16_t number = 0; number < servers; ++number)
    {
        builder.server({.name = "s" + std::to_string(number),
                        .service = "catalogue",
                        .address = {1, static_cast<std::uint16_t>(number + 1)},
                        .data_centre = "a",
                        .slots = slots});
    }
    builder.address(
        {.address = service_address, .service = "catalogue", .kind = "lookup"});
    return builder.build();
}

void fill(flow_table& table, std::uint32_t flows)
{
    for (std::uint32_t number = 0; number < flows; ++number)
    {
        table.insert_or_assign(flow_key_of(number), server_id{1}, {});
    }
}

void find_known_flow(benchmark::State& state)
{
    flow_table table(table_slots, std::size_t{4} * open_flows);
    fill(table, open_flows);
    std::uint32_t number = 0;
    auto const allocations_before = allocations();
    for (auto _ : state)
    {
        number = (number + flow_stride) % open_flows;
        benchmark::DoNotOptimize(table.find(flow_key_of(number)));
    }
    state.counters["allocations"] = benchmark::Counter(
        static_cast<double>(allocations() - allocations_before),
        benchmark::Counter::kAvgIterations);
    state.counters["bytes_a_flow"] =
        static_cast<double>(table.memory_bytes()) / open_flows;
}

BENCHMARK(find_known_flow);

/// Inserts as many flows as the argument says into an empty table. Reports the
/// slowest single insertion as well, since one that grows the table delays its
/// packet.
void grow_table(benchmark::State& state)
{
    using clock = std::chrono::steady_clock;
    auto const flows = static_cast<std::uint32_t>(state.range(0));
    duration slowest{};
    std::size_t memory = 0;
    for (auto _ : state)
    {
        flow_table table(table_slots, flows);
        for (std::uint32_t number = 0; number < flows; ++number)
        {
            auto const start = clock::now();
            table.insert_or_assign(flow_key_of(number), server_id{1}, {});
            slowest = std::max<duration>(slowest, clock::now() - start);
        }
        memory = table.memory_bytes();
    }
    state.SetItemsProcessed(state.iterations() * flows);
    state.counters["bytes_a_flow"] = static_cast<double>(memory) / flows;
    state.counters["slowest_us"] =
        std::chrono::duration<double, std::micro>(slowest).count();
}

BENCHMARK(grow_table)->Arg(1'000)->Arg(100'000)->Arg(500'000)->Arg(2'000'000);

/// Loads that depend only on the server's id. All servers are usable and have
/// the same weight.
struct fixed_loads
{
    [[nodiscard]] bool is_usable(server_id /*server*/) const
    {
        return true;
    }

    [[nodiscard]] double load(server_id server) const
    {
        constexpr unsigned levels = 4;
        return server.value % levels;
    }

    [[nodiscard]] double weight(server_id /*server*/) const
    {
        return 1;
    }
};

void choose_server(benchmark::State& state)
{
    auto const config =
        make_configuration(static_cast<std::uint16_t>(state.range(0)));
    auto const& service = config->services().front();
    auto const length = state.range(1) == 1 ? flow_length::single_request
                                            : flow_length::multiple_requests;
    std::uint32_t number = 0;
    auto const allocations_before = allocations();
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(select_server(
            service, flow_key_of(++number), length, fixed_loads{}));
    }
    state.counters["allocations"] = benchmark::Counter(
        static_cast<double>(allocations() - allocations_before),
        benchmark::Counter::kAvgIterations);
}

BENCHMARK(choose_server)->ArgsProduct({{4, 14, 300}, {0, 1}});

/// One balancer and a backend server that answers each request at once.
class balancer_with_server
{
public:
    balancer_with_server()
        : config_(make_configuration(14)),
          balancer_(
              balancer_builder{}
                  .self({.id = {{1, 1}, 1}, .data = {1, 2}, .data_centre = {}})
                  .seed(1)
                  .slots(table_slots)
                  .build())
    {
        reduce(timer_fired{});
        for (int round = 0; round < 10 && !balancer_.in_force(); ++round)
        {
            deliver_configuration();
        }
    }

    [[nodiscard]] bool is_ready() const
    {
        return balancer_.in_force() != nullptr;
    }

    [[nodiscard]] balancer_status status() const
    {
        return balancer_.status(now_);
    }

    /// Processes one request of a flow and its response: two packets.
    void serve(std::uint32_t flow_number)
    {
        constexpr auto packet_interval = 1us;
        now_.steady += packet_interval;
        now_.wall += packet_interval;
        request_packet request;
        request.key = {flow_key_of(flow_number),
                       request_number{++request_count_}};
        request.issued = now_.wall;
        request.deadline = now_.wall + 5s;
        reduce(request_received{request});
        for (std::size_t position = 0; position < requested_effects_.size();
             ++position)
        {
            if (auto const* sending =
                    std::get_if<send_request>(&requested_effects_[position]))
            {
                response_packet reply;
                reply.key = sending->packet.key;
                reply.attempt = sending->packet.attempt;
                auto const server = sending->destination;
                reduce(response_received{server, reply});
                ++response_count_;
                return;
            }
        }
    }

    [[nodiscard]] std::uint64_t response_count() const
    {
        return response_count_;
    }

private:
    void reduce(event const& next_event)
    {
        requested_effects_.clear();
        balancer_.reduce(next_event, now_, requested_effects_);
    }

    void deliver_configuration()
    {
        now_.steady += 1s;
        now_.wall += 1s;
        reduce(manifest_read{store_revision{1}, make_manifest(*config_)});
        for (auto const& chunk : split_into_chunks(*config_))
        {
            reduce(chunk_read{chunk->hash, chunk});
        }
        reduce(timer_fired{});
    }

    std::shared_ptr<configuration const> config_;
    balancer balancer_;
    instant now_{steady_time{1h}, wall_time{1h}};
    effects requested_effects_;
    std::uint64_t request_count_ = 0;
    std::uint64_t response_count_ = 0;
};

void reduce_packets_of_known_flows(benchmark::State& state)
{
    balancer_with_server balancer_under_load;
    if (!balancer_under_load.is_ready())
    {
        state.SkipWithError("no configuration in force");
        return;
    }
    for (std::uint32_t number = 0; number < open_flows; ++number)
    {
        balancer_under_load.serve(number);
    }
    auto const responses_before = balancer_under_load.response_count();
    auto const allocations_before = allocations();
    std::uint32_t number = 0;
    for (auto _ : state)
    {
        number = (number + flow_stride) % open_flows;
        balancer_under_load.serve(number);
    }
    auto const packets = 2 * state.iterations();
    state.SetItemsProcessed(packets);
    state.counters["allocations"] =
        static_cast<double>(allocations() - allocations_before) /
        static_cast<double>(packets);
    state.counters["flows"] =
        static_cast<double>(balancer_under_load.status().flows);
    state.counters["answered"] =
        static_cast<double>(balancer_under_load.response_count() -
                            responses_before) /
        static_cast<double>(state.iterations());
}

BENCHMARK(reduce_packets_of_known_flows);

} // namespace
} // namespace dotterelrouter::measure

BENCHMARK_MAIN();
