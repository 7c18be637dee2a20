// Real forwarder processes on loopback addresses, with a stand-in of the
// store, and with sockets of the test as servers and as a caller.
#include "dotterelrouter/runtime/runtime.hpp"
#include "standins/store/store.hpp"
#include "testing/process/child_process.hpp"
#include "testing/process/http_call.hpp"

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

constexpr std::uint16_t packet_port = 8172;
constexpr std::uint16_t readiness_port = 8167;
constexpr std::uint16_t control_port = 8166;
constexpr std::uint16_t internal_port = 7720;
constexpr std::uint16_t store_port = 8169;
constexpr std::uint16_t server_port = 8080;
constexpr std::size_t head_size = 31;
constexpr std::size_t number_size = 8;
constexpr std::uint32_t service_ip = 0xc6120001;
constexpr std::uint16_t service_port = 443;
constexpr unsigned char open_flag = 4;
constexpr unsigned char data_flag = 8;
constexpr unsigned char reset_flag = 128;

/// A network of its own for each test, so that runs don't meet.
std::uint32_t random_network()
{
    std::random_device source;
    auto const middle =
        std::uniform_int_distribution<std::uint32_t>{0x1010, 0xfafa}(source);
    return 0x7f000000U | middle << 8U;
}

std::string text_of(std::uint32_t ip, std::uint16_t port)
{
    return to_string(endpoint{ip, port});
}

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

void put(std::string& to, std::size_t at, std::size_t size, std::uint32_t value)
{
    for (std::size_t i = size; i-- > 0;)
    {
        to[at + i] = static_cast<char>(value);
        value >>= 8U;
    }
}

/// A caller's packet.
std::string packet(std::uint32_t caller,
                   std::uint16_t port,
                   unsigned char flags,
                   std::string const& token = std::string(4, '\0'),
                   std::string const& data = {})
{
    std::string made(head_size, '\0');
    made.replace(4, 4, token);
    put(made, 8, 2, static_cast<std::uint32_t>(data.size()));
    made[10] = static_cast<char>(flags);
    put(made, 11, 2, service_port);
    put(made, 13, 2, port);
    put(made, 15, 4, caller);
    put(made, 19, 4, service_ip);
    put(made, 23, 4, 7);
    return made + data;
}

/// The token of a packet that reached a server.
std::string token_in(std::string const& datagram)
{
    return datagram.substr(number_size + 4, 4);
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
    std::uint32_t network = random_network();
    std::uint32_t store_ip = network + 7;
    std::uint32_t caller_ip = network + 50;
    std::filesystem::path folder =
        std::filesystem::temp_directory_path() /
        ("process_test_" + std::to_string(network));
    std::unique_ptr<standins::standin_store> store;
    std::vector<std::unique_ptr<socket_for_tests>> servers;
    std::unique_ptr<socket_for_tests> caller;

    void setup() override
    {
        std::filesystem::create_directory(folder);
        store = std::make_unique<standins::standin_store>(
            endpoint{store_ip, store_port});
        store->put("op/config", configuration(1, true).dump());
        caller = std::make_unique<socket_for_tests>(caller_ip, packet_port);
    }

    void teardown() override
    {
        servers.clear();
        caller.reset();
        store.reset();
        std::filesystem::remove_all(folder);
    }

    void add_server(std::uint32_t number)
    {
        auto const ip = network + 100 + number;
        servers.push_back(
            std::make_unique<socket_for_tests>(ip, server_port));
        store->put("servers/i-" + std::to_string(number),
                   json{{"Service", "catalogue"},
                        {"Address", text_of(ip, server_port)},
                        {"Zone", "a"}, {"Version", "v1"}, {"Slots", 3},
                        {"State", "ready"}, {"ColdRemainingMs", 0},
                        {"Sequence", 1}}.dump());
    }

    std::uint32_t vm(std::uint32_t number) const
    {
        return network + number;
    }

    std::string log_of(std::uint32_t number) const
    {
        return (folder / ("log" + std::to_string(number))).string();
    }

    std::string settings_of(std::uint32_t number) const
    {
        return (folder / ("settings" + std::to_string(number))).string();
    }

    child_process start(std::uint32_t number)
    {
        json const settings{
            {"NodeName", "vm-" + std::to_string(number)},
            {"IpAddress", text_of(vm(number), 0).substr(
                 0, text_of(vm(number), 0).find(':'))},
            {"Zone", "a"},
            {"Listen",
             {{"DatagramAddress", text_of(vm(number), packet_port)},
              {"ReadinessAddress", text_of(vm(number), readiness_port)},
              {"Control", text_of(vm(number), control_port)}}},
            {"InternalPortRange", {internal_port, internal_port + 15}},
            {"Seeds", {text_of(vm(1), control_port),
                       text_of(vm(2), control_port)}},
            {"platform", {{"Address", text_of(store_ip, store_port)}}}};
        std::ofstream{settings_of(number)} << settings.dump();
        return start_again(number);
    }

    child_process start_again(std::uint32_t number)
    {
        setenv("DOTTERELROUTER_BOOT", settings_of(number).c_str(), 1);
        std::array<std::string, 2> const arguments{FORWARDER_PROGRAM,
                                                   "forward"};
        return {arguments, log_of(number)};
    }

    bool ready(std::uint32_t number) const
    {
        return http_call("GET", {vm(number), readiness_port},
                         "/v1/readiness").has_value();
    }

    bool becomes_ready(std::uint32_t number, duration limit = patience) const
    {
        return wait_until([&] { return ready(number); }, limit);
    }

    /// What the only server of a test gets of a packet. Opening packets that
    /// the forwarder sends again, as nobody acknowledged, are passed over.
    std::string pass(std::uint32_t through, std::string const& bytes,
                     duration limit = 500ms)
    {
        caller->send({vm(through), packet_port}, bytes);
        for (;;)
        {
            auto seen = servers.front()->receive(limit);
            if (seen.empty() || seen[number_size + 10] == bytes[10])
            {
                return seen;
            }
        }
    }

    std::string logged(std::uint32_t number) const
    {
        std::ifstream file{log_of(number)};
        return {std::istreambuf_iterator<char>(file), {}};
    }
};

// clang-format on

TEST(forwarder_process, any_forwarder_passes_on_a_packet_of_an_open_flow)
{
    add_server(1);
    auto const one = start(1);
    auto const two = start(2);
    CHECK(becomes_ready(1));
    CHECK(becomes_ready(2));
    auto const opened = pass(1, packet(caller_ip, 4001, open_flag));
    LONGS_EQUAL(number_size + head_size, opened.size());
    BYTES_EQUAL(1, opened[7]);
    auto const token = token_in(opened);
    auto const later = packet(caller_ip,
                              4001,
                              data_flag,
                              token,
                              "GET / HTTP/1.1\r\nX-Request-Id: abc\r\n\r\n");
    auto const through_two = pass(2, later);
    CHECK(through_two.substr(number_size) == later);
    CHECK(pass(1, later).substr(number_size) == later);
    CHECK(wait_until(
        [&]
        {
            return logged(1).find("\"request\":\"abc\"") != std::string::npos;
        }));
    auto const page = http_call("GET", {vm(1), internal_port + 1}, "/metrics");
    CHECK(page.has_value());
    CHECK(page->find("dotterelrouter_flows_opened_total 1") !=
          std::string::npos);
}

TEST(forwarder_process, restarts_from_another_one_while_the_store_is_away)
{
    add_server(1);
    auto one = start(1);
    auto const two = start(2);
    CHECK(becomes_ready(1));
    CHECK(becomes_ready(2));
    store->set_away(true);
    one.signal(SIGKILL);
    one.wait();
    one = start_again(1);
    CHECK(becomes_ready(1, 5s));
    CHECK(!pass(1, packet(caller_ip, 4002, open_flag)).empty());
}

TEST(forwarder_process, stops_within_its_grace_and_serves_meanwhile)
{
    add_server(1);
    auto one = start(1);
    CHECK(becomes_ready(1));
    one.signal(SIGTERM);
    CHECK(wait_until(
        [&]
        {
            return !ready(1);
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
    auto const one = start(1);
    auto const two = start(2);
    CHECK(becomes_ready(1));
    CHECK(becomes_ready(2));
    store->forget_history();
    store->put("op/config", configuration(5, false).dump());
    for (std::uint32_t through : {1U, 2U})
    {
        std::uint16_t port = 5000;
        CHECK(wait_until(
            [&]
            {
                caller->send({vm(through), packet_port},
                             packet(caller_ip, ++port, open_flag));
                auto const answer = caller->receive(100ms);
                return answer.size() == head_size &&
                       static_cast<unsigned char>(answer[10]) == reset_flag;
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
        all.push_back(start(number));
    }
    for (std::uint32_t number = 1; number <= 6; ++number)
    {
        CHECK(becomes_ready(number));
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
    std::ofstream{settings_of(1)} << R"({"NodeName": "x", "Zone": 5})";
    auto child = start_again(1);
    LONGS_EQUAL(2, child.wait().value_or(-1));
    CHECK(logged(1).find("Zone") != std::string::npos);
}

} // namespace
} // namespace dotterelrouter::testing
