// Flows of a client that open at a forwarder of a large fleet just after its
// planned restart, and move on when the next one is stopped. Starts when all
// forwarders are started; tells the script on the standard output when to stop
// and start forwarder 1. See review/11.
#include "moving_flows.hpp"

#include <exception>

namespace review
{
namespace
{

constexpr int round_count = 3;

int run_rounds(fleet& site,
               client& caller,
               std::vector<std::string> const& others,
               std::array<server*, 2> const& servers,
               bool has_trouble)
{
    int broken = 0;
    for (int round = 1; round <= round_count; ++round)
    {
        if (has_trouble)
        {
            site.record.line("forwarder 1 gets SIGTERM, and starts again when "
                             "it has ended");
            fleet::command("restart");
            site.loop.run_for(milliseconds{300});
        }
        if (!wait_until_in_rotation(site))
        {
            return -1;
        }
        for (auto* const slow : servers)
        {
            slow->delay_handshakes(slow_handshake);
        }
        site.record.line("forwarder 1 is in rotation");
        auto flows = open_flows(site, caller, round);
        // Handshakes that nobody acknowledged are sent again after 200 ms.
        site.loop.run_for(milliseconds{500});
        site.record.line("the next forwarder leaves, and flows move");
        broken += move_flows(site, caller, flows, others);
        site.loop.run_for(milliseconds{6000});
    }
    return broken;
}

int run(std::string const& network,
        int forwarder_count,
        bool has_trouble,
        std::string const& path)
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
    site.loop.run_for(milliseconds{20000});
    for (int host = 1; host <= forwarder_count; ++host)
    {
        if (!is_ready(site.at(host)))
        {
            site.record.line("forwarder " + std::to_string(host) +
                             " is not ready");
            return 2;
        }
    }
    site.record.line("all forwarders are ready");
    std::vector<std::string> others; // In the zone of forwarder 1.
    for (int host = 4; host <= forwarder_count; host += 3)
    {
        others.push_back(site.at(host));
    }
    auto const broken =
        run_rounds(site, caller, others, {&first, &second}, has_trouble);
    if (broken < 0)
    {
        site.record.line("forwarder 1 is not ready again");
        return 2;
    }
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
        return argc == 5 ? review::run(argv[1],
                                       std::atoi(argv[2]),
                                       std::string_view{argv[3]} != "0",
                                       argv[4])
                         : 2;
    }
    catch (std::exception const& error)
    {
        std::fprintf(stderr, "restart_in_large_fleet: %s\n", error.what());
        return 2;
    }
}
