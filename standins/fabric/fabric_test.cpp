#include "standins/fabric/fabric.hpp"

#include <algorithm>
#include <array>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter::standins
{
namespace
{

using std::chrono::milliseconds;

constexpr std::array<std::byte, 3> sample{
    std::byte{1}, std::byte{2}, std::byte{3}};

instant at(duration since_start)
{
    return {steady_time{since_start}, wall_time{since_start}};
}

std::size_t sent_to(std::span<fabric_effect const> effects, endpoint to)
{
    auto const is_sent = [to](fabric_effect const& one)
    {
        auto const* sent = std::get_if<forward_datagram>(&one);
        return sent != nullptr && sent->to == to;
    };
    return static_cast<std::size_t>(std::ranges::count_if(effects, is_sent));
}

// clang-format off
TEST_GROUP(fabric)
{
    endpoint const first{1, 1};
    endpoint const second{2, 2};
    fabric state{42};
    std::vector<fabric_effect> out;

    void use(std::initializer_list<fabric_link> links)
    {
        state.reduce(links_read{{links.begin(), links.size()}}, at({}), out);
    }

    void spray(std::size_t count)
    {
        for (std::size_t sent = 0; sent < count; ++sent)
        {
            state.reduce(datagram_sprayed{sample}, at({}), out);
        }
    }
};

// clang-format on

TEST(fabric, sprays_packets_over_all_balancers)
{
    use({{.data = first}, {.data = second}});
    spray(1000);
    CHECK_EQUAL(1000U, sent_to(out, first) + sent_to(out, second));
    CHECK_TRUE(sent_to(out, first) > 400);
    CHECK_TRUE(sent_to(out, second) > 400);
}

TEST(fabric, drops_all_without_balancers)
{
    spray(1);
    CHECK_TRUE(out.empty());
}

TEST(fabric, cut_link_takes_its_share_into_nowhere)
{
    use({{.data = first}, {.data = second, .cut = true}});
    spray(1000);
    CHECK_EQUAL(0U, sent_to(out, second));
    CHECK_TRUE(sent_to(out, first) < 600);
}

TEST(fabric, loses_and_repeats_as_told)
{
    use({{.data = first, .loss = 1}, {.data = second, .duplicate = 1}});
    spray(1000);
    CHECK_EQUAL(0U, sent_to(out, first));
    CHECK_TRUE(sent_to(out, second) > 800);
    CHECK_EQUAL(0U, sent_to(out, second) % 2);
}

TEST(fabric, delays_within_the_bound)
{
    use({{.data = first, .max_delay = milliseconds{10}}});
    spray(100);
    CHECK_EQUAL(0U, sent_to(out, first));
    state.reduce(timer_fired{}, at(milliseconds{5}), out);
    auto const early = sent_to(out, first);
    CHECK_TRUE(early > 20 && early < 80);
    CHECK_TRUE(std::holds_alternative<wake_at>(out.back()));
    state.reduce(timer_fired{}, at(milliseconds{10}), out);
    CHECK_EQUAL(100U, sent_to(out, first));
}

TEST(fabric, removed_balancer_gets_nothing_more)
{
    use({{.data = first}, {.data = second}});
    use({{.data = second}});
    spray(50);
    CHECK_EQUAL(0U, sent_to(out, first));
    CHECK_EQUAL(50U, sent_to(out, second));
}

} // namespace
} // namespace dotterelrouter::standins
