// A balancer process: hosts the balancer's reducer and executes its effects.
// Internal to the runtime library: use run_balancer of
// "dotterelrouter/runtime/runtime.hpp".
//
// `Reducer` is the balancer, `Platform<Sink>` the client of the platform, and
// `Format` the codec of data packets. All input arrives through the ports, the
// timers, the signals and the platform client.
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
    /// Binds all endpoints and schedules the first timer event. Throws
    /// runtime_error if an endpoint can't be bound. The reducer and the clock
    /// must outlive the process.
    balancer_process(balancer_process_settings const& settings,
                     member_id self,
                     Reducer& hosted_reducer,
                     Clock& clock)
        : settings_(settings), self_(self), reducer_(hosted_reducer),
          clock_(clock)
    {
        start_timer_.set_deadline(clock_.now().steady);
    }

    /// Runs until the reducer ends the process or a second shutdown signal
    /// arrives; returns the exit code.
    int run()
    {
        return loop_.run();
    }

    /// Endpoint that receives messages from other balancers.
    [[nodiscard]] endpoint control_endpoint() const
    {
        return peer_port_.local_endpoint();
    }

    /// Endpoint that receives packets.
    [[nodiscard]] endpoint data_endpoint() const
    {
        return data_port_.local_endpoint();
    }

    /// Endpoint that serves the admin pages.
    [[nodiscard]] endpoint admin_endpoint() const
    {
        return admin_port_.local_endpoint();
    }

    // Handlers called by the timer, the ports and the signals.

    void on_timer()
    {
        deliver(event{timer_fired{}});
    }

    void on_datagram(datagram const& received)
    {
        auto const decoded = format_.decode(received.bytes);
        if (!decoded)
        {
            metrics_.add(counter::packets_malformed, 1);
            return;
        }
        std::visit(
            [this, &received](auto const& packet)
            {
                this->on_packet(packet, received.from);
            },
            *decoded);
    }

    void on_peer_bytes(byte_view message)
    {
        auto envelope = peer_codec_.decode(message);
        if (!envelope)
        {
            ++malformed_messages_;
            return;
        }
        deliver(event{peer_message_received{envelope->sender,
                                            std::move(envelope->message)}});
    }

    void on_shutdown_signal(shutdown_kind kind)
    {
        if (kind == shutdown_kind::immediate)
        {
            loop_.stop(immediate_exit_code);
            return;
        }
        deliver(event{shutdown_requested{}});
    }

    void on_http_request(http_port_request const& request)
    {
        if (request.method != http_port_method::get)
        {
            respond(request, {.status = 405, .body = "only GET\n"});
        }
        else if (request.path == "/metrics")
        {
            auto const page = metrics_page();
            respond(request,
                    {.content_type = metrics_content_type, .body = page});
        }
        else if (request.path == "/status")
        {
            auto const page = render_status_page(settings_,
                                                 reducer_.status(clock_.now()),
                                                 configuration_in_force());
            respond(request, {.content_type = json_content_type, .body = page});
        }
        else if (request.path == "/timeline")
        {
            auto const page = timeline_.to_json();
            respond(request, {.content_type = json_content_type, .body = page});
        }
        else if (request.path == "/healthz")
        {
            respond_health(request);
        }
        else
        {
            respond(request, {.status = 404, .body = "no such page\n"});
        }
    }

    /// Delivers an event to the reducer. Measures the processing time of one in
    /// `event_sampling_interval` events. Also called for events of the platform
    /// client.
    void deliver(event const& next_event)
    {
        if (++event_count_ % event_sampling_interval != 0)
        {
            host_.deliver(next_event);
            return;
        }
        auto const start = std::chrono::steady_clock::now();
        host_.deliver(next_event);
        metrics_.observe_event(std::chrono::steady_clock::now() - start);
    }

    // Execution of effects, called by the reducer host in their order.

    void execute(send_request const& requested_effect)
    {
        send(requested_effect.destination,
             format_.encode(requested_effect.packet));
    }

    void execute(forward_request const& requested_effect)
    {
        send(requested_effect.destination,
             format_.encode(requested_effect.packet));
    }

    void execute(send_response const& requested_effect)
    {
        send(requested_effect.packet.key.flow.caller,
             format_.encode(requested_effect.packet));
    }

    void execute(send_refusal const& requested_effect)
    {
        send(requested_effect.packet.key.flow.caller,
             format_.encode(requested_effect.packet));
    }

    void execute(send_peer_message const& requested_effect)
    {
        auto const bytes = peer_codec_.encode(self_, requested_effect.message);
        if (bytes.empty())
        {
            ++unencodable_messages_;
            return;
        }
        peer_port_.send(requested_effect.destination.control, bytes);
    }

    void execute(set_timer const& requested_effect)
    {
        reducer_timer_.set_deadline(requested_effect.deadline);
    }

    void execute(record_timeline_event const& requested_effect)
    {
        auto const now = clock_.now();
        timeline_.add(now.wall, requested_effect);
        log_.record(log_level_for(requested_effect.type),
                    now,
                    name_of(requested_effect.type),
                    {requested_effect.subject,
                     requested_effect.cause,
                     requested_effect.detail});
    }

    void execute(increment_counter const& requested_effect)
    {
        metrics_.add(requested_effect.id, requested_effect.by);
    }

    /// Ends the process after `exit_delay`, so that the last messages to peers
    /// can still be sent.
    void execute(exit_process const& /*requested_effect*/)
    {
        data_port_.flush();
        exit_timer_.set_deadline(clock_.now().steady + exit_delay);
    }

    /// Passes all other effects to the platform client.
    template <class Effect>
    void execute(Effect const& requested_effect)
    {
        platform_.execute(requested_effect);
    }

private:
    /// Stops the loop when `exit_timer_` fires. A type of its own, because
    /// `on_timer` of the process delivers timer_fired.
    struct exit_handler
    {
        event_loop& loop;

        void on_timer() const
        {
            loop.stop(0);
        }
    };

    /// Sink of the platform client's events. A type of its own, because the
    /// client's concept needs a type that is complete where `platform_` is
    /// declared, and `balancer_process` is not. Stores exceptions in the loop,
    /// because libevent calls it.
    struct platform_event_sink
    {
        balancer_process& process;

        void deliver(event const& next_event)
        {
            process.loop_.guard(
                [this, &next_event]
                {
                    process.deliver(next_event);
                });
        }
    };

    static constexpr int immediate_exit_code = 1;
    static constexpr std::uint64_t event_sampling_interval = 16;
    static constexpr auto exit_delay = std::chrono::milliseconds{100};
    static constexpr std::string_view json_content_type = "application/json";
    static constexpr std::string_view metrics_content_type =
        "text/plain; version=0.0.4; charset=utf-8";

    void on_packet(request_packet const& packet, endpoint /*sender*/)
    {
        deliver(event{request_received{packet}});
    }

    void on_packet(response_packet const& packet, endpoint sender)
    {
        deliver(event{response_received{sender, packet}});
    }

    /// Only balancers send refusals, and only to callers, so one that arrives
    /// here counts as malformed.
    void on_packet(refusal_packet const& /*packet*/, endpoint /*sender*/)
    {
        metrics_.add(counter::packets_malformed, 1);
    }

    /// Sends an encoded packet. Empty bytes mean that it can't be encoded.
    void send(endpoint to, byte_view bytes)
    {
        if (bytes.empty())
        {
            ++unencodable_packets_;
            return;
        }
        data_port_.send(to, bytes);
    }

    void respond(http_port_request const& request,
                 http_port_response const& response)
    {
        admin_port_.respond(request.exchange, response);
    }

    void respond_health(http_port_request const& request)
    {
        if (reducer_.status(clock_.now()).draining)
        {
            respond(request, {.status = 503, .body = "leaving\n"});
            return;
        }
        respond(request, {.body = "ok\n"});
    }

    [[nodiscard]] configuration const* configuration_in_force() const
    {
        return reducer_.in_force().get();
    }

    std::string metrics_page()
    {
        auto const status = reducer_.status(clock_.now());
        metrics_.set_gauges(
            gauge_values{.configuration_epoch = status.epoch.value,
                         .members = status.members,
                         .owned_slots = status.owned_slots,
                         .held_leases = status.held_leases,
                         .open_flows = status.flows,
                         .open_requests = status.requests});
        metrics_.set_transport_totals(transport_statistics());
        return metrics_.text();
    }

    [[nodiscard]] transport_totals transport_statistics() const
    {
        auto const data_statistics = data_port_.statistics();
        auto const peer_statistics = peer_port_.statistics();
        transport_totals totals;
        totals.datagrams_received = data_statistics.received;
        totals.datagrams_sent = data_statistics.sent;
        totals.datagrams_dropped =
            data_statistics.dropped_full + data_statistics.dropped_oversized +
            data_statistics.send_errors + unencodable_packets_;
        totals.control_messages_received = peer_statistics.received;
        totals.control_received_bytes = peer_statistics.received_bytes;
        totals.control_messages_sent = peer_statistics.sent;
        totals.control_sent_bytes = peer_statistics.sent_bytes;
        totals.control_messages_dropped =
            peer_statistics.dropped_full + peer_statistics.dropped_malformed +
            malformed_messages_ + unencodable_messages_;
        totals.log_lines_suppressed = log_.suppressed_records();
        return totals;
    }

    [[nodiscard]] static log_level log_level_for(timeline_event type)
    {
        switch (type)
        {
        case timeline_event::invariant_broken:
            return log_level::error;
        case timeline_event::configuration_refused:
        case timeline_event::flow_broken:
        case timeline_event::clock_stepped:
        case timeline_event::platform_lost:
        case timeline_event::slot_lost:
            return log_level::warn;
        case timeline_event::request_refused:
        case timeline_event::request_retried:
            return log_level::debug;
        default:
            return log_level::info;
        }
    }

    [[nodiscard]] static platform_settings
    make_platform_settings(balancer_process_settings const& settings)
    {
        platform_settings client_settings;
        client_settings.platform_endpoint = settings.platform_endpoint;
        client_settings.local_ip = settings.control_endpoint.ip;
        client_settings.control_port = settings.control_endpoint.port;
        client_settings.data_port = settings.data_endpoint.port;
        return client_settings;
    }

    using process_type = balancer_process;

    balancer_process_settings settings_;
    member_id self_;
    Reducer& reducer_;
    Clock& clock_;
    reducer_host<Reducer, event, effect, process_type, Clock> host_{
        reducer_, *this, clock_};
    Format format_;
    peer_codec peer_codec_;
    log_output log_output_{parse_log_level(settings_.log_level)};
    logger log_{log_output_, to_string(settings_.control_endpoint)};
    balancer_metrics metrics_;
    timeline timeline_{to_string(settings_.control_endpoint),
                       settings_.timeline_capacity};
    std::uint64_t event_count_ = 0;
    std::uint64_t unencodable_packets_ = 0;
    std::uint64_t unencodable_messages_ = 0;
    std::uint64_t malformed_messages_ = 0;

    event_loop loop_;
    shutdown_signals<process_type> shutdown_signals_{loop_, *this};
    timer<process_type> reducer_timer_{loop_, *this};
    timer<process_type> start_timer_{loop_, *this};
    exit_handler exit_handler_{loop_};
    timer<exit_handler> exit_timer_{loop_, exit_handler_};
    udp_port<process_type> data_port_{loop_, settings_.data_endpoint, *this};
    peer_port<process_type> peer_port_{
        loop_, settings_.control_endpoint, *this};
    http_port<process_type> admin_port_{loop_, settings_.admin_endpoint, *this};
    platform_event_sink platform_sink_{*this};
    Platform<platform_event_sink> platform_{
        make_platform_settings(settings_), loop_.base(), platform_sink_};
};

} // namespace dotterelrouter::internal
