// One balancer process: its reducer, and what carries out its effects. Not
// for callers: use run_balancer of "dotterelrouter/runtime/runtime.hpp".
//
// `Reducer` is the balancer; `Platform<Sink>` makes the calls on the
// platform; `Format` encodes data packets. Reads nothing but its ports.
#pragma once

#include "dotterelrouter/codec/codec.hpp"
#include "dotterelrouter/core/core.hpp"
#include "dotterelrouter/runtime/internal/balancer_process_settings.hpp"
#include "dotterelrouter/runtime/internal/event_loop.hpp"
#include "dotterelrouter/runtime/internal/http_port.hpp"
#include "dotterelrouter/runtime/internal/peer_port.hpp"
#include "dotterelrouter/runtime/internal/reducer_host.hpp"
#include "dotterelrouter/runtime/internal/shutdown_signals.hpp"
#include "dotterelrouter/runtime/internal/status_page.hpp"
#include "dotterelrouter/runtime/internal/timer.hpp"
#include "dotterelrouter/runtime/internal/udp_port.hpp"
#include "dotterelrouter/store_client/store_client.hpp"
#include "dotterelrouter/telemetry/telemetry.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace dotterelrouter::internal
{

template <class Reducer,
          template <class>
          class Platform,
          clock_source Clock,
          packet_format Format>
class balancer_process
{
public:
    /// Binds all endpoints; throws runtime_error if one can't be bound. The
    /// reducer and the clock must outlive the process.
    balancer_process(balancer_process_settings const& settings,
                     member_id self,
                     Reducer& state,
                     Clock& clock)
        : settings_(settings), self_(self), state_(state), clock_(clock)
    {
        start_.wake_at(clock_.now().steady);
    }

    /// Runs until the reducer has finished; returns the exit code.
    int run()
    {
        return loop_.run();
    }

    /// Where the process takes messages of other balancers.
    [[nodiscard]] endpoint control() const
    {
        return peers_.local();
    }

    /// Where it takes packets.
    [[nodiscard]] endpoint data() const
    {
        return data_.local();
    }

    /// Where it serves its admin pages.
    [[nodiscard]] endpoint admin() const
    {
        return admin_.local();
    }

    // Called by the ports.

    void on_timer()
    {
        deliver(event{timer_fired{}});
    }

    void on_datagram(datagram const& received)
    {
        auto const packet = format_.decode(received.bytes);
        if (!packet)
        {
            metrics_.add(counter::packets_malformed, 1);
            return;
        }
        std::visit(
            [this, &received](auto const& one)
            {
                this->take(one, received.from);
            },
            *packet);
    }

    void on_peer_bytes(byte_view message)
    {
        auto envelope = peer_codec_.decode(message);
        if (!envelope)
        {
            ++malformed_messages_;
            return;
        }
        deliver(event{peer_message_received{envelope->from,
                                            std::move(envelope->message)}});
    }

    void on_shutdown_signal(shutdown_kind kind)
    {
        if (kind == shutdown_kind::at_once)
        {
            loop_.stop(exit_at_once);
            return;
        }
        deliver(event{shutdown_requested{}});
    }

    void on_http_request(http_port_request const& request)
    {
        if (request.method != http_port_method::get)
        {
            answer(request, {.status = 405, .body = "only GET\n"});
        }
        else if (request.path == "/metrics")
        {
            auto const page = metrics_page();
            answer(request, {.content_type = metrics_type, .body = page});
        }
        else if (request.path == "/status")
        {
            auto const page =
                status_page(settings_, state_.status(clock_.now()), in_force());
            answer(request, {.content_type = json_type, .body = page});
        }
        else if (request.path == "/timeline")
        {
            auto const page = timeline_.to_json();
            answer(request, {.content_type = json_type, .body = page});
        }
        else if (request.path == "/healthz")
        {
            answer_health(request);
        }
        else
        {
            answer(request, {.status = 404, .body = "no such page\n"});
        }
    }

    /// Called by the platform client.
    void deliver(event const& happened)
    {
        if (++events_ % sampled_event != 0)
        {
            host_.deliver(happened);
            return;
        }
        auto const start = std::chrono::steady_clock::now();
        host_.deliver(happened);
        metrics_.observe_event(std::chrono::steady_clock::now() - start);
    }

    // Called by the host, in the order of the effects.

    void carry_out(send_request const& wanted)
    {
        send(wanted.to, format_.encode(wanted.packet));
    }

    void carry_out(pass_request const& wanted)
    {
        send(wanted.to, format_.encode(wanted.packet));
    }

    void carry_out(send_answer const& wanted)
    {
        send(wanted.packet.key.flow.caller, format_.encode(wanted.packet));
    }

    void carry_out(send_refusal const& wanted)
    {
        send(wanted.packet.key.flow.caller, format_.encode(wanted.packet));
    }

    void carry_out(send_peer_message const& wanted)
    {
        auto const bytes = peer_codec_.encode(self_, wanted.message);
        if (bytes.empty())
        {
            ++unsendable_messages_;
            return;
        }
        peers_.send(wanted.to.control, bytes);
    }

    void carry_out(wake_at const& wanted)
    {
        alarm_.wake_at(wanted.when);
    }

    void carry_out(record_step const& wanted)
    {
        auto const now = clock_.now();
        timeline_.add(now.wall, wanted);
        log_.record(level_of(wanted.what),
                    now,
                    name_of(wanted.what),
                    {wanted.subject, wanted.cause, wanted.detail});
    }

    void carry_out(count const& wanted)
    {
        metrics_.add(wanted.what, wanted.by);
    }

    /// Leaves the last messages to peers some time to go out.
    void carry_out(finish const& /*wanted*/)
    {
        data_.flush();
        ending_.wake_at(clock_.now().steady + farewell);
    }

    /// All others concern the platform.
    template <class Effect>
    void carry_out(Effect const& wanted)
    {
        platform_.carry_out(wanted);
    }

private:
    /// Calls `on_timer` of its own, for the end of the process.
    struct ending_handler
    {
        event_loop& loop;

        void on_timer() const
        {
            loop.stop(0);
        }
    };

    /// Complete where `platform_` is declared, as its concept needs.
    struct platform_receiver
    {
        balancer_process& process;

        void deliver(event const& happened)
        {
            process.loop_.guard(
                [this, &happened]
                {
                    process.deliver(happened);
                });
        }
    };

    static constexpr int exit_at_once = 1;
    static constexpr std::uint64_t sampled_event = 16;
    static constexpr auto farewell = std::chrono::milliseconds{100};
    static constexpr std::string_view json_type = "application/json";
    static constexpr std::string_view metrics_type =
        "text/plain; version=0.0.4; charset=utf-8";

    void take(request_packet const& packet, endpoint /*from*/)
    {
        deliver(event{request_received{packet}});
    }

    void take(answer_packet const& packet, endpoint from)
    {
        deliver(event{answer_received{from, packet}});
    }

    /// Refusals go from balancers to callers only.
    void take(refusal_packet const& /*packet*/, endpoint /*from*/)
    {
        metrics_.add(counter::packets_malformed, 1);
    }

    void send(endpoint to, byte_view bytes)
    {
        if (bytes.empty())
        {
            ++unsendable_packets_;
            return;
        }
        data_.send(to, bytes);
    }

    void answer(http_port_request const& request,
                http_port_response const& response)
    {
        admin_.respond(request.exchange, response);
    }

    void answer_health(http_port_request const& request)
    {
        if (state_.status(clock_.now()).leaving)
        {
            answer(request, {.status = 503, .body = "leaving\n"});
            return;
        }
        answer(request, {.body = "ok\n"});
    }

    [[nodiscard]] configuration const* in_force() const
    {
        return state_.in_force().get();
    }

    std::string metrics_page()
    {
        auto const status = state_.status(clock_.now());
        metrics_.set(gauge_values{.epoch = status.epoch.value,
                                  .members = status.members,
                                  .owned_slots = status.owned_slots,
                                  .held_rights = status.held_rights,
                                  .open_flows = status.flows,
                                  .open_requests = status.requests});
        metrics_.set(totals());
        return metrics_.text();
    }

    [[nodiscard]] transport_totals totals() const
    {
        auto const data = data_.statistics();
        auto const peers = peers_.statistics();
        transport_totals result;
        result.datagrams_received = data.received;
        result.datagrams_sent = data.sent;
        result.datagrams_dropped = data.dropped_full + data.dropped_oversized +
                                   data.send_errors + unsendable_packets_;
        result.control_received = peers.received;
        result.control_received_bytes = peers.received_bytes;
        result.control_sent = peers.sent;
        result.control_sent_bytes = peers.sent_bytes;
        result.control_dropped = peers.dropped_full + peers.dropped_malformed +
                                 malformed_messages_ + unsendable_messages_;
        result.log_lines_suppressed = log_.suppressed();
        return result;
    }

    [[nodiscard]] static log_level level_of(step what)
    {
        switch (what)
        {
        case step::invariant_broken:
            return log_level::error;
        case step::configuration_refused:
        case step::flow_broken:
        case step::clock_stepped:
        case step::platform_lost:
        case step::slot_lost:
            return log_level::warn;
        case step::request_refused:
        case step::request_retried:
            return log_level::debug;
        default:
            return log_level::info;
        }
    }

    [[nodiscard]] static platform_settings
    platform_settings_of(balancer_process_settings const& settings)
    {
        platform_settings result;
        result.service = settings.platform;
        result.local_ip = settings.control.ip;
        result.control_port = settings.control.port;
        result.data_port = settings.data.port;
        return result;
    }

    using process = balancer_process;

    balancer_process_settings settings_;
    member_id self_;
    Reducer& state_;
    Clock& clock_;
    reducer_host<Reducer, event, effect, process, Clock> host_{
        state_, *this, clock_};
    Format format_;
    peer_codec peer_codec_;
    log_output output_{log_level_of(settings_.log_level)};
    logger log_{output_, to_string(settings_.control)};
    metrics metrics_;
    timeline timeline_{to_string(settings_.control),
                       settings_.timeline_records};
    std::uint64_t events_ = 0;
    std::uint64_t unsendable_packets_ = 0;
    std::uint64_t unsendable_messages_ = 0;
    std::uint64_t malformed_messages_ = 0;

    event_loop loop_;
    shutdown_signals<process> signals_{loop_, *this};
    timer<process> alarm_{loop_, *this};
    timer<process> start_{loop_, *this};
    ending_handler end_{loop_};
    timer<ending_handler> ending_{loop_, end_};
    udp_port<process> data_{loop_, settings_.data, *this};
    peer_port<process> peers_{loop_, settings_.control, *this};
    http_port<process> admin_{loop_, settings_.admin, *this};
    platform_receiver receiver_{*this};
    Platform<platform_receiver> platform_{
        platform_settings_of(settings_), loop_.base(), receiver_};
};

} // namespace dotterelrouter::internal
