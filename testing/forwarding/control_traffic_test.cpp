// Cost of heartbeats and of reports of load in fleets of several sizes, and how
// soon the forwarders of a data centre reach all others.
#include "dotterelrouter/codec/codec.hpp"
#include "dotterelrouter/forwarder/forwarder.hpp"
#include "testing/forwarding/records.hpp"

#include <algorithm>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter::testing
{
namespace
{

using namespace std::chrono_literals;

/// IPv4 and UDP headers of a datagram, in bytes.
constexpr std::size_t header_size = 28;
constexpr std::uint32_t server_count = 60;
constexpr duration step = 5ms;

endpoint vm(std::size_t number)
{
    return {0x0a010000 + static_cast<std::uint32_t>(number), 7720};
}

std::string data_centre_of(std::size_t number, std::size_t data_centres)
{
    return std::string(1, static_cast<char>('a' + number % data_centres));
}

/// Messages and bytes that one forwarder sends in a second.
struct forwarder_cost
{
    double messages = 0;
    double bytes = 0;
    double remote_bytes = 0; ///< To other data centres.
};

/// One forwarder whose peers, callers and servers the test plays. It reports as
/// many servers as it may, since it opens flows at many of them.
class busy_forwarder
{
public:
    busy_forwarder(std::size_t forwarders, std::size_t data_centres)
        : forwarders_(forwarders), data_centres_(data_centres)
    {
        reduce(timer_fired{});
        read_snapshot();
    }

    forwarder_cost measure()
    {
        run(5s);
        sent_ = {};
        constexpr auto measured_time = 10s;
        run(measured_time);
        auto const seconds =
            std::chrono::duration<double>{measured_time}.count();
        return {sent_.messages / seconds,
                sent_.bytes / seconds,
                sent_.remote_bytes / seconds};
    }

private:
    void run(duration time)
    {
        for (auto const end = now_.steady + time; now_.steady < end;)
        {
            now_.steady += step;
            now_.wall += step;
            ++steps_;
            if (timer_at_ && *timer_at_ <= now_.steady)
            {
                timer_at_.reset();
                reduce(timer_fired{});
            }
            receive_messages();
            play_callers();
        }
    }

    void reduce(forwarder_event const& next_event)
    {
        forwarder_effects out;
        state_.reduce(next_event, now_, out);
        for (auto const& effect : out)
        {
            if (auto const* const timer = std::get_if<set_timer>(&effect))
            {
                timer_at_ = timer->deadline;
            }
            else if (auto const* const packet =
                         std::get_if<forward_packet>(&effect))
            {
                token_ = packet->token;
            }
            else if (auto const* const beat =
                         std::get_if<send_heartbeat>(&effect))
            {
                count(beat->destination,
                      encode_heartbeat(*beat->message).size());
            }
            else if (auto const* const report =
                         std::get_if<send_load_report>(&effect))
            {
                count(report->destination,
                      encode_load_report(*report->report).size());
            }
        }
    }

    void count(endpoint destination, std::size_t size)
    {
        auto const bytes = static_cast<double>(size + header_size);
        auto const number = destination.ip - vm(0).ip;
        ++sent_.messages;
        sent_.bytes += bytes;
        sent_.remote_bytes += number % data_centres_ == 0 ? 0 : bytes;
    }

    void read_snapshot()
    {
        snapshot_page_read page;
        // Realistic sizes of the revision and the era.
        page.update.through = {50'000'000, 1};
        page.update.complete = true;
        auto table = *make_route_table(1, 1, "product-read");
        table.routes.push_back(
            make_route_table(1, 1, "product-save")->routes[0]);
        table.routes.back().address = other_address;
        page.update.routes = std::make_shared<route_table const>(table);
        for (std::uint32_t number = 1; number <= server_count; ++number)
        {
            auto record = make_server_record(number, number);
            record.name = "server-" + std::to_string(10'000 + number);
            record.service = number % 3 == 0 ? "product-save" : "product-read";
            page.update.servers.push_back(record);
        }
        reduce(page);
    }

    /// Each peer sends a heartbeat every second, and some send a report.
    void receive_messages()
    {
        for (std::size_t peer = 1 + steps_ % 200; peer < forwarders_;
             peer += 200)
        {
            heartbeat message;
            message.incarnation = 0x123456789abcU + peer;
            message.data_centre = {
                id_from_name(data_centre_of(peer, data_centres_))};
            message.version = {{50'000'000, 1}, 1};
            message.age = 10ms;
            message.uptime = 1h;
            reduce(heartbeat_received{vm(peer), message});
        }
    }

    /// Opens a flow with one request every 10 ms.
    void play_callers()
    {
        if (steps_ % 2 != 0)
        {
            return;
        }
        auto const port = static_cast<std::uint16_t>(steps_);
        auto const key = make_flow_key(
            port, steps_ % 4 == 0 ? lookup_address : other_address);
        reduce(make_packet_arrived(key, packet_type::open));
        auto request = make_packet_arrived(key, packet_type::data, token_, 100);
        request.packet.sequence = 8;
        request.packet.data_size = 200;
        reduce(request);
        now_.steady += 1ms;
        auto response =
            make_packet_arrived(key, packet_type::data, token_, 500);
        response.packet.sequence = 208;
        reduce(response);
    }

    static constexpr endpoint other_address{0xc6120002, 443};

    std::size_t forwarders_;
    std::size_t data_centres_;
    forwarder state_{{.heartbeat_endpoint = vm(0),
                      .data_centre = "a",
                      .incarnation = 0x123456789abcU,
                      .seeds = {vm(1), vm(2)},
                      .is_first_start = true,
                      .load_sharing = load_sharing_settings{}}};
    instant now_{steady_time{1h}, wall_time{1h}};
    std::size_t steps_ = 0;
    std::optional<steady_time> timer_at_{};
    route_token token_{};
    forwarder_cost sent_{};
};

forwarder_cost measure(std::size_t forwarders, std::size_t data_centres)
{
    auto const cost = busy_forwarder{forwarders, data_centres}.measure();
    std::cout << forwarders << " forwarders: " << cost.messages
              << " messages/s, " << cost.bytes << " bytes/s, "
              << cost.remote_bytes << " of them to other data centres\n";
    return cost;
}

/// The forwarders of one data centre, which know all others.
class sending_data_centre
{
public:
    sending_data_centre(std::size_t forwarders, std::size_t data_centres)
        : forwarders_(forwarders), data_centres_(data_centres)
    {
        for (std::size_t self = 0; self < forwarders; self += data_centres)
        {
            senders_.emplace_back(
                peers_settings{.self = vm(self),
                               .data_centre = id_of(self),
                               .incarnation = self + 1,
                               .favours_own_data_centre = true});
        }
        hear_all();
    }

    /// Returns the longest time for which a forwarder elsewhere gets no
    /// heartbeat of this data centre, or no report.
    template <class Send>
    duration longest_silence(duration interval, Send const& send)
    {
        std::map<endpoint, steady_time> reached_at;
        auto longest = duration::zero();
        auto const begin = now_.steady;
        for (int round = 0; round < 24; ++round)
        {
            now_.steady += interval;
            hear_all();
            for (auto& sender : senders_)
            {
                for (auto const receiver : send(sender, now_))
                {
                    auto const [found, is_new] =
                        reached_at.try_emplace(receiver, begin);
                    longest = std::max<duration>(longest,
                                                 now_.steady - found->second);
                    found->second = now_.steady;
                }
            }
        }
        for (std::size_t number = 0; number < forwarders_; ++number)
        {
            auto const found = reached_at.find(vm(number));
            if (number % data_centres_ != 0)
            {
                longest = std::max<duration>(
                    longest,
                    now_.steady -
                        (found == reached_at.end() ? begin : found->second));
            }
        }
        return longest;
    }

private:
    [[nodiscard]] data_centre_id id_of(std::size_t number) const
    {
        return {id_from_name(data_centre_of(number, data_centres_))};
    }

    void hear_all()
    {
        for (auto& sender : senders_)
        {
            for (std::size_t number = 0; number < forwarders_; ++number)
            {
                forwarder_effects ignored;
                sender.on_heartbeat(vm(number),
                                    {.data_centre = id_of(number)},
                                    {},
                                    now_,
                                    ignored);
            }
        }
    }

    std::size_t forwarders_;
    std::size_t data_centres_;
    instant now_{steady_time{1h}, wall_time{1h}};
    std::vector<peers> senders_{};
};

TEST_GROUP(control_traffic){};

/// Guards against control traffic that grows with the fleet.
TEST(control_traffic, cost_of_a_forwarder_does_not_grow_with_the_fleet)
{
    auto const small = measure(75, 3);
    auto const medium = measure(300, 4);
    auto const large = measure(540, 5);
    CHECK(medium.bytes <= small.bytes);
    CHECK(large.bytes <= 1.01 * medium.bytes);
    CHECK(large.messages <= 1.01 * medium.messages);
    CHECK(large.bytes <= 3000);
}

/// Guards against a data centre that seems silent although its forwarders run.
TEST(control_traffic, each_data_centre_is_heard_everywhere_in_time)
{
    for (auto const& [forwarders, data_centres] :
         std::map<std::size_t, std::size_t>{
             {24, 2}, {75, 3}, {91, 4}, {540, 5}})
    {
        sending_data_centre sending{forwarders, data_centres};
        auto const silence = sending.longest_silence(
            heartbeat_interval,
            [](peers& sender, instant now)
            {
                forwarder_effects out;
                std::vector<endpoint> receivers;
                sender.send_heartbeats_now({}, now, out);
                for (auto const& sent : effects_of_type<send_heartbeat>(out))
                {
                    receivers.push_back(sent.destination);
                }
                return receivers;
            });
        CHECK(silence <= 900ms);
    }
}

/// Guards against data centres whose load is unknown for some forwarders.
TEST(control_traffic, each_data_centre_is_reported_everywhere_in_time)
{
    for (auto const& [forwarders, data_centres] :
         std::map<std::size_t, std::size_t>{
             {24, 2}, {75, 3}, {91, 4}, {540, 5}})
    {
        sending_data_centre sending{forwarders, data_centres};
        auto const silence = sending.longest_silence(
            500ms,
            [](peers& sender, instant /*now*/)
            {
                auto const receivers = sender.next_load_report_receivers();
                return receivers.remote
                           ? std::vector<endpoint>{*receivers.remote}
                           : std::vector<endpoint>{};
            });
        CHECK(silence <= load_report_ttl);
    }
}

} // namespace
} // namespace dotterelrouter::testing
