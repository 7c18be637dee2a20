#include "dotterelrouter/runtime/internal/balancer_process.hpp"
#include "dotterelrouter/runtime/runtime.hpp"

#include <array>
#include <chrono>
#include <csignal>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

namespace dotterelrouter
{
namespace
{

constexpr std::uint32_t local_ip = INADDR_LOOPBACK;
constexpr endpoint any_port{local_ip, 0};

/// Keeps the logging library from shutting down between two processes.
log_output const library{log_level::error};

/// Sends each request to its service address, each answer to its caller, and
/// greets itself as a peer on the first timer.
struct scripted_reducer
{
    member_id self;
    std::shared_ptr<configuration const> none;
    std::vector<std::size_t> seen; ///< Alternatives of the events.

    void reduce(event const& happened, instant /*now*/, effects& out)
    {
        seen.push_back(happened.index());
        std::visit(
            [this, &out](auto const& one)
            {
                take(one, out);
            },
            happened);
    }

    void take(request_received const& happened, effects& out) const
    {
        out.emplace_back(count{counter::requests_received, 1});
        out.emplace_back(send_request{happened.packet.key.flow.service_address,
                                      happened.packet});
    }

    void take(answer_received const& happened, effects& out) const
    {
        out.emplace_back(send_answer{happened.packet});
    }

    void take(timer_fired const& /*happened*/, effects& out) const
    {
        out.emplace_back(record_step{step::started, 7, 0, "scripted"});
        out.emplace_back(
            send_peer_message{self, manifest_request_message{{5}}});
        out.emplace_back(read_vm_list{});
    }

    void take(shutdown_requested const& /*happened*/, effects& out) const
    {
        out.emplace_back(finish{});
    }

    template <class Event>
    void take(Event const& /*happened*/, effects& /*out*/) const
    {
    }

    [[nodiscard]] balancer_status status(instant /*now*/) const
    {
        balancer_status result;
        result.self = self;
        result.members = 3;
        return result;
    }

    [[nodiscard]] std::shared_ptr<configuration const> const& in_force() const
    {
        return none;
    }
};

template <class Sink>
struct silent_platform
{
    silent_platform(platform_settings /*settings*/,
                    event_base* /*loop*/,
                    Sink& /*sink*/)
    {
    }

    template <class Effect>
    void carry_out(Effect const& /*wanted*/)
    {
    }
};

using scripted_process = internal::balancer_process<scripted_reducer,
                                                    silent_platform,
                                                    system_clock_source,
                                                    packet_codec>;

sockaddr_in to_address(endpoint where)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(where.ip);
    address.sin_port = htons(where.port);
    return address;
}

/// A blocking socket of the test, with a time limit on reads.
class test_socket
{
public:
    explicit test_socket(int type) : descriptor_(::socket(AF_INET, type, 0))
    {
        timeval const limit{5, 0};
        ::setsockopt(
            descriptor_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        auto const address = to_address(any_port);
        CHECK_EQUAL(0,
                    ::bind(descriptor_,
                           reinterpret_cast<sockaddr const*>(&address),
                           sizeof(address)));
    }

    test_socket(test_socket const&) = delete;
    test_socket& operator=(test_socket const&) = delete;

    ~test_socket()
    {
        ::close(descriptor_);
    }

    void connect(endpoint to) const
    {
        auto const address = to_address(to);
        CHECK_EQUAL(0,
                    ::connect(descriptor_,
                              reinterpret_cast<sockaddr const*>(&address),
                              sizeof(address)));
    }

    void send(byte_view bytes) const
    {
        ::send(descriptor_, bytes.data(), bytes.size(), 0);
    }

    std::vector<std::byte> receive() const
    {
        std::vector<std::byte> bytes(4096);
        auto const size = ::recv(descriptor_, bytes.data(), bytes.size(), 0);
        bytes.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
        return bytes;
    }

    endpoint local() const
    {
        sockaddr_in address{};
        socklen_t size = sizeof(address);
        ::getsockname(
            descriptor_, reinterpret_cast<sockaddr*>(&address), &size);
        return {ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
    }

private:
    int descriptor_;
};

std::string get(endpoint where, std::string const& path)
{
    test_socket const client{SOCK_STREAM};
    client.connect(where);
    auto const request =
        "GET " + path + " HTTP/1.1\r\nConnection: close\r\n\r\n";
    client.send(std::as_bytes(std::span{request}));
    std::string all;
    for (auto part = client.receive(); !part.empty(); part = client.receive())
    {
        all.append(reinterpret_cast<char const*>(part.data()), part.size());
    }
    return all;
}

balancer_process_settings test_settings()
{
    balancer_process_settings settings;
    settings.control = any_port;
    settings.data = any_port;
    settings.admin = any_port;
    settings.platform = {local_ip, 1};
    settings.data_centre = "dub-a";
    settings.log_level = "error";
    return settings;
}

// clang-format off
TEST_GROUP(balancer_process)
{
    system_clock_source clock;
    scripted_reducer state;
    std::optional<scripted_process> process;
    std::thread runner;
    int exit_code = -1;

    void setup() override
    {
        MemoryLeakWarningPlugin::turnOnThreadSafeNewDeleteOverloads();
        process.emplace(test_settings(), member_id{}, state, clock);
        state.self.control = process->control();
        runner = std::thread{[this] { exit_code = process->run(); }};
    }

    void teardown() override
    {
        if (runner.joinable())
        {
            stop();
        }
        process.reset();
        state = {};
        MemoryLeakWarningPlugin::turnOnDefaultNotThreadSafeNewDeleteOverloads();
    }

    void stop()
    {
        std::raise(SIGTERM);
        runner.join();
    }
};

TEST_GROUP(balancer_settings){};

// clang-format on

TEST(balancer_process, request_and_answer_go_through)
{
    test_socket const caller{SOCK_DGRAM};
    test_socket const server{SOCK_DGRAM};
    caller.connect(process->data());
    server.connect(process->data());
    packet_codec codec;
    request_packet request;
    request.key = {{caller.local(), server.local()}, {9}};
    request.payload = std::as_bytes(std::span{"hello"});
    caller.send(codec.encode(request));
    auto const at_server = server.receive();
    auto const seen = codec.decode(at_server);
    CHECK_TRUE(seen && std::get<request_packet>(*seen).key == request.key);
    answer_packet answer;
    answer.key = request.key;
    server.send(codec.encode(answer));
    auto const at_caller = caller.receive();
    auto const got = codec.decode(at_caller);
    CHECK_TRUE(got && std::get<answer_packet>(*got).key == request.key);
}

TEST(balancer_process, malformed_datagrams_are_counted_and_dropped)
{
    test_socket const caller{SOCK_DGRAM};
    caller.connect(process->data());
    std::array<std::byte, 20> const junk{};
    caller.send(junk);
    packet_codec codec;
    caller.send(codec.encode(refusal_packet{}));
    request_packet request;
    request.key.flow = {caller.local(), caller.local()};
    caller.send(codec.encode(request));
    CHECK_FALSE(caller.receive().empty());
    auto const page = get(process->admin(), "/metrics");
    STRCMP_CONTAINS("dotterelrouter_packets_malformed_total 2\n", page.c_str());
    STRCMP_CONTAINS("dotterelrouter_requests_received_total 1\n", page.c_str());
    STRCMP_CONTAINS("dotterelrouter_datagrams_received_total 3\n",
                    page.c_str());
    STRCMP_CONTAINS("dotterelrouter_members 3\n", page.c_str());
}

TEST(balancer_process, admin_pages_are_served)
{
    STRCMP_CONTAINS("ok\n", get(process->admin(), "/healthz").c_str());
    STRCMP_CONTAINS("\"data_centre\":\"dub-a\"",
                    get(process->admin(), "/status").c_str());
    STRCMP_CONTAINS("\"step\":\"started\",\"subject\":7",
                    get(process->admin(), "/timeline").c_str());
    STRCMP_CONTAINS("404", get(process->admin(), "/nothing").c_str());
}

TEST(balancer_process, peer_messages_arrive_as_events)
{
    std::string page;
    for (int i = 0; i < 100; ++i)
    {
        page = get(process->admin(), "/metrics");
        if (page.find("control_messages_received_total 1\n") !=
            std::string::npos)
        {
            break;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
    STRCMP_CONTAINS("control_messages_received_total 1\n", page.c_str());
    stop();
    constexpr std::size_t peer_message_index = 2;
    CHECK_TRUE(std::ranges::find(state.seen, peer_message_index) !=
               state.seen.end());
}

TEST(balancer_process, first_signal_ends_with_code_0_once_finished)
{
    stop();
    CHECK_EQUAL(0, exit_code);
}

TEST(balancer_process, second_signal_ends_at_once_with_code_1)
{
    std::raise(SIGTERM);
    std::raise(SIGTERM);
    runner.join();
    CHECK_EQUAL(1, exit_code);
}

balancer_process_settings valid_settings()
{
    auto settings = test_settings();
    settings.control = {local_ip, 7000};
    settings.data = {local_ip, 7001};
    return settings;
}

TEST(balancer_settings, settings_out_of_range_are_refused)
{
    check(valid_settings());
    auto settings = valid_settings();
    settings.control.port = 0;
    CHECK_THROWS(std::invalid_argument, check(settings));
    settings = valid_settings();
    settings.data_centre.clear();
    CHECK_THROWS(std::invalid_argument, check(settings));
    settings = valid_settings();
    settings.slots = 65537;
    CHECK_THROWS(std::invalid_argument, check(settings));
    settings = valid_settings();
    settings.log_level = "loud";
    CHECK_THROWS(std::invalid_argument, check(settings));
    settings = valid_settings();
    settings.platform = {};
    CHECK_THROWS(std::invalid_argument, check(settings));
}

} // namespace
} // namespace dotterelrouter
