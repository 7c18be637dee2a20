// Soak test of real forwarder processes under random faults:
//
//     forwarder_soak --seed 1 --runs 2 --seconds 25 --forwarders 5
//
// Prints one JSON object for each run. Exits with 1 if a run violated a
// guarantee or served too few of the flows that were opened after the recovery,
// with 2 if a flag is invalid.
#include "testing/soak/soak_process.hpp"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <exception>
#include <iostream>
#include <string>

namespace dotterelrouter::testing
{
namespace
{

/// Minimum share of the flows opened after the recovery that must be served.
constexpr double min_late_served_share = 0.98;

bool has_passed(soak_report const& report)
{
    return report.violations.empty() && report.late_flows > 0 &&
           static_cast<double>(report.late_served) >=
               min_late_served_share * static_cast<double>(report.late_flows);
}

void print(soak_report const& report, soak_settings settings)
{
    nlohmann::json const line{{"seed", settings.seed},
                              {"forwarders", settings.forwarder_count},
                              {"holds", has_passed(report)},
                              {"flows", report.flows},
                              {"served", report.served},
                              {"refused", report.refused},
                              {"broken", report.broken},
                              {"strays", report.misrouted_packets},
                              {"faults", report.faults},
                              {"late_flows", report.late_flows},
                              {"late_served", report.late_served},
                              {"violations", report.violations}};
    std::cout << line.dump() << std::endl;
}

int run(soak_settings settings, std::uint64_t runs)
{
    auto all_passed = true;
    for (std::uint64_t run_index = 0; run_index < runs;
         ++run_index, ++settings.seed)
    {
        auto const report = run_soak(settings);
        print(report, settings);
        all_passed = all_passed && has_passed(report);
    }
    return all_passed ? 0 : 1;
}

} // namespace
} // namespace dotterelrouter::testing

int main(int argc, char** argv)
{
    constexpr int usage_error_exit_code = 2;
    cxxopts::Options options("forwarder_soak",
                             "Random faults on real forwarder processes");
    auto const add_number_option = [&options](char const* name,
                                              char const* description,
                                              char const* default_value)
    {
        options.add_options()(
            name,
            description,
            cxxopts::value<std::string>()->default_value(default_value));
    };
    add_number_option("seed", "first seed", "1");
    add_number_option("runs", "number of runs, each with the next seed", "1");
    add_number_option("seconds", "duration of a run, at least 15", "25");
    add_number_option(
        "forwarders", "number of forwarder processes, 3 to 250", "5");
    try
    {
        auto const flags = options.parse(argc, argv);
        auto const value = [&flags](char const* name)
        {
            return std::stoull(flags[name].as<std::string>());
        };
        constexpr std::uint64_t min_seconds = 15;
        dotterelrouter::testing::soak_settings settings;
        settings.seed = value("seed");
        settings.forwarder_count = value("forwarders");
        settings.run_duration = std::chrono::seconds(value("seconds"));
        if (settings.run_duration < std::chrono::seconds(min_seconds) ||
            settings.forwarder_count < 3 || settings.forwarder_count > 250)
        {
            throw std::out_of_range(
                "--seconds must be at least 15 and --forwarders 3 to 250");
        }
        return dotterelrouter::testing::run(settings, value("runs"));
    }
    catch (std::exception const& error)
    {
        std::cerr << "forwarder_soak: " << error.what() << "\n"
                  << options.help();
        return usage_error_exit_code;
    }
}
