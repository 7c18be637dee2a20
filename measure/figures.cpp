// Figures of the policies in simulated time, one JSON object a line.
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
        std::chrono::duration<double>(run_time - settling_time).count();
    return static_cast<double>(answered) / time;
}

duration kind_result::p99() const
{
    if (latencies.empty())
    {
        return {};
    }
    constexpr std::size_t hundredths = 99;
    auto sorted = latencies;
    auto const place = sorted.begin() + static_cast<std::ptrdiff_t>(
                                            sorted.size() * hundredths / 100);
    std::ranges::nth_element(sorted, place);
    return *place;
}

namespace
{

/// What every line of a run tells of it.
struct label
{
    std::string_view deployment;
    std::string_view policy;
    std::string run;
    std::uint64_t seed = 0;
};

void print(label const& of,
           std::string_view name,
           std::string_view subject,
           double value,
           std::string_view unit)
{
    std::cout << R"({"name":")" << name << R"(","value":)" << value
              << R"(,"unit":")" << unit << R"(","subject":")" << subject
              << R"(","run":")" << of.run << R"(","deployment":")"
              << of.deployment << R"(","policy":")" << of.policy
              << R"(","seed":)" << of.seed << "}\n";
}

double milliseconds(duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

void print_imbalance(label const& of,
                     deployment const& system,
                     result const& seen)
{
    for (std::size_t at = 0; at < system.services.size(); ++at)
    {
        print(of,
              "imbalance",
              system.services[at].name,
              seen.imbalance[at],
              "max/mean");
    }
    for (std::size_t at = 0; at < system.kinds.size(); ++at)
    {
        auto const& kind = seen.kinds[at];
        auto const flows = std::max<std::uint64_t>(kind.flows, 1);
        print(of,
              "deviating_flows",
              system.kinds[at].name,
              static_cast<double>(kind.deviating_flows) /
                  static_cast<double>(flows),
              "share");
        print(of, "p99", system.kinds[at].name, milliseconds(kind.p99()), "ms");
        print(of,
              "answered",
              system.kinds[at].name,
              static_cast<double>(kind.answered) /
                  static_cast<double>(std::max<std::uint64_t>(kind.asked, 1)),
              "share");
    }
    print(of, "sheds", "", static_cast<double>(seen.sheds), "requests");
}

template <policy Policy>
void measure_imbalance(deployment const& system, std::uint64_t seed)
{
    constexpr std::array loads{0.4, 0.7, 0.95};
    for (auto const load : loads)
    {
        label const of{system.name,
                       Policy::name,
                       "load " + std::to_string(static_cast<int>(load * 100)),
                       seed};
        scenario const how{.load = load, .flooded = {}, .seed = seed};
        print_imbalance(of, system, simulation<Policy>(system, how).run());
    }
    constexpr double usual = 0.7;
    scenario const cold{
        .load = usual, .flooded = {}, .cold_server = true, .seed = seed};
    scenario const slow{
        .load = usual, .flooded = {}, .slow_server = true, .seed = seed};
    scenario const lies{
        .load = usual, .flooded = {}, .lying_reports = true, .seed = seed};
    label of{system.name, Policy::name, "cold server", seed};
    print_imbalance(of, system, simulation<Policy>(system, cold).run());
    of.run = "slow server";
    print_imbalance(of, system, simulation<Policy>(system, slow).run());
    of.run = "lying reports";
    print_imbalance(of, system, simulation<Policy>(system, lies).run());
}

void print_retention(label const& of,
                     deployment const& system,
                     result const& plain,
                     result const& flooded)
{
    for (std::size_t at = 0; at < system.kinds.size(); ++at)
    {
        auto const& name = system.kinds[at].name;
        auto const& before = plain.kinds[at];
        auto const& during = flooded.kinds[at];
        print(of,
              "retention_goodput",
              name,
              during.goodput() / before.goodput(),
              "ratio");
        print(of,
              "retention_p99",
              name,
              milliseconds(before.p99()) / milliseconds(during.p99()),
              "ratio");
        print(of, "p99", name, milliseconds(during.p99()), "ms");
    }
    print(of, "sheds", "", static_cast<double>(flooded.sheds), "requests");
}

template <policy Policy>
void measure_retention(deployment const& system, std::uint64_t seed)
{
    scenario const how{.load = 0.7, .flooded = {}, .seed = seed};
    auto const plain = simulation<Policy>(system, how).run();
    for (std::size_t at = system.kinds.size(); at > 0; --at)
    {
        auto flood = how;
        flood.flooded = at - 1;
        label const of{system.name,
                       Policy::name,
                       "flood of " + system.kinds[at - 1].name,
                       seed};
        print_retention(
            of, system, plain, simulation<Policy>(system, flood).run());
    }
}

template <policy Policy>
void measure_all(deployment const& system, std::uint64_t seed)
{
    measure_imbalance<Policy>(system, seed);
    measure_retention<Policy>(system, seed);
}

/// With no policy named, all of them.
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
