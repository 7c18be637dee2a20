// Real forwarder processes on loopback addresses, with a stand-in of the
// store, and with sockets of the test as servers and as a caller.
#include "dotterelrouter/runtime/runtime.hpp"
#include "standins/store/store.hpp"
#include "testing/process/forwarder_site.hpp"
#include "testing/process/http_call.hpp"
#include "testing/process/packet_bytes.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter::testing
{
namespace
{

using namespace std::chrono_literals;
using nlohmann::json;

constexpr std::uint16_t server_port = 8080;
constexpr std::uint32_t service_ip = 0xc6120001;
constexpr std::uint16_t service_port = 443;
constexpr std::uint32_t caller_number = 50;
constexpr std::uint32_t first_server_number = 100;

/// A UDP socket with a short patience.
class socket_for_tests
{
public:
    socket_for_tests(std::uint32_t ip, std::uint16_t port)
        : descriptor_(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0))
    {
        auto const address = address_of({ip, port});
        CHECK(::bind(descriptor_,
                     reinterpret_cast<sockaddr const*>(&address),
                     sizeof(address)) == 0);
    }

    socket_for_tests(socket_for_tests const&) = delete;
    socket_for_tests& operator=(socket_for_tests const&) = delete;

    ~socket_for_tests()
    {
        ::close(descriptor_);
    }

    void send(endpoint to, std::string const& bytes) const
    {
        auto const address = address_of(to);
        ::sendto(descriptor_,
                 bytes.data(),
                 bytes.size(),
                 0,
                 reinterpret_cast<sockaddr const*>(&address),
                 sizeof(address));
    }

    /// The next datagram; empty if none comes in time.
    [[nodiscard]] std::string receive(duration limit) const
    {
        std::array<char, 1500> bytes{};
        ssize_t size = -1;
        wait_until(
            [&]
            {
                size = ::recv(
                    descriptor_, bytes.data(), bytes.size(), MSG_DONTWAIT);
                return size >= 0;
            },
            limit);
        return size < 0
                   ? std::string{}
                   : std::string{bytes.data(), static_cast<std::size_t>(size)};
    }

private:
    static sockaddr_in address_of(endpoint where)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(where.ip);
        address.sin_port = htons(where.port);
        return address;
    }

    int descriptor_;
};

/// A caller's packet.
std::string packet(std::uint32_t caller,
                   std::uint16_t port,
                   unsigned char flags,
                   std::uint32_t token = 0,
                   std::string_view data = {})
{
    return encode({.token = token,
                   .flags = flags,
                   .from = {caller, port},
                   .to = {service_ip, service_port},
                   .sequence = 7,
                   .data = std::string{data}});
}

json configuration(int version, bool with_route)
{
    auto routes = json::array();
    if (with_route)
    {
        routes.push_back({{"Name", "r"},
                          {"Host", "198.18.0.1"},
                          {"Prefix", "/443/"},
                          {"Kind", "safe"},
                          {"TimeoutMs", 1500},
                          {"TargetLatencyMs", 250},
                          {"Priority", 1},
                          {"Service", "catalogue"}});
    }
    return {{"Version", version},
            {"Routes", routes},
            {"Services", json::array()},
            {"Limits", {{"IdleTimeoutMs", 15000}}}};
}

// clang-format off
TEST_GROUP(forwarder_process)
{
    forwarder_site site;
    std::uint32_t caller_ip = site.ip(caller_number);
    std::unique_ptr<standins::standin_store> store;
    std::vector<std::unique_ptr<socket_for_tests>> servers;
    std::unique_ptr<socket_for_tests> caller;

    void setup() override
    {
        store = std::make_unique<standins::standin_store>(site.store_at());
        store->put("op/config", configuration(1, true).dump());
        caller = std::make_unique<socket_for_tests>(caller_ip, packet_port);
    }

    void teardown() override
    {
        servers.clear();
        caller.reset();
        store.reset();
    }

    void add_server(std::uint32_t number)
    {
        auto const ip = site.ip(first_server_number + number);
        servers.push_back(
            std::make_unique<socket_for_tests>(ip, server_port));
        store->put("servers/i-" + std::to_string(number),
                   json{{"Service", "catalogue"},
                        {"Address", to_string(endpoint{ip, server_port})},
                        {"Zone", "a"}, {"Version", "v1"}, {"Slots", 3},
                        {"State", "ready"}, {"ColdRemainingMs", 0},
                        {"Sequence", 1}}.dump());
    }

    /// What the only server of a test gets of a packet. Opening packets that
    /// the forwarder sends again, as nobody acknowledged, are passed over.
    std::string pass(std::uint32_t through, std::string const& bytes,
                     duration limit = 500ms)
    {
        caller->send({site.ip(through), packet_port}, bytes);
        for (;;)
        {
            auto seen = servers.front()->receive(limit);
            if (seen.empty() || decode_datagram(seen)->packet.flags == decode(bytes)->flags)
            {
                return seen;
            }
        }
    }
};

// clang-format on

TEST(forwarder_process, any_forwarder_passes_on_a_packet_of_an_open_flow)
{
    add_server(1);
    auto const one = site.start(1);
    auto const two = site.start(2);
    CHECK(site.becomes_ready(1));
    CHECK(site.becomes_ready(2));
    auto const opened = pass(1, packet(caller_ip, 4001, open_flag));
    LONGS_EQUAL(server_number_size + packet_head_size, opened.size());
    auto const seen = *decode_datagram(opened);
    LONGS_EQUAL(1, seen.number);
    auto const token = seen.packet.token;
    auto const later = packet(caller_ip,
                              4001,
                              data_flag,
                              token,
                              "GET / HTTP/1.1\r\nX-Request-Id: abc\r\n\r\n");
    auto const through_two = pass(2, later);
    CHECK(through_two.substr(server_number_size) == later);
    CHECK(pass(1, later).substr(server_number_size) == later);
    CHECK(wait_until(
        [&]
        {
            return site.logged(1).find("\"request\":\"abc\"") !=
                   std::string::npos;
        }));
    auto const page =
        http_call("GET", {site.ip(1), internal_port + 1}, "/metrics");
    CHECK(page.has_value());
    CHECK(page->find("dotterelrouter_flows_opened_total 1") !=
          std::string::npos);
}

TEST(forwarder_process, restarts_from_another_one_while_the_store_is_away)
{
    add_server(1);
    auto one = site.start(1);
    auto const two = site.start(2);
    CHECK(site.becomes_ready(1));
    CHECK(site.becomes_ready(2));
    store->set_away(true);
    one.signal(SIGKILL);
    one.wait();
    one = site.start_again(1);
    CHECK(site.becomes_ready(1, 5s));
    CHECK(!pass(1, packet(caller_ip, 4002, open_flag)).empty());
}

TEST(forwarder_process, stops_within_its_grace_and_serves_meanwhile)
{
    add_server(1);
    auto one = site.start(1);
    CHECK(site.becomes_ready(1));
    one.signal(SIGTERM);
    CHECK(wait_until(
        [&]
        {
            return !site.ready(1);
        },
        1s));
    CHECK(!pass(1, packet(caller_ip, 4003, open_flag)).empty());
    auto const code = one.wait(6s);
    CHECK(code.has_value());
    LONGS_EQUAL(0, *code);
}

TEST(forwarder_process, dropped_route_is_refused_everywhere_in_time)
{
    add_server(1);
    auto const one = site.start(1);
    auto const two = site.start(2);
    CHECK(site.becomes_ready(1));
    CHECK(site.becomes_ready(2));
    store->forget_history();
    store->put("op/config", configuration(5, false).dump());
    for (std::uint32_t through : {1U, 2U})
    {
        std::uint16_t port = 5000;
        CHECK(wait_until(
            [&]
            {
                caller->send({site.ip(through), packet_port},
                             packet(caller_ip, ++port, open_flag));
                auto const answer = caller->receive(100ms);
                return answer.size() == packet_head_size &&
                       decode(answer)->flags == reset_flag;
            },
            3s));
    }
}

TEST(forwarder_process, few_of_several_forwarders_read_the_store)
{
    add_server(1);
    std::vector<child_process> all;
    for (std::uint32_t number = 1; number <= 6; ++number)
    {
        all.push_back(site.start(number));
    }
    for (std::uint32_t number = 1; number <= 6; ++number)
    {
        CHECK(site.becomes_ready(number));
    }
    std::this_thread::sleep_for(2s);
    auto const before = store->calls();
    std::this_thread::sleep_for(4s);
    // Two readers, each with a watch of 0.8 s.
    CHECK(store->calls() - before <= 14);
    CHECK(store->calls() - before >= 6);
}

TEST(forwarder_process, settings_that_cannot_be_used_end_with_code_2)
{
    std::ofstream{site.settings_of(1)} << R"({"NodeName": "x", "Zone": 5})";
    auto child = site.start_again(1);
    LONGS_EQUAL(2, child.wait().value_or(-1));
    CHECK(site.logged(1).find("Zone") != std::string::npos);
}

} // namespace
} // namespace dotterelrouter::testing
