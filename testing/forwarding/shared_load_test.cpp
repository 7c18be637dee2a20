// Placement by shared load: several forwarders and servers of different speeds,
// in virtual time.
#include "testing/forwarding/shared_load_fleet.hpp"

#include <algorithm>
#include <array>
#include <iostream>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter::testing
{
namespace
{

using namespace std::chrono_literals;

constexpr std::size_t forwarder_count = 8;
constexpr std::uint32_t server_count = 12;
constexpr std::uint16_t slots = 2;
/// Times of a request at the servers, relative to the mean of the fastest.
constexpr std::array<double, 3> time_factors{0.7, 0.7, 1.7};
constexpr auto mean_request_time = 30ms;
/// One way between a caller and a server or forwarder.
constexpr duration trip_time = 3ms;
/// Time from a response to the next request of a flow.
constexpr auto think_time = 1s;
constexpr int requests_per_flow = 12;
/// Mean time between the first packets of two flows.
constexpr auto flow_interval = 30ms;

std::vector<server_record> make_servers()
{
    std::vector<server_record> servers;
    for (std::uint32_t number = 1; number <= server_count; ++number)
    {
        servers.push_back(make_server_record(number, number));
        servers.back().slots = slots;
    }
    return servers;
}

/// A server that runs one request per slot; others wait.
struct model_server
{
    double time_factor = 1;
    std::array<steady_time, slots> free_at{};
    duration busy_time{};

    /// Returns when a request that arrives now is done.
    steady_time run(duration work, steady_time now)
    {
        auto& slot = *std::ranges::min_element(free_at);
        auto const time = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>{work} * time_factor);
        slot = std::max(slot, now) + time;
        busy_time += time;
        return slot;
    }
};

/// How work was divided over the servers.
struct balance
{
    double busiest_to_mean = 0; ///< Of the time for which servers were busy.
    double mean_utilisation = 0;
    duration mean_response_time{};
};

/// Callers that open flows of many requests each.
class long_flow_run
{
public:
    explicit long_flow_run(bool shares_load)
        : fleet_(
              {.data_centres = std::vector<std::string>(forwarder_count, "a"),
               .servers = make_servers(),
               .routes = make_route_table(1, 1),
               .shares_load = shares_load})
    {
        for (std::uint32_t number = 1; number <= server_count; ++number)
        {
            servers_[number].time_factor =
                time_factors[number % time_factors.size()];
        }
    }

    balance measure()
    {
        fleet_.advance(2s);
        open_flow();
        fleet_.advance(30s);
        for (auto& [number, server] : servers_)
        {
            server.busy_time = {};
        }
        responses_ = 0;
        response_time_ = {};
        fleet_.advance(60s);
        return result(60s);
    }

private:
    struct caller_flow
    {
        std::uint16_t port = 0;
        std::size_t forwarder = 0;
        std::uint64_t server = 0;
        route_token token{};
        int requests = 0;
    };

    double random_exponential()
    {
        return std::exponential_distribution<double>{1}(random_);
    }

    duration random_time(duration mean)
    {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>{mean} * random_exponential());
    }

    void open_flow()
    {
        fleet_.schedule(random_time(flow_interval),
                        [this]
                        {
                            open_flow();
                        });
        auto const port = ++port_;
        caller_flow flow{.port = port, .forwarder = port % forwarder_count};
        auto const sent = fleet_.send(
            flow.forwarder,
            make_packet_arrived(make_flow_key(port), packet_type::open));
        if (sent)
        {
            flow.server = sent->server_number;
            flow.token = sent->token;
            fleet_.schedule(2 * trip_time,
                            [this, flow]
                            {
                                send_request(flow);
                            });
        }
    }

    void send_packet(caller_flow const& flow, std::uint32_t size)
    {
        auto packet = make_packet_arrived(
            make_flow_key(flow.port),
            packet_type::data,
            flow.token,
            static_cast<std::uint32_t>(100 + 500 * flow.requests));
        packet.packet.sequence =
            static_cast<std::uint32_t>(8 + 200 * flow.requests);
        packet.packet.data_size = size;
        fleet_.send(flow.forwarder, packet);
    }

    void send_request(caller_flow flow)
    {
        send_packet(flow, 200);
        auto const sent_at = fleet_.now();
        auto const done_at =
            servers_[flow.server].run(random_time(mean_request_time), sent_at);
        ++flow.requests;
        fleet_.schedule(done_at - sent_at + trip_time,
                        [this, flow, sent_at]
                        {
                            ++responses_;
                            response_time_ += fleet_.now() - sent_at;
                            receive_response(flow);
                        });
    }

    void receive_response(caller_flow const& flow)
    {
        send_packet(flow, 0);
        if (flow.requests < requests_per_flow)
        {
            fleet_.schedule(random_time(think_time),
                            [this, flow]
                            {
                                send_request(flow);
                            });
            return;
        }
        auto packet = make_packet_arrived(
            make_flow_key(flow.port),
            packet_type::close,
            flow.token,
            static_cast<std::uint32_t>(100 + 500 * flow.requests));
        packet.packet.sequence =
            static_cast<std::uint32_t>(8 + 200 * flow.requests);
        fleet_.send(flow.forwarder, packet);
    }

    [[nodiscard]] balance result(duration time) const
    {
        double sum = 0;
        double busiest = 0;
        for (auto const& [number, server] : servers_)
        {
            auto const utilisation =
                std::chrono::duration<double>{server.busy_time} /
                std::chrono::duration<double>{time} / slots;
            sum += utilisation;
            busiest = std::max(busiest, utilisation);
        }
        auto const mean = sum / server_count;
        return {busiest / mean, mean, response_time_ / responses_};
    }

    shared_load_fleet fleet_;
    std::map<std::uint64_t, model_server> servers_{};
    std::mt19937_64 random_{20261206};
    std::uint16_t port_ = 0;
    std::int64_t responses_ = 0;
    duration response_time_{};
};

TEST_GROUP(shared_load){};

/// Guards against slow servers that are overloaded while fast ones have room:
/// without shared load each server gets the same number of flows.
TEST(shared_load, work_is_divided_by_the_speeds_of_servers)
{
    auto const by_own_load = long_flow_run{false}.measure();
    auto const by_shared_load = long_flow_run{true}.measure();
    for (auto const& run : {by_own_load, by_shared_load})
    {
        std::cout
            << "busiest to mean " << run.busiest_to_mean
            << ", mean utilisation " << run.mean_utilisation
            << ", mean response time "
            << std::chrono::duration<double, std::milli>{run.mean_response_time}
                   .count()
            << " ms\n";
    }
    CHECK(by_shared_load.busiest_to_mean < 1.3);
    CHECK(by_shared_load.busiest_to_mean < by_own_load.busiest_to_mean - 0.2);
    CHECK(by_shared_load.mean_response_time < by_own_load.mean_response_time);
}

/// A forwarder that knows the servers but no other forwarder.
class lone_forwarder
{
public:
    explicit lone_forwarder(std::optional<load_sharing_settings> load_sharing)
        : state_({.heartbeat_endpoint = {0x0a010001, 7720},
                  .data_centre = "a",
                  .incarnation = 1,
                  .is_first_start = true,
                  .load_sharing = load_sharing})
    {
        reduce(timer_fired{});
        snapshot_page_read page;
        page.update.through = {20};
        page.update.servers = make_servers();
        page.update.routes = make_route_table(1, 1);
        reduce(page);
    }

    void reduce(forwarder_event const& next_event)
    {
        out_.clear();
        state_.reduce(next_event, now_, out_);
    }

    void advance(duration time)
    {
        now_.steady += time;
        reduce(timer_fired{});
    }

    /// Returns the number of the server that a new flow gets.
    std::uint64_t open_flow(std::uint16_t port)
    {
        reduce(make_packet_arrived(make_flow_key(port), packet_type::open));
        return effects_of_type<forward_packet>(out_).at(0).server_number;
    }

private:
    forwarder state_;
    instant now_{steady_time{1h}, wall_time{1h}};
    forwarder_effects out_{};
};

/// A report that server 1 has done a tenth of the work of each other one.
forwarder_load_report make_uneven_report(std::uint64_t sequence)
{
    forwarder_load_report report{.incarnation = 999,
                                 .sequence = sequence,
                                 .data_centre = {id_from_name("a")}};
    report.services.push_back({.service = "catalogue",
                               .data_centre = report.data_centre,
                               .requests_in_progress = 12});
    for (std::uint32_t number = 1; number <= server_count; ++number)
    {
        report.servers.push_back({.server = server_name(number),
                                  .responses = number == 1 ? 10U : 100U,
                                  .mean_response_time = 30ms});
    }
    return report;
}

constexpr endpoint reporter{0x0a010002, 7720};

/// Guards against forwarders that all choose the server which was last reported
/// free.
TEST(shared_load, forwarders_with_the_same_reports_choose_different_servers)
{
    std::map<std::uint64_t, int> chosen;
    constexpr int forwarders = 200;
    for (int index = 0; index < forwarders; ++index)
    {
        lone_forwarder state{load_sharing_settings{}};
        state.reduce(load_report_received{reporter, make_uneven_report(1)});
        // The next round of reports takes over the load of the fleet.
        state.advance(600ms);
        ++chosen[state.open_flow(static_cast<std::uint16_t>(1000 + index))];
    }
    LONGS_EQUAL(server_count, chosen.size());
    // The least busy of twelve servers is one of the two candidates of a flow
    // in about one case of six.
    CHECK(chosen[1] > forwarders / 12);
    CHECK(chosen[1] < forwarders / 4);
}

/// Guards against placement that depends on reports which no longer arrive.
TEST(shared_load, choice_without_recent_reports_is_that_of_before)
{
    lone_forwarder expected{std::nullopt};
    lone_forwarder never_reported{load_sharing_settings{}};
    lone_forwarder partitioned{load_sharing_settings{}};
    partitioned.reduce(load_report_received{reporter, make_uneven_report(1)});
    for (auto* const state : {&expected, &never_reported, &partitioned})
    {
        // In steps, as a long step counts as a pause of the process.
        for (auto time = 0ms; time <= load_report_ttl; time += 100ms)
        {
            state->advance(100ms);
        }
    }
    for (std::uint16_t port = 1; port <= 40; ++port)
    {
        auto const server = expected.open_flow(port);
        CHECK_EQUAL(server, never_reported.open_flow(port));
        CHECK_EQUAL(server, partitioned.open_flow(port));
    }
}

} // namespace
} // namespace dotterelrouter::testing
