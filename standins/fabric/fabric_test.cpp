#include "standins/fabric/fabric.hpp"

#include <algorithm>
#include <array>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter::standins
{
namespace
{

using std::chrono::milliseconds;

constexpr std::array<std::byte, 3> sample_datagram{
    std::byte{1}, std::byte{2}, std::byte{3}};

instant at(duration since_start)
{
    return {steady_time{since_start}, wall_time{since_start}};
}

std::size_t count_sent_to(std::span<fabric_effect const> effects,
                          endpoint destination)
{
    auto const is_sent_to_endpoint = [destination](fabric_effect const& effect)
    {
        auto const* forwarded = std::get_if<forward_datagram>(&effect);
        return forwarded != nullptr && forwarded->destination == destination;
    };
    return static_cast<std::size_t>(
        std::ranges::count_if(effects, is_sent_to_endpoint));
}

// clang-format off
TEST_GROUP(fabric)
{
    endpoint const first_balancer{1, 1};
    endpoint const second_balancer{2, 2};
    fabric state{42};
    std::vector<fabric_effect> out;

    void set_links(std::initializer_list<fabric_link> links)
    {
        state.reduce(links_changed{{links.begin(), links.size()}}, at({}), out);
    }

    void receive_datagrams(std::size_t datagram_count)
    {
        for (std::size_t received = 0; received < datagram_count; ++received)
        {
            state.reduce(datagram_received{sample_datagram}, at({}), out);
        }
    }
};

// clang-format on

TEST(fabric, distributes_datagrams_over_all_balancers)
{
    set_links({{.data_endpoint = first_balancer},
               {.data_endpoint = second_balancer}});
    receive_datagrams(1000);
    CHECK_EQUAL(1000U,
                count_sent_to(out, first_balancer) +
                    count_sent_to(out, second_balancer));
    CHECK_TRUE(count_sent_to(out, first_balancer) > 400);
    CHECK_TRUE(count_sent_to(out, second_balancer) > 400);
}

TEST(fabric, drops_datagrams_without_balancers)
{
    receive_datagrams(1);
    CHECK_TRUE(out.empty());
}

TEST(fabric, cut_link_drops_its_share_of_datagrams)
{
    set_links({{.data_endpoint = first_balancer},
               {.data_endpoint = second_balancer, .is_cut = true}});
    receive_datagrams(1000);
    CHECK_EQUAL(0U, count_sent_to(out, second_balancer));
    CHECK_TRUE(count_sent_to(out, first_balancer) < 600);
}

TEST(fabric, drops_and_duplicates_with_the_given_probabilities)
{
    set_links({{.data_endpoint = first_balancer, .loss_probability = 1},
               {.data_endpoint = second_balancer, .duplicate_probability = 1}});
    receive_datagrams(1000);
    CHECK_EQUAL(0U, count_sent_to(out, first_balancer));
    CHECK_TRUE(count_sent_to(out, second_balancer) > 800);
    CHECK_EQUAL(0U, count_sent_to(out, second_balancer) % 2);
}

TEST(fabric, delays_datagrams_up_to_the_maximum)
{
    set_links(
        {{.data_endpoint = first_balancer, .max_delay = milliseconds{10}}});
    receive_datagrams(100);
    CHECK_EQUAL(0U, count_sent_to(out, first_balancer));
    state.reduce(timer_fired{}, at(milliseconds{5}), out);
    auto const sent_by_half_time = count_sent_to(out, first_balancer);
    CHECK_TRUE(sent_by_half_time > 20 && sent_by_half_time < 80);
    CHECK_TRUE(std::holds_alternative<set_timer>(out.back()));
    state.reduce(timer_fired{}, at(milliseconds{10}), out);
    CHECK_EQUAL(100U, count_sent_to(out, first_balancer));
}

TEST(fabric, removed_balancer_receives_no_more_datagrams)
{
    set_links({{.data_endpoint = first_balancer},
               {.data_endpoint = second_balancer}});
    set_links({{.data_endpoint = second_balancer}});
    receive_datagrams(50);
    CHECK_EQUAL(0U, count_sent_to(out, first_balancer));
    CHECK_EQUAL(50U, count_sent_to(out, second_balancer));
}

} // namespace
} // namespace dotterelrouter::standins
