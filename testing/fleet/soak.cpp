// Runs fleets with fresh seeds for a while:
//
//     soak --seconds 300 --seed 1
//
// Prints one JSON object a profile and each violation with its seed; exits
// with 1 if a promise was broken.
#include "testing/fleet/fleet.hpp"
#include "testing/fleet/profiles.hpp"

#include <cxxopts.hpp>

#include <chrono>
#include <iostream>

namespace dotterelrouter::testing
{
namespace
{

/// Sums over the runs of one profile.
struct totals
{
    std::uint64_t runs = 0;
    std::uint64_t broken_runs = 0;
    report sum;
};

void add(totals& to, report const& seen)
{
    ++to.runs;
    to.broken_runs += seen.violations.empty() ? 0U : 1U;
    to.sum.calls += seen.calls;
    to.sum.answered += seen.answered;
    to.sum.not_run += seen.not_run;
    to.sum.unanswered += seen.unanswered;
    to.sum.executions += seen.executions;
    to.sum.moved_flows += seen.moved_flows;
}

void print(std::string_view name, totals const& of)
{
    std::cout << "{\"profile\": \"" << name << "\", \"runs\": " << of.runs
              << ", \"broken_runs\": " << of.broken_runs
              << ", \"calls\": " << of.sum.calls
              << ", \"answered\": " << of.sum.answered
              << ", \"told_not_run\": " << of.sum.not_run
              << ", \"open\": " << of.sum.unanswered
              << ", \"executions\": " << of.sum.executions
              << ", \"moved_flows\": " << of.sum.moved_flows << "}\n";
}

void run_one(profile const& how, std::uint64_t seed, totals& to)
{
    fleet<balancer_rules> run(how, seed);
    auto const seen = run.play();
    for (auto const& violation : seen.violations)
    {
        std::cout << violation << "\n";
    }
    add(to, seen);
}

int soak(std::chrono::seconds length, std::uint64_t seed)
{
    totals planned;
    totals harsh;
    auto const end = std::chrono::steady_clock::now() + length;
    while (std::chrono::steady_clock::now() < end)
    {
        run_one(planned_profile(), seed, planned);
        run_one(harsh_profile(), seed, harsh);
        ++seed;
    }
    print("planned", planned);
    print("harsh", harsh);
    return planned.broken_runs + harsh.broken_runs == 0 ? 0 : 1;
}

} // namespace
} // namespace dotterelrouter::testing

int main(int argc, char** argv)
{
    constexpr int bad_usage = 2;
    cxxopts::Options options("soak", "Random runs of a fleet, fresh seeds");
    options.add_options()("seconds",
                          "how long to run",
                          cxxopts::value<std::string>()->default_value("60"))(
        "seed",
        "first seed",
        cxxopts::value<std::string>()->default_value("1"));
    try
    {
        auto const given = options.parse(argc, argv);
        auto const seconds = std::stoul(given["seconds"].as<std::string>());
        auto const seed = std::stoull(given["seed"].as<std::string>());
        return dotterelrouter::testing::soak(std::chrono::seconds(seconds),
                                             seed);
    }
    catch (std::exception const& bad)
    {
        std::cerr << "soak: " << bad.what() << "\n" << options.help();
        return bad_usage;
    }
}
