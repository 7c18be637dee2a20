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

/// Keeps the logging library initialised between the processes of two tests.
log_output const shared_log_output{log_level::error};

/// Sends each request to its service address and each response to its caller.
/// On a timer event it records a timeline event, sends a peer message to its
/// own process and requests the list of VMs.
struct scripted_reducer
{
    member_id self;
    std::shared_ptr<configuration const> no_configuration;
    std::vector<std::size_t> event_indices; ///< Variant indices of the events.

    void reduce(event const& next_event, instant /*now*/, effects& out)
    {
        event_indices.push_back(next_event.index());
        std::visit(
            [this, &out](auto const& alternative)
            {
                on_event(alternative, out);
            },
            next_event);
    }

    void on_event(request_received const& next_event, effects& out) const
    {
        out.emplace_back(increment_counter{counter::requests_received, 1});
        out.emplace_back(send_request{
            next_event.packet.key.flow.service_address, next_event.packet});
    }

    void on_event(response_received const& next_event, effects& out) const
    {
        out.emplace_back(send_response{next_event.packet});
    }

    void on_event(timer_fired const& /*next_event*/, effects& out) const
    {
        out.emplace_back(
            record_timeline_event{timeline_event::started, 7, 0, "scripted"});
        out.emplace_back(
            send_peer_message{self, manifest_request_message{{5}}});
        out.emplace_back(read_vm_list{});
    }

    void on_event(shutdown_requested const& /*next_event*/, effects& out) const
    {
        out.emplace_back(exit_process{});
    }

    template <class Event>
    void on_event(Event const& /*next_event*/, effects& /*out*/) const
    {
    }

    [[nodiscard]] balancer_status status(instant /*now*/) const
    {
        balancer_status status;
        status.self = self;
        status.members = 3;
        return status;
    }

    [[nodiscard]] std::shared_ptr<configuration const> const& in_force() const
    {
        return no_configuration;
    }
};

/// A platform client that ignores all effects.
template <class Sink>
struct silent_platform
{
    silent_platform(platform_settings /*settings*/,
                    event_base* /*loop*/,
                    Sink& /*sink*/)
    {
    }

    template <class Effect>
    void execute(Effect const& /*requested_effect*/)
    {
    }
};

using scripted_process = internal::balancer_process<scripted_reducer,
                                                    silent_platform,
                                                    system_clock_source,
                                                    packet_codec>;

sockaddr_in to_address(endpoint host_order)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(host_order.ip);
    address.sin_port = htons(host_order.port);
    return address;
}

/// A blocking socket on a local endpoint, with a timeout on reads.
class test_socket
{
public:
    explicit test_socket(int type) : descriptor_(::socket(AF_INET, type, 0))
    {
        timeval const read_timeout{5, 0};
        ::setsockopt(descriptor_,
                     SOL_SOCKET,
                     SO_RCVTIMEO,
                     &read_timeout,
                     sizeof(read_timeout));
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

    /// Returns nothing on a timeout and at the end of a stream.
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

/// Response to an HTTP GET request, with its headers.
std::string http_get(endpoint server, std::string const& path)
{
    test_socket const client{SOCK_STREAM};
    client.connect(server);
    auto const request =
        "GET " + path + " HTTP/1.1\r\nConnection: close\r\n\r\n";
    client.send(std::as_bytes(std::span{request}));
    std::string response;
    for (auto part = client.receive(); !part.empty(); part = client.receive())
    {
        response.append(reinterpret_cast<char const*>(part.data()),
                        part.size());
    }
    return response;
}

balancer_process_settings test_settings()
{
    balancer_process_settings settings;
    settings.control_endpoint = any_port;
    settings.data_endpoint = any_port;
    settings.admin_endpoint = any_port;
    settings.platform_endpoint = {local_ip, 1};
    settings.data_centre = "dub-a";
    settings.log_level = "error";
    return settings;
}

// clang-format off
TEST_GROUP(balancer_process)
{
    system_clock_source clock;
    scripted_reducer hosted_reducer;
    std::optional<scripted_process> process;
    std::thread process_thread;
    int exit_code = -1;

    void setup() override
    {
        MemoryLeakWarningPlugin::turnOnThreadSafeNewDeleteOverloads();
        process.emplace(test_settings(), member_id{}, hosted_reducer, clock);
        hosted_reducer.self.control = process->control_endpoint();
        process_thread = std::thread{[this] { exit_code = process->run(); }};
    }

    void teardown() override
    {
        if (process_thread.joinable())
        {
            stop();
        }
        process.reset();
        hosted_reducer = {};
        MemoryLeakWarningPlugin::turnOnDefaultNotThreadSafeNewDeleteOverloads();
    }

    void stop()
    {
        std::raise(SIGTERM);
        process_thread.join();
    }
};

TEST_GROUP(balancer_settings){};

// clang-format on

TEST(balancer_process, request_and_response_are_relayed)
{
    test_socket const caller{SOCK_DGRAM};
    test_socket const server{SOCK_DGRAM};
    caller.connect(process->data_endpoint());
    server.connect(process->data_endpoint());
    packet_codec codec;
    request_packet request;
    request.key = {{caller.local(), server.local()}, {9}};
    request.payload = std::as_bytes(std::span{"hello"});
    caller.send(codec.encode(request));
    auto const server_bytes = server.receive();
    auto const relayed_request = codec.decode(server_bytes);
    CHECK_TRUE(relayed_request &&
               std::get<request_packet>(*relayed_request).key == request.key);
    response_packet response;
    response.key = request.key;
    server.send(codec.encode(response));
    auto const caller_bytes = caller.receive();
    auto const relayed_response = codec.decode(caller_bytes);
    CHECK_TRUE(relayed_response &&
               std::get<response_packet>(*relayed_response).key == request.key);
}

TEST(balancer_process, malformed_datagrams_are_counted_and_dropped)
{
    test_socket const caller{SOCK_DGRAM};
    caller.connect(process->data_endpoint());
    std::array<std::byte, 20> const malformed_datagram{};
    caller.send(malformed_datagram);
    packet_codec codec;
    caller.send(codec.encode(refusal_packet{}));
    request_packet request;
    request.key.flow = {caller.local(), caller.local()};
    caller.send(codec.encode(request));
    CHECK_FALSE(caller.receive().empty());
    auto const page = http_get(process->admin_endpoint(), "/metrics");
    STRCMP_CONTAINS("dotterelrouter_packets_malformed_total 2\n", page.c_str());
    STRCMP_CONTAINS("dotterelrouter_requests_received_total 1\n", page.c_str());
    STRCMP_CONTAINS("dotterelrouter_datagrams_received_total 3\n",
                    page.c_str());
    STRCMP_CONTAINS("dotterelrouter_members 3\n", page.c_str());
}

TEST(balancer_process, admin_pages_are_served)
{
    STRCMP_CONTAINS("ok\n",
                    http_get(process->admin_endpoint(), "/healthz").c_str());
    STRCMP_CONTAINS("\"data_centre\":\"dub-a\"",
                    http_get(process->admin_endpoint(), "/status").c_str());
    STRCMP_CONTAINS("\"step\":\"started\",\"subject\":7",
                    http_get(process->admin_endpoint(), "/timeline").c_str());
    STRCMP_CONTAINS("404",
                    http_get(process->admin_endpoint(), "/nothing").c_str());
}

TEST(balancer_process, peer_messages_are_delivered_as_events)
{
    std::string page;
    for (int i = 0; i < 100; ++i)
    {
        page = http_get(process->admin_endpoint(), "/metrics");
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
    CHECK_TRUE(
        std::ranges::find(hosted_reducer.event_indices, peer_message_index) !=
        hosted_reducer.event_indices.end());
}

TEST(balancer_process, graceful_shutdown_exits_with_code_0)
{
    stop();
    CHECK_EQUAL(0, exit_code);
}

TEST(balancer_process, second_signal_exits_immediately_with_code_1)
{
    std::raise(SIGTERM);
    std::raise(SIGTERM);
    process_thread.join();
    CHECK_EQUAL(1, exit_code);
}

balancer_process_settings valid_settings()
{
    auto settings = test_settings();
    settings.control_endpoint = {local_ip, 7000};
    settings.data_endpoint = {local_ip, 7001};
    return settings;
}

TEST(balancer_settings, settings_out_of_range_are_rejected)
{
    validate(valid_settings());
    auto settings = valid_settings();
    settings.control_endpoint.port = 0;
    CHECK_THROWS(std::invalid_argument, validate(settings));
    settings = valid_settings();
    settings.data_centre.clear();
    CHECK_THROWS(std::invalid_argument, validate(settings));
    settings = valid_settings();
    settings.slot_count = 65537;
    CHECK_THROWS(std::invalid_argument, validate(settings));
    settings = valid_settings();
    settings.log_level = "loud";
    CHECK_THROWS(std::invalid_argument, validate(settings));
    settings = valid_settings();
    settings.platform_endpoint = {};
    CHECK_THROWS(std::invalid_argument, validate(settings));
}

} // namespace
} // namespace dotterelrouter
