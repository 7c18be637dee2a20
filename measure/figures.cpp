// Compares the policies in simulated time and prints one JSON object per figure
// and line.
//
//     figures [SEED [POLICY]]
#include "measure/internal/simulation.hpp"

#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <span>

namespace dotterelrouter::measure
{

double kind_result::goodput() const
{
    auto const time =
        std::chrono::duration<double>(run_duration - warm_up_period).count();
    return static_cast<double>(answered) / time;
}

duration kind_result::p99() const
{
    if (latencies.empty())
    {
        return {};
    }
    constexpr std::size_t percentile = 99;
    auto sorted = latencies;
    auto const position =
        sorted.begin() +
        static_cast<std::ptrdiff_t>(sorted.size() * percentile / 100);
    std::ranges::nth_element(sorted, position);
    return *position;
}

namespace
{

/// The fields that every line of a run has in common.
struct run_label
{
    std::string_view deployment;
    std::string_view policy;
    std::string run;
    std::uint64_t seed = 0;
};

void print(run_label const& label,
           std::string_view name,
           std::string_view subject,
           double value,
           std::string_view unit)
{
    std::cout << R"({"name":")" << name << R"(","value":)" << value
              << R"(,"unit":")" << unit << R"(","subject":")" << subject
              << R"(","run":")" << label.run << R"(","deployment":")"
              << label.deployment << R"(","policy":")" << label.policy
              << R"(","seed":)" << label.seed << "}\n";
}

double milliseconds(duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

void print_imbalance(run_label const& label,
                     deployment const& system,
                     run_result const& result)
{
    for (std::size_t index = 0; index < system.services.size(); ++index)
    {
        print(label,
              "imbalance",
              system.services[index].name,
              result.imbalance[index],
              "max/mean");
    }
    for (std::size_t index = 0; index < system.kinds.size(); ++index)
    {
        auto const& kind = result.kinds[index];
        auto const flows = std::max<std::uint64_t>(kind.flows, 1);
        print(label,
              "deviating_flows",
              system.kinds[index].name,
              static_cast<double>(kind.deviating_flows) /
                  static_cast<double>(flows),
              "share");
        print(label,
              "p99",
              system.kinds[index].name,
              milliseconds(kind.p99()),
              "ms");
        print(label,
              "answered",
              system.kinds[index].name,
              static_cast<double>(kind.answered) /
                  static_cast<double>(std::max<std::uint64_t>(kind.issued, 1)),
              "share");
    }
    print(label, "sheds", "", static_cast<double>(result.sheds), "requests");
}

template <policy Policy>
void measure_imbalance(deployment const& system, std::uint64_t seed)
{
    constexpr std::array loads{0.4, 0.7, 0.95};
    for (auto const load : loads)
    {
        run_label const label{system.name,
                              Policy::name,
                              "load " +
                                  std::to_string(static_cast<int>(load * 100)),
                              seed};
        scenario const run_scenario{
            .load = load, .overloaded_kind = {}, .seed = seed};
        print_imbalance(
            label, system, simulation<Policy>(system, run_scenario).run());
    }
    constexpr double default_load = 0.7;
    scenario const cold_server{.load = default_load,
                               .overloaded_kind = {},
                               .has_cold_server = true,
                               .seed = seed};
    scenario const slow_server{.load = default_load,
                               .overloaded_kind = {},
                               .has_slow_server = true,
                               .seed = seed};
    scenario const false_reports{.load = default_load,
                                 .overloaded_kind = {},
                                 .has_false_reports = true,
                                 .seed = seed};
    run_label label{system.name, Policy::name, "cold server", seed};
    print_imbalance(
        label, system, simulation<Policy>(system, cold_server).run());
    label.run = "slow server";
    print_imbalance(
        label, system, simulation<Policy>(system, slow_server).run());
    label.run = "lying reports";
    print_imbalance(
        label, system, simulation<Policy>(system, false_reports).run());
}

void print_retention(run_label const& label,
                     deployment const& system,
                     run_result const& baseline,
                     run_result const& overloaded)
{
    for (std::size_t index = 0; index < system.kinds.size(); ++index)
    {
        auto const& name = system.kinds[index].name;
        auto const& before = baseline.kinds[index];
        auto const& during = overloaded.kinds[index];
        print(label,
              "retention_goodput",
              name,
              during.goodput() / before.goodput(),
              "ratio");
        print(label,
              "retention_p99",
              name,
              milliseconds(before.p99()) / milliseconds(during.p99()),
              "ratio");
        print(label, "p99", name, milliseconds(during.p99()), "ms");
    }
    print(
        label, "sheds", "", static_cast<double>(overloaded.sheds), "requests");
}

template <policy Policy>
void measure_retention(deployment const& system, std::uint64_t seed)
{
    scenario const run_scenario{
        .load = 0.7, .overloaded_kind = {}, .seed = seed};
    auto const baseline = simulation<Policy>(system, run_scenario).run();
    for (std::size_t index = system.kinds.size(); index > 0; --index)
    {
        auto overloaded_scenario = run_scenario;
        overloaded_scenario.overloaded_kind = index - 1;
        run_label const label{system.name,
                              Policy::name,
                              "flood of " + system.kinds[index - 1].name,
                              seed};
        print_retention(label,
                        system,
                        baseline,
                        simulation<Policy>(system, overloaded_scenario).run());
    }
}

template <policy Policy>
void measure_all(deployment const& system, std::uint64_t seed)
{
    measure_imbalance<Policy>(system, seed);
    measure_retention<Policy>(system, seed);
}

/// Measures the named policy, or all of them if the name is empty.
void measure_seed(std::uint64_t seed, std::string_view policy)
{
    for (auto const& system : {dublin(), quetzaltenango()})
    {
        if (policy.empty() || policy == product_policy::name)
        {
            measure_all<product_policy>(system, seed);
        }
        if (policy.empty() || policy == balancer_policy::name)
        {
            measure_all<balancer_policy>(system, seed);
        }
        if (policy.empty() || policy == naive_policy::name)
        {
            measure_all<naive_policy>(system, seed);
        }
        if (policy.empty() || policy == all_knowing_policy::name)
        {
            measure_all<all_knowing_policy>(system, seed);
        }
    }
}

} // namespace
} // namespace dotterelrouter::measure

int main(int argc, char** argv)
{
    std::span const arguments(argv, static_cast<std::size_t>(argc));
    constexpr int decimal = 10;
    auto const seed =
        argc > 1 ? std::strtoull(arguments[1], nullptr, decimal) : 1;
    auto const* policy = argc > 2 ? arguments[2] : "";
    dotterelrouter::measure::measure_seed(seed, policy);
}
