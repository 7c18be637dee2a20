// A flow that has carried more than 16 MiB goes on after the planned restart of
// the forwarder that placed it. Starts when the forwarders are started; tells
// the script on the standard output when to restart forwarder 1. See review/15.
#include "site.hpp"

#include <exception>

namespace review
{
namespace
{

/// An answer fits into the 16 packets that a server may have in flight.
constexpr std::size_t answer_size = 14400;
constexpr int request_count = 1200;
/// A round trip between a client and a server, at 3 ms one way.
constexpr milliseconds round_trip{6};

/// Opens flows until one got a second server's first packet since the first
/// server's handshake was lost. Returns null if there was none.
client::flow* open_flow(event_loop& loop,
                        client& caller,
                        std::array<server*, 2> const& servers,
                        std::string const& forwarder)
{
    for (int attempt = 0; attempt < 10; ++attempt)
    {
        auto& loser = *servers.at(static_cast<std::size_t>(attempt) % 2);
        loser.lose_next_handshake();
        auto* const flow = caller.open(forwarder);
        loser.keep_handshakes();
        if (flow != nullptr && flow->server_ip != loser.ip() &&
            loser.has_flow(flow->port))
        {
            return flow;
        }
        loop.run_for(milliseconds{100});
    }
    return nullptr;
}

/// Sends requests one after the other. Returns false if one was not answered.
bool transfer(event_loop& loop,
              recorder& record,
              client& caller,
              client::flow& flow,
              std::string const& forwarder)
{
    for (int number = 1; number <= request_count; ++number)
    {
        if (!caller.request(forwarder, flow, std::to_string(number)))
        {
            record.line("request " + std::to_string(number) + " failed");
            return false;
        }
        loop.run_for(round_trip);
    }
    return true;
}

int run(std::string const& network, bool has_trouble, std::string const& path)
{
    event_loop loop;
    recorder record(path);
    auto const at = [&](int host)
    {
        return network + "." + std::to_string(host);
    };
    store platform(loop, at(241));
    server first(loop, record, "i-a000000001", 0xa000000001U, at(221));
    server second(loop, record, "i-a000000002", 0xa000000002U, at(222));
    client caller(loop, record, at(231), at(251));
    std::array<server*, 2> const servers{&first, &second};
    for (auto* const one : servers)
    {
        one->set_answer_size(answer_size);
    }
    caller.set_answer_size(answer_size);
    platform.put("op/config", route_table(at(251)));
    platform.put("servers/" + first.name(), entry_of(first.ip()));
    platform.put("servers/" + second.name(), entry_of(second.ip()));
    if (!wait_until_ready(loop, {at(1), at(2)}))
    {
        record.line("the forwarders are not ready");
        return 2;
    }
    record.line("both forwarders are ready");
    loop.run_for(milliseconds{5000});
    auto* const flow = open_flow(loop, caller, servers, at(1));
    if (flow == nullptr)
    {
        return 2;
    }
    if (!transfer(loop, record, caller, *flow, at(1)))
    {
        return 2;
    }
    record.line("the flow has carried " +
                std::to_string(answer_size * request_count) + " bytes");
    if (has_trouble)
    {
        record.line("forwarder 1 gets SIGTERM, and starts again when it has "
                    "ended");
        std::printf("!restart\n");
        std::fflush(stdout);
    }
    // It says that it is not ready, and the routers send elsewhere. It ends
    // after 1.7 s.
    loop.run_for(milliseconds{3000});
    caller.request(at(2), *flow, "last");
    auto const is_broken =
        !flow->reset_by.empty() && flow->reset_by != flow->server_ip;
    record.line(is_broken ? "the flow was reset by a server that is not its own"
                          : "the flow was not reset");
    return is_broken ? 1 : 0;
}

} // namespace
} // namespace review

int main(int argc, char const* const* argv)
{
    try
    {
        return argc == 4 ? review::run(argv[1],
                                       std::string_view{argv[2]} != "0",
                                       argv[3])
                         : 2;
    }
    catch (std::exception const& error)
    {
        std::fprintf(stderr, "long_transfer: %s\n", error.what());
        return 2;
    }
}
