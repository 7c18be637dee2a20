#include "testing/process/forwarder_site.hpp"

#include "dotterelrouter/http/http.hpp"
#include "testing/process/http_call.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <random>

namespace dotterelrouter::testing
{
namespace
{

using nlohmann::json;

constexpr std::uint32_t store_number = 250;
constexpr std::uint16_t last_internal_port = internal_port + 15;

/// A network of its own for each site, so that runs don't meet.
std::uint32_t random_network()
{
    std::random_device source;
    constexpr std::uint32_t loopback = 0x7f000000;
    auto const middle =
        std::uniform_int_distribution<std::uint32_t>{0x10, 0xfa}(source);
    return loopback | middle << 16U;
}

std::string ip_text(std::uint32_t ip)
{
    auto const text = to_string(endpoint{ip, 0});
    return text.substr(0, text.find(':'));
}

} // namespace

forwarder_site::forwarder_site(site_settings settings) : settings_(settings)
{
    // The folder keeps other sites off the network.
    do
    {
        network_ = random_network();
        folder_ = std::filesystem::temp_directory_path() /
                  ("process_test_" + std::to_string(network_));
    } while (!std::filesystem::create_directory(folder_));
}

forwarder_site::~forwarder_site()
{
    if (kept_)
    {
        return;
    }
    std::error_code ignored; // Left files do no harm to later runs.
    std::filesystem::remove_all(folder_, ignored);
}

std::uint32_t forwarder_site::ip(std::uint32_t last) const
{
    return network_ + last;
}

endpoint forwarder_site::store_at() const
{
    return {ip(store_number), store_port};
}

void forwarder_site::set_store(std::uint32_t number, endpoint where)
{
    stores_[number] = where;
}

child_process forwarder_site::start(std::uint32_t number)
{
    write_settings(number);
    return start_again(number);
}

void forwarder_site::write_settings(std::uint32_t number) const
{
    auto const at = [this, number](std::uint16_t port)
    {
        return to_string(endpoint{ip(number), port});
    };
    auto seeds = json::array();
    for (std::uint32_t seed = 1; seed <= settings_.seeds; ++seed)
    {
        seeds.push_back(to_string(endpoint{ip(seed), control_port}));
    }
    auto const known = stores_.find(number);
    auto const store = known == stores_.end() ? store_at() : known->second;
    json const all{{"NodeName", "vm-" + std::to_string(number)},
                   {"IpAddress", ip_text(ip(number))},
                   {"Zone", data_centre_of(number)},
                   {"Listen",
                    {{"DatagramAddress", at(packet_port)},
                     {"ReadinessAddress", at(readiness_port)},
                     {"Control", at(control_port)}}},
                   {"InternalPortRange", {internal_port, last_internal_port}},
                   {"Seeds", seeds},
                   {"platform", {{"Address", to_string(store)}}}};
    std::ofstream{settings_of(number)} << all.dump();
}

child_process forwarder_site::start_again(std::uint32_t number) const
{
    setenv("DOTTERELROUTER_BOOT", settings_of(number).c_str(), 1);
    std::array<std::string, 2> const arguments{FORWARDER_PROGRAM, "forward"};
    return {arguments, log_of(number)};
}

bool forwarder_site::ready(std::uint32_t number) const
{
    return http_call("GET", {ip(number), readiness_port}, "/v1/readiness")
        .has_value();
}

bool forwarder_site::becomes_ready(std::uint32_t number, duration limit) const
{
    return wait_until(
        [&]
        {
            return ready(number);
        },
        limit);
}

std::string forwarder_site::settings_of(std::uint32_t number) const
{
    return (folder_ / ("settings" + std::to_string(number))).string();
}

std::string forwarder_site::log_of(std::uint32_t number) const
{
    return (folder_ / ("log" + std::to_string(number))).string();
}

std::string forwarder_site::logged(std::uint32_t number) const
{
    std::ifstream file{log_of(number)};
    return {std::istreambuf_iterator<char>(file), {}};
}

std::string forwarder_site::keep()
{
    kept_ = true;
    return folder_.string();
}

std::string forwarder_site::data_centre_of(std::uint32_t number) const
{
    return std::string(
        1, static_cast<char>('a' + number % settings_.data_centres));
}

} // namespace dotterelrouter::testing
