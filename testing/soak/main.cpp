// Runs real forwarder processes under random faults:
//
//     forwarder_soak --seed 1 --runs 2 --seconds 25 --forwarders 5
//
// Prints one JSON object a run; exits with 1 if a promise was broken or a
// calm end was not served.
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

/// Least share of the calm end's flows that are served.
constexpr double least_served = 0.98;

bool holds(soak_report const& seen)
{
    return seen.violations.empty() && seen.late_flows > 0 &&
           static_cast<double>(seen.late_served) >=
               least_served * static_cast<double>(seen.late_flows);
}

void print(soak_report const& seen, soak_settings settings)
{
    nlohmann::json const line{{"seed", settings.seed},
                              {"forwarders", settings.forwarders},
                              {"holds", holds(seen)},
                              {"flows", seen.flows},
                              {"served", seen.served},
                              {"refused", seen.refused},
                              {"broken", seen.broken},
                              {"strays", seen.strays},
                              {"faults", seen.faults},
                              {"late_flows", seen.late_flows},
                              {"late_served", seen.late_served},
                              {"violations", seen.violations}};
    std::cout << line.dump() << std::endl;
}

int run(soak_settings settings, std::uint64_t runs)
{
    auto all_hold = true;
    for (std::uint64_t done = 0; done < runs; ++done, ++settings.seed)
    {
        auto const seen = run_soak(settings);
        print(seen, settings);
        all_hold = all_hold && holds(seen);
    }
    return all_hold ? 0 : 1;
}

} // namespace
} // namespace dotterelrouter::testing

int main(int argc, char** argv)
{
    constexpr int bad_usage = 2;
    cxxopts::Options options("forwarder_soak",
                             "Random faults on real forwarder processes");
    auto const number =
        [&options](char const* name, char const* what, char const* otherwise)
    {
        options.add_options()(
            name,
            what,
            cxxopts::value<std::string>()->default_value(otherwise));
    };
    number("seed", "first seed", "1");
    number("runs", "how many seeds", "1");
    number("seconds", "length of a run, at least 15", "25");
    number("forwarders", "processes, 3 to 250", "5");
    try
    {
        auto const given = options.parse(argc, argv);
        auto const value = [&given](char const* name)
        {
            return std::stoull(given[name].as<std::string>());
        };
        constexpr std::uint64_t shortest = 15;
        dotterelrouter::testing::soak_settings settings;
        settings.seed = value("seed");
        settings.forwarders = value("forwarders");
        settings.length = std::chrono::seconds(value("seconds"));
        if (settings.length < std::chrono::seconds(shortest) ||
            settings.forwarders < 3 || settings.forwarders > 250)
        {
            throw std::out_of_range("seconds or forwarders out of range");
        }
        return dotterelrouter::testing::run(settings, value("runs"));
    }
    catch (std::exception const& bad)
    {
        std::cerr << "forwarder_soak: " << bad.what() << "\n" << options.help();
        return bad_usage;
    }
}
