// Flows of a client that open at a machine that was added while its seeds can't
// be reached, and move on. Starts when forwarders 2 and 3 are started; tells
// the script on the standard output when to start forwarder 1. See review/13.
#include "moving_flows.hpp"

#include <exception>

namespace review
{
namespace
{

int run(std::string const& network, std::string const& path)
{
    fleet site{.record = recorder{path}, .network = network};
    store platform(site.loop, site.at(241));
    server first(
        site.loop, site.record, "i-a000000001", 0xa000000001U, site.at(221));
    server second(
        site.loop, site.record, "i-a000000002", 0xa000000002U, site.at(222));
    client caller(site.loop, site.record, site.at(231), site.at(251));
    platform.put("op/config", route_table(site.at(251)));
    platform.put("servers/" + first.name(), entry_of(first.ip()));
    platform.put("servers/" + second.name(), entry_of(second.ip()));
    std::vector<std::string> const others{site.at(2), site.at(3)};
    if (!wait_until_ready(site.loop, others))
    {
        site.record.line("the forwarders are not ready");
        return 2;
    }
    site.record.line("forwarders 2 and 3 are ready");
    site.loop.run_for(milliseconds{5000});
    site.record.line("forwarder 1 is added");
    fleet::command("add");
    if (!wait_until_in_rotation(site))
    {
        site.record.line("forwarder 1 is not ready");
        return 2;
    }
    site.record.line("forwarder 1 is in rotation");
    first.delay_handshakes(slow_handshake);
    second.delay_handshakes(slow_handshake);
    auto flows = open_flows(site, caller, 1);
    // Handshakes that nobody acknowledged are sent again after 200 ms.
    site.loop.run_for(milliseconds{500});
    site.record.line("a machine joins or leaves, and flows move");
    auto const broken = move_flows(site, caller, flows, others);
    site.record.line(std::to_string(broken) + " of " +
                     std::to_string(caller.flow_count()) +
                     " flows were reset by a server that is not theirs");
    return broken > 0 ? 1 : 0;
}

} // namespace
} // namespace review

int main(int argc, char const* const* argv)
{
    try
    {
        return argc == 3 ? review::run(argv[1], argv[2]) : 2;
    }
    catch (std::exception const& error)
    {
        std::fprintf(stderr, "added_machine: %s\n", error.what());
        return 2;
    }
}
