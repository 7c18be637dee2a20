#include "dotterelrouter/bindings/bindings.hpp"

#include <algorithm>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

constexpr data_centre_id first_data_centre{1};

/// Forwarders of several data centres, all of them other ones.
std::vector<live_forwarder> make_fleet(std::uint32_t per_data_centre,
                                       std::uint32_t data_centres)
{
    std::vector<live_forwarder> fleet;
    for (std::uint32_t number = 0; number < per_data_centre * data_centres;
         ++number)
    {
        fleet.push_back({.heartbeat_endpoint = {0x0a000001 + number, 7720},
                         .incarnation = 1,
                         .data_centre = {1 + number % data_centres}});
    }
    return fleet;
}

/// The keepers that one of the fleet's forwarders chooses.
std::vector<live_forwarder> keepers_for(flow_key flow,
                                        std::vector<live_forwarder> fleet,
                                        live_forwarder chooser)
{
    std::erase(fleet, chooser);
    return keepers_of(flow, fleet, chooser.data_centre);
}

flow_key make_key(std::uint16_t port)
{
    return {{0x64400001, port}, {0xc6120001, 443}};
}

// clang-format off
TEST_GROUP(keepers)
{
};

// clang-format on

TEST(keepers, are_three_of_the_own_data_centre_and_one_of_each_other_one)
{
    auto const keepers =
        keepers_of(make_key(1), make_fleet(5, 4), first_data_centre);
    CHECK_EQUAL(6U, keepers.size());
    for (std::uint32_t data_centre = 1; data_centre <= 4; ++data_centre)
    {
        CHECK_EQUAL(data_centre == 1 ? 3 : 1,
                    std::ranges::count(keepers,
                                       data_centre_id{data_centre},
                                       &live_forwarder::data_centre));
    }
}

TEST(keepers, are_all_forwarders_of_a_small_fleet)
{
    CHECK_EQUAL(
        2U,
        keepers_of(make_key(1), make_fleet(2, 1), first_data_centre).size());
    CHECK(keepers_of(make_key(1), {}, first_data_centre).empty());
}

/// A forwarder that looks a binding up finds it, whichever forwarder shared it.
TEST(keepers, are_found_by_every_other_forwarder)
{
    auto const fleet = make_fleet(6, 3);
    for (std::uint16_t port = 1; port <= 50; ++port)
    {
        for (auto const& writer : fleet)
        {
            auto holders = keepers_for(make_key(port), fleet, writer);
            holders.push_back(writer);
            for (auto const& reader : fleet)
            {
                auto const asked = keepers_for(make_key(port), fleet, reader);
                auto const is_holder = [&](live_forwarder const& candidate)
                {
                    return std::ranges::count(holders, candidate) != 0;
                };
                CHECK(is_holder(reader) ||
                      std::ranges::any_of(asked, is_holder));
            }
        }
    }
}

/// Wherever a binding is made, it reaches the same forwarder of each data
/// centre, so that a look-up finds it in any data centre that is left
/// (review/7).
TEST(keepers, of_the_highest_rank_in_a_data_centre_are_common_to_all)
{
    auto const fleet = make_fleet(4, 3);
    for (std::uint16_t port = 1; port <= 50; ++port)
    {
        for (auto const& common : fleet)
        {
            auto const precedes = [&](live_forwarder const& other)
            {
                return other.data_centre == common.data_centre &&
                       keeper_rank(make_key(port), other.heartbeat_endpoint) >
                           keeper_rank(make_key(port),
                                       common.heartbeat_endpoint);
            };
            if (std::ranges::any_of(fleet, precedes))
            {
                continue;
            }
            for (auto const& chooser : fleet)
            {
                auto const keepers =
                    keepers_for(make_key(port), fleet, chooser);
                CHECK(chooser == common ||
                      std::ranges::count(keepers, common) == 1);
            }
        }
    }
}

TEST(keepers, of_different_flows_are_spread_evenly)
{
    auto const fleet = make_fleet(10, 1);
    std::vector<std::size_t> counts(fleet.size());
    constexpr std::uint16_t flow_count = 2000;
    for (std::uint16_t port = 1; port <= flow_count; ++port)
    {
        for (auto const& keeper :
             keepers_of(make_key(port), fleet, first_data_centre))
        {
            ++counts[keeper.heartbeat_endpoint.ip - 0x0a000001];
        }
    }
    // 600 each on average, with a standard deviation of about 20.
    CHECK(*std::ranges::min_element(counts) > 500);
    CHECK(*std::ranges::max_element(counts) < 700);
}

} // namespace
} // namespace dotterelrouter
