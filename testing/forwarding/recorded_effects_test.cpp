// A scripted run of one forwarder whose settings ask for nothing new. Its
// effects must stay those that were recorded before load sharing was added.
#include "dotterelrouter/forwarder/forwarder.hpp"
#include "testing/forwarding/records.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace dotterelrouter::testing
{
namespace
{

using namespace std::chrono_literals;

constexpr endpoint own_address{0x0a010001, 7720};
constexpr endpoint other_service_address{0xc6120002, 443};
constexpr std::uint32_t peer_count = 40;
constexpr std::uint32_t server_count = 12;
/// A server that never responds to a first packet.
constexpr std::uint64_t silent_server = 3;
constexpr duration step = 5ms;

std::string_view data_centre_of(std::uint32_t number)
{
    constexpr std::array<std::string_view, 3> names{"a", "b", "c"};
    return names[number % names.size()];
}

/// Adds what identifies an effect to a text.
class effect_printer
{
public:
    explicit effect_printer(std::ostringstream& out) : out_(out)
    {
    }

    void operator()(forward_packet const& effect)
    {
        out_ << "forward " << effect.destination.ip << ' '
             << effect.server_number << ' ' << effect.token.value;
    }

    void operator()(refuse_flow const& effect)
    {
        out_ << "refuse " << effect.flow.caller.port;
    }

    void operator()(send_heartbeat const& effect)
    {
        out_ << "heartbeat " << effect.destination.ip;
        for (auto const ip : effect.message->known_forwarder_ips)
        {
            out_ << ' ' << ip;
        }
    }

    void operator()(send_bindings const& effect)
    {
        out_ << "bindings " << effect.destination.ip << ' '
             << effect.message.bindings.size();
    }

    void operator()(set_timer const& effect)
    {
        out_ << "timer " << effect.deadline.time_since_epoch().count();
    }

    void operator()(log_decision const& effect)
    {
        out_ << "log " << effect.subject << ' ' << effect.reason << ' '
             << effect.load.value_or(0) << ' ' << effect.count.value_or(0);
    }

    void operator()(increment_forwarder_counter const& effect)
    {
        out_ << "count " << effect.by;
    }

    void operator()(request_changes const& effect)
    {
        out_ << "request " << effect.peer.ip;
    }

    template <class Other>
    void operator()(Other const& /*effect*/)
    {
        out_ << "other";
    }

private:
    std::ostringstream& out_;
};

/// Digest of a sequence of effects (FNV-1a over their text).
struct effect_digest
{
    std::uint64_t hash = 0xcbf29ce484222325U;
    std::size_t count = 0;

    void add(forwarder_effect const& effect)
    {
        std::ostringstream text;
        std::visit(effect_printer{text}, effect);
        for (auto const character : text.str())
        {
            hash ^= static_cast<unsigned char>(character);
            hash *= 0x100000001b3U;
        }
        ++count;
    }
};

/// Whether an effect is a message about bindings, the timer after an event,
/// which may wait for a response to one, the count of packets that waited for
/// responses in vain, or a probe of a forwarder that does not respond.
bool is_of_bindings(forwarder_effect const& effect)
{
    auto const* const counted =
        std::get_if<increment_forwarder_counter>(&effect);
    return std::holds_alternative<send_bindings>(effect) ||
           std::holds_alternative<probe_process>(effect) ||
           std::holds_alternative<set_timer>(effect) ||
           (counted != nullptr &&
            counted->id == forwarder_counter::packets_unconfirmed);
}

/// Digests of the effects of a run.
struct run_digests
{
    effect_digest all{};
    effect_digest apart_from_bindings{};

    void add(forwarder_effect const& effect)
    {
        all.add(effect);
        if (!is_of_bindings(effect))
        {
            apart_from_bindings.add(effect);
        }
    }
};

/// Plays the callers, servers, peers and store of one forwarder.
class scripted_run
{
public:
    explicit scripted_run(forwarder_settings settings)
        : state_(std::move(settings))
    {
    }

    run_digests play()
    {
        dispatch(timer_fired{});
        read_snapshot();
        for (; steps_ < 4000; ++steps_)
        {
            now_.steady += step;
            now_.wall += step;
            fire_due_timer();
            receive_heartbeats();
            change_servers();
            play_callers();
        }
        return digests_;
    }

private:
    void dispatch(forwarder_event const& next_event)
    {
        forwarder_effects out;
        state_.reduce(next_event, now_, out);
        for (auto const& effect : out)
        {
            digests_.add(effect);
            if (auto const* const timer = std::get_if<set_timer>(&effect))
            {
                timer_at_ = timer->deadline;
            }
            if (auto const* const sent = std::get_if<forward_packet>(&effect))
            {
                last_forwarded_ = *sent;
            }
        }
    }

    void fire_due_timer()
    {
        if (timer_at_ && *timer_at_ <= now_.steady)
        {
            timer_at_.reset();
            dispatch(timer_fired{});
        }
    }

    void read_snapshot()
    {
        snapshot_page_read page;
        page.update.through = {20};
        page.update.complete = true;
        auto table = *make_route_table(1, 1);
        table.routes.push_back(make_route_table(1, 1, "gallery")->routes[0]);
        table.routes.back().address = other_service_address;
        table.routes.back().urgency = 2;
        page.update.routes = std::make_shared<route_table const>(table);
        for (std::uint32_t number = 1; number <= server_count; ++number)
        {
            auto record = make_server_record(
                number, number, server_state::ready, data_centre_of(number));
            record.service = number % 4 == 0 ? "gallery" : "catalogue";
            record.cold_remaining = number == 5 ? 2s : 0s;
            page.update.servers.push_back(record);
        }
        dispatch(page);
    }

    /// Peers send a heartbeat every 250 ms. One third of them, those of one
    /// data centre, are silent for a while.
    void receive_heartbeats()
    {
        for (std::uint32_t peer = 0; peer < peer_count; ++peer)
        {
            auto const is_due = (steps_ + peer) % 50 == 0;
            auto const is_silent =
                peer % 3 == 2 && steps_ > 2000 && steps_ < 3000;
            if (is_due && !is_silent)
            {
                heartbeat message;
                message.incarnation = 100 + peer;
                message.data_centre = {id_from_name(data_centre_of(peer))};
                message.version = {{20}, 1};
                message.age = 10ms;
                message.uptime = 1h;
                dispatch(heartbeat_received{{own_address.ip + 1 + peer, 7720},
                                            message});
            }
        }
    }

    void change_servers()
    {
        if (steps_ != 1500)
        {
            return;
        }
        changes_read changes;
        changes.update.through = {30};
        changes.update.servers = {
            make_server_record(1, 30, server_state::draining, "b")};
        dispatch(changes);
    }

    /// Opens a flow every 20 ms, which has three requests and is then closed.
    void play_callers()
    {
        if (steps_ % 4 == 0)
        {
            auto const port = static_cast<std::uint16_t>(1000 + steps_);
            dispatch(make_packet_arrived(key_of(port), packet_type::open));
            if (last_forwarded_.server_number != silent_server)
            {
                tokens_[port] = last_forwarded_.token;
            }
        }
        for (auto const age : {2U, 6U, 20U, 30U, 40U, 50U})
        {
            play_caller(age);
        }
    }

    void play_caller(std::size_t age)
    {
        if (steps_ < age || (steps_ - age) % 4 != 0)
        {
            return;
        }
        auto const port = static_cast<std::uint16_t>(1000 + steps_ - age);
        auto const token = tokens_.find(port);
        if (token == tokens_.end())
        {
            return;
        }
        auto packet = make_packet_arrived(
            key_of(port),
            age == 50 ? packet_type::close : packet_type::data,
            token->second,
            static_cast<std::uint32_t>(100 + age));
        packet.packet.data_size = age == 2 || age == 50 ? 0 : 200;
        packet.packet.sequence = 8;
        dispatch(packet);
    }

    [[nodiscard]] static flow_key key_of(std::uint16_t port)
    {
        return make_flow_key(
            port, port % 12 == 0 ? other_service_address : lookup_address);
    }

    forwarder state_;
    instant now_{steady_time{1h}, wall_time{1h}};
    std::size_t steps_ = 0;
    std::optional<steady_time> timer_at_{};
    forward_packet last_forwarded_{};
    std::map<std::uint16_t, route_token> tokens_{};
    run_digests digests_{};
};

forwarder_settings earlier_settings()
{
    return {.heartbeat_endpoint = own_address,
            .data_centre = "a",
            .incarnation = 1,
            .seeds = {{own_address.ip + 1, 7720}},
            .is_first_start = true};
}

TEST_GROUP(recorded_effects){};

/// Guards against new features that change how deployments are served which
/// don't ask for them.
TEST(recorded_effects, run_without_new_settings_has_the_effects_of_before)
{
    auto const digests = scripted_run{earlier_settings()}.play();
    UNSIGNED_LONGS_EQUAL(23957, digests.apart_from_bindings.count);
    UNSIGNED_LONGLONGS_EQUAL(0x1effbd67295a7846U,
                             digests.apart_from_bindings.hash);
    UNSIGNED_LONGS_EQUAL(27868, digests.all.count);
    UNSIGNED_LONGLONGS_EQUAL(0x43f529d5d2578ae6U, digests.all.hash);
}

} // namespace
} // namespace dotterelrouter::testing
