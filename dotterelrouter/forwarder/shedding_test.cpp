// Admission of new flows by the load of the fleet.
#include "dotterelrouter/forwarder/forwarder.hpp"

#include "dotterelrouter/forwarder/internal/service_demand.hpp"
#include "testing/forwarding/records.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter
{
namespace
{

using namespace std::chrono_literals;
using testing::count_logged;
using testing::effects_of_type;
using testing::make_flow_key;
using testing::make_packet_arrived;
using testing::make_server_record;

constexpr endpoint own_address{0x0a010001, 7720};
constexpr endpoint peer_address{0x0a010002, 7720};
constexpr endpoint urgent_address{0xc6120002, 443};
constexpr std::uint16_t flows = 400;

/// Returns a route to the service for each of two urgencies.
std::shared_ptr<route_table const> make_routes()
{
    auto table = *testing::make_route_table(1, 1);
    table.routes.front().urgency = 2;
    auto urgent = table.routes.front();
    urgent.address = urgent_address;
    urgent.urgency = 1;
    table.routes.push_back(urgent);
    return std::make_shared<route_table const>(table);
}

/// Load of the servers of data centre "a", which have 6 slots.
service_load make_load(double arrivals, double requests_in_progress)
{
    return {.service = "catalogue",
            .data_centre = {id_from_name("a")},
            .requests_in_progress = requests_in_progress,
            .arrival_rate = arrivals,
            .urgent_arrival_rate = arrivals / 10,
            .response_rate = 200,
            .latency_ratio = 0.2};
}

// clang-format off
TEST_GROUP(shedding)
{
    instant now{steady_time{1h}, wall_time{1h}};
    forwarder_effects out;
    std::optional<forwarder> state;
    std::uint64_t reports = 0;
    std::uint16_t next_port = 1;

    void dispatch(forwarder_event const& next_event)
    {
        out.clear();
        state->reduce(next_event, now, out);
    }

    void start(std::optional<load_sharing_settings> load_sharing)
    {
        state.emplace(forwarder_settings{.heartbeat_endpoint = own_address,
                                         .data_centre = "a",
                                         .incarnation = 1,
                                         .seeds = {peer_address},
                                         .is_first_start = true,
                                         .load_sharing = load_sharing});
        dispatch(timer_fired{});
        snapshot_page_read page;
        page.update.through = {10};
        page.update.servers = {make_server_record(1, 10), make_server_record(2, 10)};
        page.update.routes = make_routes();
        dispatch(page);
        advance(100ms);
    }

    void advance(duration time)
    {
        now.steady += time;
        now.wall += time;
        dispatch(timer_fired{});
        heartbeat message;
        message.incarnation = 2;
        message.data_centre = {id_from_name("a")};
        dispatch(heartbeat_received{peer_address, message});
        changes_read changes;
        changes.update.through = {10};
        dispatch(changes);
    }

    void report(service_load const& load)
    {
        dispatch(load_report_received{peer_address,
                                      {.incarnation = 2,
                                       .sequence = ++reports,
                                       .data_centre = {id_from_name("a")},
                                       .services = {load}}});
    }

    /// Sends the first packets of many flows. Returns the share that is
    /// refused; `out` holds the effects of all.
    double refused_share(endpoint service_address = testing::lookup_address)
    {
        forwarder_effects all;
        for (std::uint16_t i = 0; i < flows; ++i)
        {
            dispatch(make_packet_arrived(make_flow_key(next_port++, service_address), packet_type::open));
            std::ranges::copy(out, std::back_inserter(all));
        }
        out = all;
        return static_cast<double>(effects_of_type<refuse_flow>(out).size()) / flows;
    }

    void run_past_startup()
    {
        for (int i = 0; i < 15; ++i)
        {
            advance(100ms);
        }
    }

    /// Opens a flow that no server answers. Returns how many servers were
    /// suspected meanwhile.
    std::size_t run_unanswered_flow()
    {
        dispatch(make_packet_arrived(make_flow_key(next_port++), packet_type::open));
        std::size_t suspected = 0;
        for (int i = 0; i < 10; ++i)
        {
            now.steady += 30ms;
            dispatch(timer_fired{});
            suspected += count_logged(out, decision::server_suspected);
        }
        return suspected;
    }

    std::uint32_t count(forwarder_counter id) const
    {
        std::uint32_t sum = 0;
        for (auto const& increment : effects_of_type<increment_forwarder_counter>(out))
        {
            sum += increment.id == id ? increment.by : 0;
        }
        return sum;
    }
};

// clang-format on

TEST(shedding, less_urgent_flows_are_refused_at_an_overload_of_the_fleet)
{
    start(load_sharing_settings{});
    report(make_load(1000, 10));
    // A fifth of the flows can be served, and half of these are urgent.
    DOUBLES_EQUAL(1 - 100.0 / 900, refused_share(), 0.05);
    LONGS_EQUAL(effects_of_type<refuse_flow>(out).size(),
                count(forwarder_counter::flows_shed_other));
    LONGS_EQUAL(0, count(forwarder_counter::flows_shed_urgent));
    LONGS_EQUAL(1, count_logged(out, decision::shedding_changed));
    DOUBLES_EQUAL(0.0, refused_share(urgent_address), 0.0);
}

TEST(shedding, nothing_is_refused_at_moderate_load)
{
    start(load_sharing_settings{});
    report(make_load(200, 4));
    DOUBLES_EQUAL(0.0, refused_share(), 0.0);
    LONGS_EQUAL(0, count_logged(out, decision::shedding_changed));
}

/// Without recent figures the fleet's state is unknown, and the last share must
/// not stay in force.
TEST(shedding, old_figures_are_not_used)
{
    start(load_sharing_settings{});
    report(make_load(1000, 10));
    CHECK(refused_share() > 0);
    for (int i = 0; i < 40; ++i)
    {
        advance(100ms);
    }
    DOUBLES_EQUAL(0.0, refused_share(), 0.0);
}

/// Deployments that don't ask for shared load decide as before.
TEST(shedding, load_is_not_shared_without_the_setting)
{
    start(std::nullopt);
    report(make_load(1000, 10));
    DOUBLES_EQUAL(0.0, refused_share(), 0.0);
    LONGS_EQUAL(0, count_logged(out, decision::shedding_changed));
}

/// A full server drops first packets without a trace. The next flow must not
/// lose time at it, though it has the fewest requests of this forwarder.
TEST(shedding, flows_avoid_a_server_that_was_just_full)
{
    start(load_sharing_settings{});
    run_past_startup();
    report(make_load(200, 4));
    dispatch(make_packet_arrived(make_flow_key(1), packet_type::open));
    auto const full = effects_of_type<forward_packet>(out).front();
    now.steady += 26ms;
    dispatch(timer_fired{});
    auto const second = effects_of_type<forward_packet>(out).front();
    CHECK(full.server_number != second.server_number);
    for (std::uint16_t port = 2; port <= 4; ++port)
    {
        dispatch(make_packet_arrived(make_flow_key(port), packet_type::open));
        LONGS_EQUAL(second.server_number,
                    effects_of_type<forward_packet>(out).front().server_number);
    }
}

/// A suspected server gets no flows for longer than its queue is full.
TEST(shedding, full_servers_are_not_suspected)
{
    start(load_sharing_settings{});
    run_past_startup();
    std::size_t suspected = 0;
    for (int i = 0; i < 4; ++i)
    {
        report(make_load(200, 8));
        suspected += run_unanswered_flow();
    }
    LONGS_EQUAL(0, suspected);
}

/// Servers that don't answer while slots are idle have failed.
TEST(shedding, failed_servers_are_suspected)
{
    start(load_sharing_settings{});
    run_past_startup();
    std::size_t suspected = 0;
    for (int i = 0; i < 4; ++i)
    {
        report(make_load(200, 1));
        suspected += run_unanswered_flow();
    }
    CHECK(suspected > 0);
}

TEST(shedding, demand_is_the_sum_over_usable_data_centres)
{
    std::vector<data_centre_load> loads(3,
                                        {.requests_in_progress = 12,
                                         .slots = 10,
                                         .arrival_rate = 100,
                                         .urgent_arrival_rate = 10,
                                         .response_rate = 50,
                                         .latency_ratio = 0.5,
                                         .is_known = true,
                                         .is_usable = true});
    loads[1].requests_in_progress = 0;
    loads[2].is_usable = false; // Its callers' flows go to the others.
    auto const demand = internal::demand_of(loads);
    CHECK(demand.has_value());
    DOUBLES_EQUAL(300, demand->arrival_rate, 0.001);
    DOUBLES_EQUAL(30, demand->urgent_arrival_rate, 0.001);
    DOUBLES_EQUAL(0.6, demand->utilisation, 0.001);
    DOUBLES_EQUAL(0.5, demand->latency_ratio, 0.001);
}

TEST(shedding, demand_is_unknown_without_figures_or_slots)
{
    CHECK_FALSE(internal::demand_of({}).has_value());
    std::vector<data_centre_load> loads(
        1, {.slots = 10, .arrival_rate = 100, .is_usable = true});
    CHECK_FALSE(internal::demand_of(loads).has_value());
    loads[0].is_known = true;
    loads[0].slots = 0;
    CHECK_FALSE(internal::demand_of(loads).has_value());
}

} // namespace
} // namespace dotterelrouter
