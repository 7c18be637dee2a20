// Two servers whose names have the same token: no forwarder takes one for the
// other, whichever of them it knows, and in whatever order it learned of them.
#include "testing/forwarding/forwarder_group.hpp"
#include "testing/forwarding/name_pairs.hpp"

#include <CppUTest/TestHarness.h>

namespace dotterelrouter::testing
{
namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t search_seed = 20261205;
/// Number of pairs that each test tries.
constexpr int pair_count = 4;
constexpr std::size_t group_size = 3;
constexpr std::uint16_t flow_count = 12;
/// Numbers of the servers of a pair, and of one that shares no token.
constexpr std::uint64_t older_number = 1;
constexpr std::uint64_t newer_number = 2;
constexpr std::uint64_t other_number = 3;

/// An open flow, as its caller knows it.
struct open_flow
{
    std::uint16_t port = 0;
    std::uint64_t server_number = 0;
    route_token token; ///< Of the last packet from the server.
};

server_record make_named_record(std::string name,
                                std::uint64_t number,
                                server_state state = server_state::ready)
{
    constexpr std::int64_t start_of_first_ms = 1000;
    auto record =
        make_server_record(static_cast<std::uint32_t>(number), 0, state);
    record.name = std::move(name);
    record.started_ms = start_of_first_ms + static_cast<std::int64_t>(number);
    return record;
}

/// Two servers with one token, in the order in which they started and
/// registered, and a third one.
struct server_pair
{
    server_record older;
    server_record newer;
    server_record other = make_named_record("other", other_number);
};

// clang-format off
TEST_GROUP(shared_tokens)
{
    name_pair_search search{search_seed};

    /// Returns the next pair, whose names are in either order by turns.
    server_pair next_pair()
    {
        auto [first, second] = search.next([](std::string_view name)
                                           { return tokens_of_name(name).front().value; });
        if (first > second)
        {
            std::swap(first, second);
        }
        swap_names = !swap_names;
        if (swap_names)
        {
            std::swap(first, second);
        }
        return {make_named_record(first, older_number), make_named_record(second, newer_number)};
    }

    /// Runs a forwarder without gaps, so that no packet can have waited in its
    /// socket.
    static void run_without_gaps(forwarder_group& group, std::size_t index)
    {
        for (int i = 0; i < 4; ++i)
        {
            group.advance(40ms);
            group.send(index, forwarder_group::request(9999, route_token{4000}));
        }
    }

    /// Opens a flow through a forwarder.
    static open_flow open(forwarder_group& group, std::size_t index, std::uint16_t port)
    {
        auto const first = group.send(index, forwarder_group::first_packet(port));
        CHECK(first.has_value());
        auto const opened =
            group.send(index, forwarder_group::acknowledgement(port, first->token));
        CHECK(opened.has_value());
        CHECK_EQUAL(first->server_number, opened->server_number);
        return {port, opened->server_number, opened->token};
    }

    /// Opens flows through a forwarder, each with the next port.
    std::vector<open_flow> open_flows(forwarder_group& group, std::size_t index)
    {
        std::vector<open_flow> flows;
        run_without_gaps(group, index);
        for (std::uint16_t i = 0; i < flow_count; ++i)
        {
            flows.push_back(open(group, index, next_port++));
        }
        return flows;
    }

    /// Sends a request of an open flow through a forwarder; the caller then has
    /// the token that it carried to the server. Returns the number of the server
    /// that it reached; 0 if it reached none.
    static std::uint64_t server_reached(forwarder_group& group, std::size_t index, open_flow& flow)
    {
        auto const sent = group.send(index, forwarder_group::request(flow.port, flow.token));
        if (sent && sent->server_number == flow.server_number)
        {
            flow.token = sent->token;
        }
        return sent ? sent->server_number : 0;
    }

    /// Checks that all packets of open flows reach their own servers, through
    /// each forwarder, with the token that the callers had and with the one that
    /// they have then.
    static void check_all_reach_their_servers(forwarder_group& group, std::vector<open_flow> flows)
    {
        for (auto& flow : flows)
        {
            for (std::size_t index = 0; index < group_size; ++index)
            {
                auto unchanged = flow;
                CHECK_EQUAL(flow.server_number, server_reached(group, index, unchanged));
            }
            for (std::size_t index = 0; index < group_size; ++index)
            {
                CHECK_EQUAL(flow.server_number, server_reached(group, index, flow));
            }
        }
    }

    /// Checks that no packet of open flows reaches another server than its own.
    static void check_none_reaches_another(forwarder_group& group, std::vector<open_flow> const& flows)
    {
        for (auto const& flow : flows)
        {
            for (std::size_t index = 0; index < group_size; ++index)
            {
                auto unchanged = flow;
                auto const reached = server_reached(group, index, unchanged);
                CHECK(reached == 0 || reached == flow.server_number);
            }
        }
    }

    static std::set<std::uint64_t> servers_of(std::vector<open_flow> const& flows)
    {
        std::set<std::uint64_t> numbers;
        for (auto const& flow : flows)
        {
            numbers.insert(flow.server_number);
        }
        return numbers;
    }

    bool swap_names = false;
    std::uint16_t next_port = 1;
};

// clang-format on

/// review/4: a new server with the token of an old one got all packets of its
/// open flows, and reset them.
TEST(shared_tokens, new_server_gets_no_packets_of_open_flows_of_an_old_one)
{
    for (int i = 0; i < pair_count; ++i)
    {
        auto const servers = next_pair();
        forwarder_group group{{"a", "a", "a"}, {servers.older, servers.other}};
        auto const flows = open_flows(group, 0);
        group.set_servers({servers.older, servers.newer, servers.other});
        group.advance(10ms);
        check_all_reach_their_servers(group, flows);
    }
}

/// Both servers of a pair get new flows, which stay where they are.
TEST(shared_tokens, both_servers_get_new_flows)
{
    for (int i = 0; i < pair_count; ++i)
    {
        auto const servers = next_pair();
        forwarder_group group{{"a", "a", "a"}, {servers.older, servers.newer}};
        for (std::size_t index = 0; index < group_size; ++index)
        {
            auto const flows = open_flows(group, index);
            CHECK_EQUAL(2U, servers_of(flows).size());
            check_all_reach_their_servers(group, flows);
        }
        CHECK_EQUAL(0U, group.count_logged(decision::flow_ambiguous));
    }
}

/// While two servers share the first token, all new flows are served, and by
/// both. With a second hash that depended on the first one, all flows were
/// refused for one pair in five, that of review/4 among them.
TEST(shared_tokens, all_new_flows_are_served_if_no_other_server_is_there)
{
    constexpr int served_pair_count = 8;
    std::vector<server_pair> pairs(
        1,
        {make_named_record("i-3d0f4bf384", older_number),
         make_named_record("i-f6ca8c21dc", newer_number)});
    while (pairs.size() < served_pair_count)
    {
        pairs.push_back(next_pair());
    }
    for (auto const& servers : pairs)
    {
        forwarder_group group{{"a"}, {servers.older, servers.newer}};
        CHECK_EQUAL(2U, servers_of(open_flows(group, 0)).size());
        CHECK_EQUAL(0U, group.refused_flows());
    }
}

/// The older server drains and leaves; its token is the newer one's alone once
/// no flow can be open there.
TEST(shared_tokens, flows_of_a_server_that_drains_and_leaves_are_not_mixed_up)
{
    auto const servers = next_pair();
    forwarder_group group{{"a", "a", "a"}, {servers.older, servers.other}};
    auto const old_flows = open_flows(group, 0);
    group.set_servers({servers.older, servers.newer, servers.other});
    group.advance(10ms);
    auto draining = servers.older;
    draining.state = server_state::draining;
    group.set_servers({draining, servers.newer, servers.other});
    group.advance(10ms);
    auto const new_flows = open_flows(group, 1);
    check_all_reach_their_servers(group, old_flows);
    check_all_reach_their_servers(group, new_flows);
    group.set_servers({servers.newer, servers.other});
    group.advance(20s);
    check_all_reach_their_servers(group, old_flows);
    check_all_reach_their_servers(group, open_flows(group, 2));
    group.advance(75s);
    for (auto const& flow : open_flows(group, 0))
    {
        auto const tokens = tokens_of_name(flow.server_number == newer_number
                                               ? servers.newer.name
                                               : servers.other.name);
        CHECK(as_settled(flow.token) == tokens.front());
    }
}

/// Each forwarder restarts after it has learned of the pair.
TEST(shared_tokens, open_flows_keep_their_servers_over_restarts)
{
    for (int i = 0; i < pair_count; ++i)
    {
        auto const servers = next_pair();
        forwarder_group group{{"a", "a", "a"}, {servers.older, servers.other}};
        auto const flows = open_flows(group, 0);
        group.set_servers({servers.older, servers.newer, servers.other});
        for (std::size_t index = 0; index < group_size; ++index)
        {
            group.advance(1s);
            group.restart(index);
        }
        group.advance(1s);
        check_all_reach_their_servers(group, flows);
    }
}

/// No forwarder knows the flows, as theirs has restarted before the newer
/// server registered. The entries tell which server was there before.
TEST(shared_tokens,
     flows_that_no_forwarder_knows_are_at_the_server_that_was_first)
{
    for (int i = 0; i < pair_count; ++i)
    {
        auto const servers = next_pair();
        forwarder_group group{{"a", "a", "a"}, {servers.older, servers.other}};
        auto const flows = open_flows(group, 0);
        group.restart(0);
        group.advance(1s);
        group.set_servers({servers.older, servers.newer, servers.other});
        group.advance(10ms);
        check_all_reach_their_servers(group, flows);
    }
}

/// The entry of the older server was removed and written again, so that a
/// forwarder may have known the newer one alone. Packets of flows that no
/// forwarder knows go nowhere.
TEST(shared_tokens, packets_go_nowhere_if_the_entries_do_not_tell)
{
    auto const servers = next_pair();
    forwarder_group group{{"a", "a", "a"}, {servers.older}};
    auto const flows = open_flows(group, 0);
    group.restart(0);
    group.advance(1s);
    group.write_store({servers.newer});
    group.set_servers({servers.older, servers.newer});
    group.advance(10ms);
    for (auto flow : flows)
    {
        CHECK_EQUAL(0U, server_reached(group, 1, flow));
    }
    CHECK_EQUAL(flow_count, group.count_logged(decision::flow_ambiguous));
}

/// One forwarder knows the newer server alone and opens flows there; then it
/// learns of the older one, as the others have before.
TEST(shared_tokens, flows_of_a_forwarder_that_knew_one_server_are_bound)
{
    for (int i = 0; i < pair_count; ++i)
    {
        auto const servers = next_pair();
        forwarder_group group{{"a", "a", "a"}, {servers.newer}};
        group.write_store({servers.older, servers.newer});
        group.read_store(1);
        group.advance(10ms);
        auto const flows = open_flows(group, 0);
        check_all_reach_their_servers(group, flows);
        group.read_store(0);
        group.read_store(2);
        group.advance(10ms);
        check_all_reach_their_servers(group, flows);
    }
}

/// The same while it is cut off. The others don't know its flows, and none of
/// them may say that nobody does (the rule of review/12).
TEST(shared_tokens, flows_of_a_forwarder_that_is_cut_off_go_nowhere_wrong)
{
    for (int i = 0; i < pair_count; ++i)
    {
        auto const servers = next_pair();
        forwarder_group group{{"a", "a", "a"}, {servers.newer}};
        group.write_store({servers.older, servers.newer});
        group.read_store(1);
        group.cut(0, 1);
        group.cut(0, 2);
        group.advance(4500ms);
        auto const flows = open_flows(group, 0);
        check_none_reaches_another(group, flows);
        group.heal();
        group.advance(2500ms);
        check_all_reach_their_servers(group, flows);
    }
}

/// Forwarders learn of the servers in different orders, and each opens flows in
/// between.
TEST(shared_tokens, order_in_which_forwarders_learn_does_not_matter)
{
    for (int i = 0; i < pair_count; ++i)
    {
        auto const servers = next_pair();
        forwarder_group group{{"a", "a", "a"}, {servers.older}};
        auto flows = open_flows(group, 0);
        group.write_store({servers.older, servers.newer});
        for (std::size_t index = 0; index < group_size; ++index)
        {
            group.read_store((index + static_cast<std::size_t>(i)) %
                             group_size);
            group.advance(10ms);
            check_none_reaches_another(group, flows);
            auto const opened = open_flows(group, index);
            flows.insert(flows.end(), opened.begin(), opened.end());
        }
        check_all_reach_their_servers(group, flows);
    }
}

/// A server whose identifier has the token of another one is restarted in
/// place, and one returns after its entry lapsed.
TEST(shared_tokens, entry_that_lapses_and_returns_moves_no_flow)
{
    for (int i = 0; i < pair_count; ++i)
    {
        auto const servers = next_pair();
        forwarder_group group{{"a", "a", "a"}, {servers.older, servers.other}};
        auto flows = open_flows(group, 0);
        group.set_servers({servers.other});
        group.advance(1s);
        group.set_servers({servers.newer, servers.other});
        group.advance(1s);
        auto const opened = open_flows(group, 1);
        flows.insert(flows.end(), opened.begin(), opened.end());
        check_all_reach_their_servers(group, flows);
        group.set_servers({servers.older, servers.newer, servers.other});
        group.advance(1s);
        check_all_reach_their_servers(group, flows);
    }
}

/// The entry of the older server lapsed before a forwarder restarted, and the
/// newer one registered. The forwarder sent the open flows of the older one,
/// which it had never read of, to the newer one.
TEST(shared_tokens, restarted_forwarder_learns_of_servers_that_were_removed)
{
    for (int i = 0; i < pair_count; ++i)
    {
        auto const servers = next_pair();
        forwarder_group group{{"a", "a", "a"}, {servers.older, servers.other}};
        group.share_directories();
        auto flows = open_flows(group, 0);
        group.set_servers({servers.other});
        group.advance(1s);
        for (std::size_t index = 0; index < group_size; ++index)
        {
            group.restart(index);
            group.advance(1s);
        }
        group.set_servers({servers.newer, servers.other});
        group.advance(1s);
        check_none_reaches_another(group, flows);
        auto const opened = open_flows(group, 1);
        check_all_reach_their_servers(group, opened);
    }
}

/// A forwarder that does not know the other server of a pair (yet) replaced the
/// second token of open flows by the first one, which the others took for that
/// of the other server (virtual fleet with tokens of 6 bits, seed 193).
TEST(shared_tokens, second_token_of_an_open_flow_stays)
{
    auto const servers = next_pair();
    forwarder_group group{{"a", "a", "a"}, {servers.older, servers.newer}};
    auto flows = open_flows(group, 0);
    group.set_servers({servers.newer});
    group.advance(1s);
    group.restart(1);
    group.advance(1s);
    int kept_tokens = 0;
    for (auto& flow : flows)
    {
        auto const token = flow.token;
        if (flow.server_number == newer_number && is_settled(token))
        {
            CHECK_EQUAL(newer_number, server_reached(group, 1, flow));
            CHECK(flow.token == token);
            CHECK_EQUAL(newer_number, server_reached(group, 2, flow));
            ++kept_tokens;
        }
    }
    CHECK(kept_tokens > 0);
}

/// Data centres have keepers of their own.
TEST(shared_tokens, open_flows_keep_their_servers_across_data_centres)
{
    auto const servers = next_pair();
    forwarder_group group{{"a", "b", "c"}, {servers.older, servers.other}};
    auto const flows = open_flows(group, 0);
    group.set_servers({servers.older, servers.newer, servers.other});
    group.advance(10ms);
    check_all_reach_their_servers(group, flows);
}

/// With tokens of a single hash bit, three servers leave one of them without a
/// token of its own.
TEST(shared_tokens, server_without_a_token_of_its_own_gets_no_new_flows)
{
    constexpr unsigned hash_bits = 1;
    std::vector<server_record> servers;
    for (std::uint64_t number = 1; number <= 8; ++number)
    {
        servers.push_back(
            make_named_record("s" + std::to_string(number), number));
    }
    forwarder_group group{{"a"}, servers, hash_bits};
    CHECK(group.count_logged(decision::token_shared) >= 8);
    group.read_store(0);
    group.advance(10ms);
    CHECK(!group.send(0, forwarder_group::first_packet(1)).has_value());
    CHECK_EQUAL(1U, group.refused_flows());
    // Once the others have left, the last one has both tokens.
    group.set_servers({servers.front()});
    group.advance(75s);
    CHECK_EQUAL(1U, open(group, 0, 2).server_number);
}

} // namespace
} // namespace dotterelrouter::testing
