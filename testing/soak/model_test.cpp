// Tests that the checks of the soak test's model detect faults. The tests
// deliver events that a faulty forwarder would cause.
#include "testing/soak/model.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter::testing
{
namespace
{

using namespace std::chrono_literals;

constexpr duration tick_interval = 5ms;

// clang-format off
TEST_GROUP(soak_model)
{
    instant now{steady_time{1h}, wall_time{1h}};
    soak_addresses addresses{
        .caller = {0x7f000001, 8172},
        .servers = {{0x7f000011, 8080}, {0x7f000012, 8080},
                    {0x7f000013, 8080}, {0x7f000014, 8080}}};
    // No faults are drawn, as the fault-free phase covers the whole run.
    soak_model model{{.seed = 1, .forwarder_count = 3, .server_count = 4,
                      .run_duration = 9s},
                     addresses};
    std::vector<packet_fields> sent_packets;

    void reduce(soak_event const& next_event)
    {
        soak_effects effects;
        model.reduce(next_event, now, effects);
        for (auto const& emitted : effects)
        {
            if (auto const* const packet = std::get_if<send_packet>(&emitted))
            {
                sent_packets.push_back(*decode_packet(packet->bytes));
            }
        }
    }

    void advance(duration time)
    {
        for (auto const end_time = now.steady + time; now.steady < end_time;
             now.steady += tick_interval)
        {
            reduce(soak_tick{});
        }
    }

    /// Advances until a caller sends a SYN to a permanent route; returns it.
    packet_fields wait_for_syn(std::size_t route)
    {
        for (int i = 0; i < 1000; ++i)
        {
            advance(tick_interval);
            auto const found = std::ranges::find_if(
                sent_packets,
                [&](packet_fields const& packet)
                {
                    return packet.flags == syn_flag &&
                           packet.destination == route_address(route);
                });
            if (found != sent_packets.end())
            {
                return *found;
            }
        }
        return {};
    }

    /// Delivers a packet from forwarder 0 to the server with an index. The
    /// servers have the numbers 1 to 4 and the services 0 and 1 in turn.
    void deliver(std::size_t server, packet_fields const& packet,
                 std::uint64_t server_number)
    {
        std::string bytes(server_number_size, '\0');
        bytes.back() = static_cast<char>(server_number);
        bytes += encode_packet(packet);
        reduce(server_received{addresses.servers[server], 0, bytes});
    }

    std::size_t violation_count() const
    {
        return model.report().violations.size();
    }

    /// Opens a flow at server 1 and returns the packet of its first request.
    packet_fields open_flow()
    {
        auto const syn = wait_for_syn(0);
        deliver(0, syn, 1);
        advance(2 * tick_interval);
        auto const request = std::ranges::find_if(
            sent_packets,
            [&](packet_fields const& packet)
            {
                return packet.flags == data_flag && packet.source == syn.source;
            });
        CHECK(request != sent_packets.end());
        return *request;
    }
};

// clang-format on

TEST(soak_model, flow_at_a_server_of_its_service_is_accepted)
{
    deliver(0, open_flow(), 1);
    advance(100ms);
    LONGS_EQUAL(0, violation_count());
}

TEST(soak_model, server_of_another_service_is_reported)
{
    deliver(1, wait_for_syn(0), 2);
    LONGS_EQUAL(1, violation_count());
}

TEST(soak_model, modified_packet_is_reported)
{
    std::string const bytes(server_number_size, '\1');
    auto packet = encode_packet(wait_for_syn(0));
    packet.back() = static_cast<char>(packet.back() + 1);
    reduce(server_received{addresses.servers[0], 0, bytes + packet});
    LONGS_EQUAL(1, violation_count());
}

TEST(soak_model, packet_without_a_server_number_is_reported)
{
    deliver(0, wait_for_syn(0), 0);
    LONGS_EQUAL(1, violation_count());
}

TEST(soak_model, reset_of_an_open_flow_is_reported)
{
    auto const request = open_flow();
    auto reset = encode_packet({.flags = rst_flag,
                                .source = request.destination,
                                .destination = request.source});
    std::fill_n(reset.begin(), sizeof(std::uint32_t), '\0');
    reduce(caller_received{reset});
    LONGS_EQUAL(1, violation_count());
}

TEST(soak_model, packets_of_an_open_flow_at_another_server_are_reported)
{
    reduce(soak_tick{});
    advance(6s); // Enough for forwarder 0 to count as stable.
    sent_packets.clear();
    auto const request = open_flow();
    deliver(0, request, 1);
    for (int i = 0; i < 3; ++i)
    {
        deliver(2, request, 3);
    }
    LONGS_EQUAL(1, violation_count());
}

/// Faults are drawn as well, so that forwarder 0 is stable with few seeds only.
TEST(soak_model, new_flow_in_an_evacuated_data_centre_is_reported)
{
    int detecting_runs = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed)
    {
        soak_model evacuating{{.seed = seed,
                               .forwarder_count = 3,
                               .server_count = 4,
                               .run_duration = 60s,
                               .evacuation_probability = 1},
                              addresses};
        auto const is_reported = [&](std::size_t server)
        {
            packet_fields const syn{.flags = syn_flag,
                                    .source = addresses.caller,
                                    .destination = route_address(0)};
            std::string bytes(server_number_size, '\0');
            bytes.back() = static_cast<char>(server + 1);
            bytes += encode_packet(syn);
            soak_effects effects;
            evacuating.reduce(
                server_received{addresses.servers[server], 0, bytes},
                now,
                effects);
            return std::ranges::any_of(evacuating.report().violations,
                                       [](std::string const& violation)
                                       {
                                           return violation.ends_with(
                                               "an evacuated data centre");
                                       });
        };
        auto is_detected = false;
        for (int tick = 0; tick < 2000 && !is_detected; ++tick)
        {
            now.steady += tick_interval;
            soak_effects effects;
            evacuating.reduce(soak_tick{}, now, effects);
            CHECK(!is_reported(0));
            is_detected = is_reported(2);
        }
        detecting_runs += is_detected ? 1 : 0;
    }
    CHECK(detecting_runs >= 3);
}

TEST(soak_model, unexpected_exit_of_a_process_is_reported)
{
    advance(1s);
    reduce(process_exited{0, 1});
    LONGS_EQUAL(1, violation_count());
}

TEST(soak_model, versions_are_inferred_from_the_presence_of_routes)
{
    route_history history;
    auto const declared_at = steady_time{1h};
    history.toggle_route(permanent_route_count, 3, declared_at);
    history.toggle_route(permanent_route_count, 1, declared_at + 1s);
    LONGS_EQUAL(0, history.newest_version_at(declared_at - 1s));
    LONGS_EQUAL(1, history.newest_version_at(declared_at));
    LONGS_EQUAL(2, history.newest_version_at(declared_at + 2s));
    CHECK(history.first_version_with(0, permanent_route_count, true) == 1);
    CHECK(!history.first_version_with(2, permanent_route_count, true)
               .has_value());
    CHECK(history.first_version_with(2, permanent_route_count, false) == 2);
}

} // namespace
} // namespace dotterelrouter::testing
