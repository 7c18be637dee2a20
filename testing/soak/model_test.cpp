// The soak's checks notice what they are meant for: a model is fed what a
// faulty forwarder would do.
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

constexpr duration step = 5ms;

// clang-format off
TEST_GROUP(soak_model)
{
    instant now{steady_time{1h}, wall_time{1h}};
    soak_addresses addresses{
        .callers = {0x7f000001, 8172},
        .servers = {{0x7f000011, 8080}, {0x7f000012, 8080},
                    {0x7f000013, 8080}, {0x7f000014, 8080}}};
    // No faults: the calm end is the whole run.
    soak_model model{{.seed = 1, .forwarders = 3, .servers = 4,
                      .length = 9s},
                     addresses};
    std::vector<packet_fields> sent;

    void give(soak_event const& happened)
    {
        soak_effects out;
        model.reduce(happened, now, out);
        for (auto const& one : out)
        {
            if (auto const* const packet = std::get_if<send_packet>(&one))
            {
                sent.push_back(*decode_packet(packet->bytes));
            }
        }
    }

    void pass(duration length)
    {
        for (auto const end = now.steady + length; now.steady < end;
             now.steady += step)
        {
            give(soak_tick{});
        }
    }

    /// An opening packet for a route that stays.
    packet_fields opening(std::size_t route)
    {
        for (int i = 0; i < 1000; ++i)
        {
            pass(step);
            auto const found = std::ranges::find_if(
                sent,
                [&](packet_fields const& one)
                {
                    return one.flags == syn_flag &&
                           one.destination == address_of_route(route);
                });
            if (found != sent.end())
            {
                return *found;
            }
        }
        return {};
    }

    /// Servers have the numbers 1 to 4, and the services 0 and 1 by turns.
    void reach(std::size_t server, packet_fields const& packet,
               std::uint64_t number)
    {
        std::string bytes(server_number_size, '\0');
        bytes.back() = static_cast<char>(number);
        bytes += encode_packet(packet);
        give(server_received{addresses.servers[server], 0, bytes});
    }

    std::size_t violations() const
    {
        return model.report().violations.size();
    }

    /// A flow that server 1 has opened; its first request.
    packet_fields opened()
    {
        auto const first = opening(0);
        reach(0, first, 1);
        pass(2 * step);
        auto const request = std::ranges::find_if(
            sent,
            [&](packet_fields const& one)
            {
                return one.flags == data_flag && one.source == first.source;
            });
        CHECK(request != sent.end());
        return *request;
    }
};

// clang-format on

TEST(soak_model, flow_at_its_service_breaks_nothing)
{
    reach(0, opened(), 1);
    pass(100ms);
    LONGS_EQUAL(0, violations());
}

TEST(soak_model, other_service_is_noticed)
{
    reach(1, opening(0), 2);
    LONGS_EQUAL(1, violations());
}

TEST(soak_model, changed_packet_is_noticed)
{
    std::string const bytes(server_number_size, '\1');
    auto whole = encode_packet(opening(0));
    whole.back() = static_cast<char>(whole.back() + 1);
    give(server_received{addresses.servers[0], 0, bytes + whole});
    LONGS_EQUAL(1, violations());
}

TEST(soak_model, packet_that_names_no_server_is_noticed)
{
    reach(0, opening(0), 0);
    LONGS_EQUAL(1, violations());
}

TEST(soak_model, reset_of_an_open_flow_is_noticed)
{
    auto const request = opened();
    auto reset = encode_packet({.flags = rst_flag,
                                .source = request.destination,
                                .destination = request.source});
    std::fill_n(reset.begin(), sizeof(std::uint32_t), '\0');
    give(caller_received{reset});
    LONGS_EQUAL(1, violations());
}

TEST(soak_model, packets_of_an_open_flow_at_another_server_are_noticed)
{
    give(soak_tick{});
    pass(6s); // Forwarder 0 is in touch by then.
    sent.clear();
    auto const request = opened();
    reach(0, request, 1);
    for (int i = 0; i < 3; ++i)
    {
        reach(2, request, 3);
    }
    LONGS_EQUAL(1, violations());
}

TEST(soak_model, process_that_ends_by_itself_is_noticed)
{
    pass(1s);
    give(process_ended{0, 1});
    LONGS_EQUAL(1, violations());
}

TEST(soak_model, versions_are_told_by_how_flows_fare)
{
    route_history history;
    auto const first = steady_time{1h};
    history.change(lasting_routes, 3, first);
    history.change(lasting_routes, 1, first + 1s);
    LONGS_EQUAL(0, history.newest_at(first - 1s));
    LONGS_EQUAL(1, history.newest_at(first));
    LONGS_EQUAL(2, history.newest_at(first + 2s));
    CHECK(history.first_with(0, lasting_routes, true) == 1);
    CHECK(!history.first_with(2, lasting_routes, true).has_value());
    CHECK(history.first_with(2, lasting_routes, false) == 2);
}

} // namespace
} // namespace dotterelrouter::testing
