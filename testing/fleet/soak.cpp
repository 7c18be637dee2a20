// Simulates fleets of balancers with consecutive seeds for a given time:
//
//     soak --seconds 300 --seed 1
//
// Prints each violation with its seed, and one JSON object for each profile at
// the end. Exits with 0 if every guarantee held, 1 if one was violated, and 2
// if the arguments are invalid.
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
struct profile_totals
{
    std::uint64_t run_count = 0;
    std::uint64_t runs_with_violations = 0;
    run_report sum;
};

void add(profile_totals& totals, run_report const& report)
{
    ++totals.run_count;
    totals.runs_with_violations += report.violations.empty() ? 0U : 1U;
    totals.sum.calls += report.calls;
    totals.sum.answered += report.answered;
    totals.sum.not_run += report.not_run;
    totals.sum.unanswered += report.unanswered;
    totals.sum.executions += report.executions;
    totals.sum.flow_moves += report.flow_moves;
}

void print(std::string_view profile_name, profile_totals const& totals)
{
    std::cout << "{\"profile\": \"" << profile_name
              << "\", \"runs\": " << totals.run_count
              << ", \"broken_runs\": " << totals.runs_with_violations
              << ", \"calls\": " << totals.sum.calls
              << ", \"answered\": " << totals.sum.answered
              << ", \"told_not_run\": " << totals.sum.not_run
              << ", \"open\": " << totals.sum.unanswered
              << ", \"executions\": " << totals.sum.executions
              << ", \"moved_flows\": " << totals.sum.flow_moves << "}\n";
}

void run_one(run_profile const& profile,
             std::uint64_t seed,
             profile_totals& totals)
{
    fleet_simulation<balancer_rules> simulation(profile, seed);
    auto const report = simulation.run();
    for (auto const& violation : report.violations)
    {
        std::cout << violation << "\n";
    }
    add(totals, report);
}

int soak(std::chrono::seconds run_time, std::uint64_t seed)
{
    profile_totals planned;
    profile_totals harsh;
    auto const end = std::chrono::steady_clock::now() + run_time;
    while (std::chrono::steady_clock::now() < end)
    {
        run_one(planned_profile(), seed, planned);
        run_one(harsh_profile(), seed, harsh);
        ++seed;
    }
    print("planned", planned);
    print("harsh", harsh);
    return planned.runs_with_violations + harsh.runs_with_violations == 0 ? 0
                                                                          : 1;
}

} // namespace
} // namespace dotterelrouter::testing

int main(int argc, char** argv)
{
    constexpr int usage_error = 2;
    cxxopts::Options options(
        "soak", "Simulates fleets of balancers with consecutive seeds");
    options.add_options()("seconds",
                          "run time in seconds; the last runs are completed",
                          cxxopts::value<std::string>()->default_value("60"))(
        "seed",
        "seed of the first runs",
        cxxopts::value<std::string>()->default_value("1"));
    try
    {
        auto const arguments = options.parse(argc, argv);
        auto const seconds = std::stoul(arguments["seconds"].as<std::string>());
        auto const seed = std::stoull(arguments["seed"].as<std::string>());
        return dotterelrouter::testing::soak(std::chrono::seconds(seconds),
                                             seed);
    }
    catch (std::exception const& error)
    {
        std::cerr << "soak: " << error.what() << "\n" << options.help();
        return usage_error;
    }
}
