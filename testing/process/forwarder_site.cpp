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

constexpr std::uint32_t store_host_number = 250;
constexpr std::uint16_t last_internal_port = first_internal_port + 15;

/// Address of a random /16 network of 127.0.0.0/8. Each site has its own, so
/// that concurrent runs do not collide.
std::uint32_t random_network_address()
{
    std::random_device source;
    constexpr std::uint32_t loopback = 0x7f000000;
    auto const second_octet =
        std::uniform_int_distribution<std::uint32_t>{0x10, 0xfa}(source);
    return loopback | second_octet << 16U;
}

std::string ip_text(std::uint32_t ip)
{
    auto const text = to_string(endpoint{ip, 0});
    return text.substr(0, text.find(':'));
}

} // namespace

forwarder_site::forwarder_site(site_settings settings) : settings_(settings)
{
    // The directory reserves the network: another site that draws the same
    // address fails to create it and draws again.
    do
    {
        network_address_ = random_network_address();
        directory_ = std::filesystem::temp_directory_path() /
                     ("process_test_" + std::to_string(network_address_));
    } while (!std::filesystem::create_directory(directory_));
}

forwarder_site::~forwarder_site()
{
    if (keeps_files_)
    {
        return;
    }
    std::error_code ignored; // Leftover files do not affect later runs.
    std::filesystem::remove_all(directory_, ignored);
}

std::uint32_t forwarder_site::ip(std::uint32_t host_number) const
{
    return network_address_ + host_number;
}

endpoint forwarder_site::store_endpoint() const
{
    return {ip(store_host_number), store_port};
}

void forwarder_site::set_store_endpoint(std::uint32_t forwarder_number,
                                        endpoint store)
{
    store_endpoints_[forwarder_number] = store;
}

child_process forwarder_site::start(std::uint32_t forwarder_number)
{
    write_settings(forwarder_number);
    return start_with_existing_settings(forwarder_number);
}

void forwarder_site::write_settings(std::uint32_t forwarder_number) const
{
    auto const endpoint_text = [this, forwarder_number](std::uint16_t port)
    {
        return to_string(endpoint{ip(forwarder_number), port});
    };
    auto seed_addresses = json::array();
    for (std::uint32_t seed_number = 1; seed_number <= settings_.seed_count;
         ++seed_number)
    {
        seed_addresses.push_back(
            to_string(endpoint{ip(seed_number), control_port}));
    }
    auto const configured_store = store_endpoints_.find(forwarder_number);
    auto const store = configured_store == store_endpoints_.end()
                           ? store_endpoint()
                           : configured_store->second;
    json const settings{
        {"NodeName", "vm-" + std::to_string(forwarder_number)},
        {"IpAddress", ip_text(ip(forwarder_number))},
        {"Zone", data_centre_name(forwarder_number)},
        {"Listen",
         {{"DatagramAddress", endpoint_text(packet_port)},
          {"ReadinessAddress", endpoint_text(readiness_port)},
          {"Control", endpoint_text(control_port)}}},
        {"InternalPortRange", {first_internal_port, last_internal_port}},
        {"Seeds", seed_addresses},
        {"platform", {{"Address", to_string(store)}}}};
    std::ofstream{settings_path(forwarder_number)} << settings.dump();
}

child_process forwarder_site::start_with_existing_settings(
    std::uint32_t forwarder_number) const
{
    setenv("DOTTERELROUTER_BOOT", settings_path(forwarder_number).c_str(), 1);
    std::array<std::string, 2> const arguments{FORWARDER_PROGRAM, "forward"};
    return {arguments, log_path(forwarder_number)};
}

bool forwarder_site::is_ready(std::uint32_t forwarder_number) const
{
    return http_call(
               "GET", {ip(forwarder_number), readiness_port}, "/v1/readiness")
        .has_value();
}

bool forwarder_site::wait_until_ready(std::uint32_t forwarder_number,
                                      duration timeout) const
{
    return wait_until(
        [&]
        {
            return is_ready(forwarder_number);
        },
        timeout);
}

std::string forwarder_site::settings_path(std::uint32_t forwarder_number) const
{
    return (directory_ / ("settings" + std::to_string(forwarder_number)))
        .string();
}

std::string forwarder_site::log_path(std::uint32_t forwarder_number) const
{
    return (directory_ / ("log" + std::to_string(forwarder_number))).string();
}

std::string forwarder_site::log_text(std::uint32_t forwarder_number) const
{
    std::ifstream file{log_path(forwarder_number)};
    return {std::istreambuf_iterator<char>(file), {}};
}

std::string forwarder_site::keep_files()
{
    keeps_files_ = true;
    return directory_.string();
}

std::string
forwarder_site::data_centre_name(std::uint32_t forwarder_number) const
{
    return std::string(
        1,
        static_cast<char>('a' +
                          forwarder_number % settings_.data_centre_count));
}

} // namespace dotterelrouter::testing
