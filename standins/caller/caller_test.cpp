#include "standins/caller/caller.hpp"

#include <stdexcept>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter::standins
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr endpoint fittings{1, 8002};
constexpr endpoint first_server{5, 5000};
constexpr endpoint second_server{6, 5000};

instant at(duration since_start)
{
    auto const started = seconds{1000};
    return {steady_time{started + since_start},
            wall_time{started + since_start}};
}

template <class Wanted>
std::vector<Wanted> select(std::span<caller_effect const> effects)
{
    std::vector<Wanted> selected;
    for (auto const& one : effects)
    {
        if (auto const* found = std::get_if<Wanted>(&one))
        {
            selected.push_back(*found);
        }
    }
    return selected;
}

caller_settings sample_settings()
{
    caller_settings settings;
    for (std::uint16_t port = 1; port <= 4; ++port)
    {
        settings.endpoints.push_back({7, port});
    }
    settings.plans = {{.name = "fitting",
                       .service_address = fittings,
                       .idempotent = false,
                       .rate = 1000,
                       .flows = 2,
                       .requests_per_flow = 3,
                       .deadline = seconds{2}}};
    settings.run_for = milliseconds{1};
    settings.retransmit_after = milliseconds{500};
    settings.patience = seconds{1};
    return settings;
}

// clang-format off
TEST_GROUP(caller)
{
    caller_settings settings = sample_settings();
    caller state{settings};
    std::vector<caller_effect> out;
    payload_buffer buffer{};

    /// Issues requests until there are at least `wanted`.
    std::vector<request_key> issue(std::size_t wanted)
    {
        settings.run_for = seconds{1};
        state = caller{settings};
        state.reduce(start_calling{}, at({}), out);
        std::vector<request_key> keys;
        for (int tick = 1; keys.size() < wanted; ++tick)
        {
            out.clear();
            state.reduce(timer_fired{}, at(milliseconds{tick}), out);
            for (auto const& one : select<send_call>(out))
            {
                keys.push_back(one.packet.key);
            }
        }
        state.reduce(stop_calling{}, at(milliseconds{100}), out);
        out.clear();
        return keys;
    }

    void answer(request_key const& key,
                endpoint from = first_server,
                std::uint16_t part = 0,
                std::uint16_t parts = 1,
                duration when = milliseconds{200})
    {
        answer_packet packet;
        packet.key = key;
        packet.part = part;
        packet.parts = parts;
        packet.payload = write_answer_payload({.request_hash = hash_of(key),
                                       .run_number = 1,
                                       .server = from,
                                       .part = part,
                                       .parts = parts},
                                      100,
                                      buffer);
        state.reduce(answer_arrived{key.flow.caller, packet}, at(when), out);
    }

    void refuse(request_key const& key, verdict told)
    {
        state.reduce(refusal_arrived{key.flow.caller, {key, told}},
                     at(milliseconds{200}),
                     out);
    }

    void fire(duration when)
    {
        out.clear();
        state.reduce(timer_fired{}, at(when), out);
    }

    std::uint64_t count(call_outcome outcome) const
    {
        return state.tallies().front().of(outcome);
    }
};

// clang-format on

TEST(caller, counts_a_whole_answer_once)
{
    auto const key = issue(1).front();
    answer(key);
    answer(key);
    CHECK_EQUAL(1U, count(call_outcome::answered));
    CHECK_EQUAL(0U, state.tallies().front().wrong);
    CHECK_EQUAL(1U, select<record_call>(out).size());
}

TEST(caller, gathers_parts_in_any_order)
{
    auto const key = issue(1).front();
    answer(key, first_server, 2, 3);
    answer(key, first_server, 0, 3);
    answer(key, first_server, 0, 3);
    CHECK_EQUAL(0U, count(call_outcome::answered));
    answer(key, first_server, 1, 3);
    CHECK_EQUAL(1U, count(call_outcome::answered));
}

TEST(caller, missing_part_is_incomplete_after_its_patience)
{
    auto const key = issue(1).front();
    answer(key, first_server, 0, 2);
    fire(seconds{2});
    CHECK_EQUAL(0U, count(call_outcome::incomplete));
    fire(seconds{4});
    CHECK_EQUAL(1U, count(call_outcome::incomplete));
}

TEST(caller, sends_again_under_the_same_number_until_the_deadline)
{
    auto const key = issue(1).front();
    fire(milliseconds{600});
    auto const again = select<send_call>(out);
    CHECK_TRUE(!again.empty());
    CHECK_TRUE(again.front().packet.key == key);
    CHECK_TRUE(again.front().packet.issued < at(milliseconds{100}).wall);
    fire(milliseconds{2100});
    CHECK_EQUAL(0U, select<send_call>(out).size());
    CHECK_EQUAL(0U, count(call_outcome::unanswered));
    fire(seconds{4});
    CHECK_TRUE(count(call_outcome::unanswered) > 0);
    CHECK_EQUAL(1U, select<finish>(out).size());
}

TEST(caller, not_run_is_final)
{
    auto const key = issue(1).front();
    refuse(key, {execution::not_run, reason::queue_full});
    CHECK_EQUAL(1U, count(call_outcome::refused_not_run));
    answer(key);
    CHECK_EQUAL(1U, state.tallies().front().contradicted);
    CHECK_EQUAL(0U, count(call_outcome::answered));
}

TEST(caller, may_have_run_is_asked_again)
{
    auto const key = issue(1).front();
    refuse(key, {execution::may_have_run, reason::not_owner});
    fire(milliseconds{600});
    CHECK_TRUE(!select<send_call>(out).empty());
    answer(key);
    CHECK_EQUAL(1U, count(call_outcome::answered));
}

TEST(caller, last_word_counts_when_no_answer_comes)
{
    auto const keys = issue(2);
    refuse(keys[0], {execution::may_have_run, reason::not_owner});
    refuse(keys[1], {execution::run, reason::duplicate});
    fire(seconds{2} + milliseconds{100});
    fire(seconds{4});
    CHECK_EQUAL(1U, count(call_outcome::refused_may_have_run));
    CHECK_EQUAL(1U, count(call_outcome::told_run));
}

TEST(caller, answer_of_another_request_is_wrong)
{
    auto const keys = issue(2);
    answer_packet packet;
    packet.key = keys[0];
    packet.payload =
        write_answer_payload({.request_hash = hash_of(keys[1])}, 100, buffer);
    state.reduce(answer_arrived{keys[0].flow.caller, packet},
                 at(milliseconds{200}),
                 out);
    CHECK_EQUAL(1U, state.tallies().front().wrong);
    CHECK_EQUAL(0U, count(call_outcome::answered));
}

TEST(caller, answer_at_another_endpoint_is_wrong)
{
    auto const key = issue(1).front();
    answer_packet packet;
    packet.key = key;
    packet.payload =
        write_answer_payload({.request_hash = hash_of(key)}, 100, buffer);
    state.reduce(answer_arrived{{7, 99}, packet}, at(milliseconds{200}), out);
    CHECK_EQUAL(1U, state.tallies().front().wrong);
}

TEST(caller, used_up_flow_ends_after_its_last_answer)
{
    auto const keys = issue(6);
    std::size_t ended = 0;
    for (auto const& key : keys)
    {
        out.clear();
        answer(key);
        for (auto const& one : select<send_call>(out))
        {
            ended += one.packet.type == request_type::end_flow ? 1 : 0;
        }
    }
    CHECK_TRUE(ended >= 1);
    CHECK_EQUAL(2 + ended, state.tallies().front().flows_opened);
}

TEST(caller, sees_a_flow_that_moved_to_another_server)
{
    auto const keys = issue(5);
    for (auto const& key : keys)
    {
        auto const same = key.flow == keys.front().flow;
        answer(key, same ? first_server : second_server);
    }
    CHECK_EQUAL(0U, state.tallies().front().flows_moved);
    auto const more = issue(4);
    for (auto const& key : more)
    {
        answer(key, key == more.front() ? first_server : second_server);
    }
    CHECK_EQUAL(1U, state.tallies().front().flows_moved);
}

TEST(caller, refuses_settings_with_too_few_endpoints)
{
    settings.endpoints.resize(1);
    CHECK_THROWS(std::invalid_argument, caller{settings});
}

TEST(caller, percentile_of_latencies)
{
    std::vector<duration> latencies;
    for (int value = 100; value >= 0; --value)
    {
        latencies.emplace_back(value);
    }
    CHECK_EQUAL(50, percentile(latencies, 50).count());
    CHECK_EQUAL(99, percentile(latencies, 99).count());
    CHECK_EQUAL(0, percentile({}, 99).count());
}

} // namespace
} // namespace dotterelrouter::standins
