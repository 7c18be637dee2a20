// Speed of the parts that each packet passes.
//
//     hot_path [--benchmark_filter=REGEX]
//
// `packets` counts requests and answers; `allocations` are calls of operator
// new for each packet or operation.
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
/// Steps through the flows so that neighbours in time are not in memory.
constexpr std::uint32_t stride = 7919;

flow_key flow(std::uint32_t number)
{
    return {{number + 1, 7}, service_address};
}

std::shared_ptr<configuration const> system_of(std::uint16_t servers)
{
    constexpr std::uint16_t slots = 1000;
    configuration_builder builder;
    builder.epoch(epoch_number{1}).kind({.id = {}, .name = "lookup"});
    for (std::uint16_t number = 0; number < servers; ++number)
    {
        builder.server({.name = "s" + std::to_string(number),
                        .service = "catalogue",
                        .where = {1, static_cast<std::uint16_t>(number + 1)},
                        .data_centre = "a",
                        .slots = slots});
    }
    builder.address(
        {.where = service_address, .service = "catalogue", .kind = "lookup"});
    return builder.build();
}

void fill(flow_table& table, std::uint32_t flows)
{
    for (std::uint32_t number = 0; number < flows; ++number)
    {
        table.put(flow(number), server_id{1}, {});
    }
}

void find_known_flow(benchmark::State& state)
{
    flow_table table(table_slots, std::size_t{4} * open_flows);
    fill(table, open_flows);
    std::uint32_t number = 0;
    auto const before = allocations();
    for (auto _ : state)
    {
        number = (number + stride) % open_flows;
        benchmark::DoNotOptimize(table.find(flow(number)));
    }
    state.counters["allocations"] =
        benchmark::Counter(static_cast<double>(allocations() - before),
                           benchmark::Counter::kAvgIterations);
    state.counters["bytes_a_flow"] =
        static_cast<double>(table.memory()) / open_flows;
}

BENCHMARK(find_known_flow);

/// Adds flows up to the argument; the slowest single call counts as well.
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
            auto const from = clock::now();
            table.put(flow(number), server_id{1}, {});
            slowest = std::max<duration>(slowest, clock::now() - from);
        }
        memory = table.memory();
    }
    state.SetItemsProcessed(state.iterations() * flows);
    state.counters["bytes_a_flow"] = static_cast<double>(memory) / flows;
    state.counters["slowest_us"] =
        std::chrono::duration<double, std::micro>(slowest).count();
}

BENCHMARK(grow_table)->Arg(1'000)->Arg(100'000)->Arg(500'000)->Arg(2'000'000);

struct even_loads
{
    [[nodiscard]] bool usable(server_id /*server*/) const
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
    auto const system = system_of(static_cast<std::uint16_t>(state.range(0)));
    auto const& from = system->services().front();
    auto const length =
        state.range(1) == 1 ? flow_length::single : flow_length::many;
    std::uint32_t number = 0;
    auto const before = allocations();
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(
            choose(from, flow(++number), length, even_loads{}));
    }
    state.counters["allocations"] =
        benchmark::Counter(static_cast<double>(allocations() - before),
                           benchmark::Counter::kAvgIterations);
}

BENCHMARK(choose_server)->ArgsProduct({{4, 14, 300}, {0, 1}});

/// One balancer that serves all slots, and an ideal server behind it.
class served_balancer
{
public:
    served_balancer()
        : system_(system_of(14)),
          state_(
              balancer_builder{}
                  .self({.id = {{1, 1}, 1}, .data = {1, 2}, .data_centre = {}})
                  .seed(1)
                  .slots(table_slots)
                  .build())
    {
        reduce(timer_fired{});
        for (int round = 0; round < 10 && !state_.in_force(); ++round)
        {
            give_configuration();
        }
    }

    [[nodiscard]] bool ready() const
    {
        return state_.in_force() != nullptr;
    }

    [[nodiscard]] balancer_status status() const
    {
        return state_.status(now_);
    }

    /// A request of a flow and its whole answer: two packets.
    void serve(std::uint32_t flow_number)
    {
        constexpr auto between = 1us;
        now_.steady += between;
        now_.wall += between;
        request_packet request;
        request.key = {flow(flow_number), request_number{++requests_}};
        request.issued = now_.wall;
        request.deadline = now_.wall + 5s;
        reduce(request_received{request});
        for (std::size_t at = 0; at < out_.size(); ++at)
        {
            if (auto const* sent = std::get_if<send_request>(&out_[at]))
            {
                answer_packet reply;
                reply.key = sent->packet.key;
                reply.attempt = sent->packet.attempt;
                auto const from = sent->to;
                reduce(answer_received{from, reply});
                ++answered_;
                return;
            }
        }
    }

    [[nodiscard]] std::uint64_t answered() const
    {
        return answered_;
    }

private:
    void reduce(event const& happened)
    {
        out_.clear();
        state_.reduce(happened, now_, out_);
    }

    void give_configuration()
    {
        now_.steady += 1s;
        now_.wall += 1s;
        reduce(manifest_read{store_revision{1}, manifest_of(*system_)});
        for (auto const& chunk : split(*system_))
        {
            reduce(chunk_read{chunk->hash, chunk});
        }
        reduce(timer_fired{});
    }

    std::shared_ptr<configuration const> system_;
    balancer state_;
    instant now_{steady_time{1h}, wall_time{1h}};
    effects out_;
    std::uint64_t requests_ = 0;
    std::uint64_t answered_ = 0;
};

void reduce_packets_of_known_flows(benchmark::State& state)
{
    served_balancer served;
    if (!served.ready())
    {
        state.SkipWithError("no configuration in force");
        return;
    }
    for (std::uint32_t number = 0; number < open_flows; ++number)
    {
        served.serve(number);
    }
    auto const answered = served.answered();
    auto const before = allocations();
    std::uint32_t number = 0;
    for (auto _ : state)
    {
        number = (number + stride) % open_flows;
        served.serve(number);
    }
    auto const packets = 2 * state.iterations();
    state.SetItemsProcessed(packets);
    state.counters["allocations"] =
        static_cast<double>(allocations() - before) /
        static_cast<double>(packets);
    state.counters["flows"] = static_cast<double>(served.status().flows);
    state.counters["answered"] =
        static_cast<double>(served.answered() - answered) /
        static_cast<double>(state.iterations());
}

BENCHMARK(reduce_packets_of_known_flows);

} // namespace
} // namespace dotterelrouter::measure

BENCHMARK_MAIN();
