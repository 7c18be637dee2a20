#include "dotterelrouter/runtime/runtime.hpp"

#include <chrono>
#include <cstdint>
#include <vector>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

using std::chrono::milliseconds;

/// A TCP socket that is bound to a free port of the loopback interface, and so
/// refuses connections until it listens.
class bound_socket
{
public:
    bound_socket() : descriptor_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        CHECK_EQUAL(
            0,
            ::bind(descriptor_, reinterpret_cast<sockaddr*>(&address), size));
        ::getsockname(
            descriptor_, reinterpret_cast<sockaddr*>(&address), &size);
        local_ = {INADDR_LOOPBACK, ntohs(address.sin_port)};
    }

    bound_socket(bound_socket const&) = delete;
    bound_socket& operator=(bound_socket const&) = delete;

    ~bound_socket()
    {
        ::close(descriptor_);
    }

    void listen() const
    {
        ::listen(descriptor_, 1);
    }

    [[nodiscard]] endpoint local() const
    {
        return local_;
    }

private:
    int descriptor_;
    endpoint local_{};
};

/// Collects refused connections for a while.
struct refusal_probe
{
    event_loop loop;
    connection_prober<refusal_probe> prober{loop, *this};
    timer<refusal_probe> end{loop, *this};
    std::vector<std::uint64_t> refused{};

    void on_connection_refused(endpoint /*peer*/, std::uint64_t id)
    {
        refused.push_back(id);
    }

    void on_timer()
    {
        loop.stop(0);
    }

    void run()
    {
        end.set_deadline(current_steady_time() + milliseconds{100});
        loop.run();
    }
};

TEST_GROUP(connection_prober){};

/// A process that has ended is told from one that runs: nobody listens at its
/// port (review/12).
TEST(connection_prober, refused_connections_are_reported)
{
    bound_socket const silent;
    refusal_probe probe;
    probe.prober.start(silent.local(), 7);
    CHECK(probe.refused.empty());
    probe.run();
    CHECK(probe.refused == std::vector<std::uint64_t>{7});
}

TEST(connection_prober, accepted_connections_are_not)
{
    bound_socket const listening;
    listening.listen();
    refusal_probe probe;
    probe.prober.start(listening.local(), 8);
    probe.run();
    CHECK(probe.refused.empty());
}

/// Probes that are still in progress end with the prober.
TEST(connection_prober, too_many_probes_are_not_made)
{
    bound_socket const silent;
    refusal_probe probe;
    for (std::uint64_t id = 0; id < 2 * max_connection_probes; ++id)
    {
        probe.prober.start(silent.local(), id);
    }
    probe.run();
    CHECK_EQUAL(max_connection_probes, probe.refused.size());
}

} // namespace
} // namespace dotterelrouter
