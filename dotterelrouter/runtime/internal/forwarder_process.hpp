// A forwarder process: hosts the forwarder's reducer and executes its effects.
// Include "dotterelrouter/runtime/runtime.hpp".
//
// `Platform` encodes and decodes the platform's packets, store calls and
// settings; see platform_adapter. All input arrives through the ports, the
// timers, the signals, the responses to HTTP requests and the settings.
#pragma once

#include "dotterelrouter/codec/codec.hpp"
#include "dotterelrouter/forwarder/forwarder.hpp"
#include "dotterelrouter/http/http.hpp"
#include "dotterelrouter/runtime/internal/connection_prober.hpp"
#include "dotterelrouter/runtime/internal/event_loop.hpp"
#include "dotterelrouter/runtime/internal/http_port.hpp"
#include "dotterelrouter/runtime/internal/reducer_host.hpp"
#include "dotterelrouter/runtime/internal/reload_signal.hpp"
#include "dotterelrouter/runtime/internal/shutdown_signals.hpp"
#include "dotterelrouter/runtime/internal/timer.hpp"
#include "dotterelrouter/runtime/internal/udp_port.hpp"
#include "dotterelrouter/telemetry/telemetry.hpp"

#include <array>
#include <concepts>
#include <cstdint>
#include <exception>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>

namespace dotterelrouter
{

/// Translation between a platform's formats and the forwarder's types: settings
/// with the endpoints of this process, packets, and calls on the store. All
/// functions are static.
template <class Platform>
concept platform_adapter = requires(byte_view bytes,
                                    endpoint store_endpoint,
                                    store_revision after_revision,
                                    std::string_view after_key,
                                    http_response const& response)
{
    typename Platform::settings;
    typename Platform::buffer;
    {
        Platform::load_settings()
        } -> std::same_as<typename Platform::settings>;
    {
        Platform::decode_packet(bytes)
        } -> std::same_as<std::optional<caller_packet>>;
    {
        Platform::snapshot_request(store_endpoint, after_key)
        } -> std::same_as<http_request>;
    {
        Platform::watch_request(store_endpoint, after_revision)
        } -> std::same_as<http_request>;
    {
        Platform::parse_snapshot_response(response)
        } -> std::same_as<forwarder_event>;
    {
        Platform::parse_watch_response(response)
        } -> std::same_as<forwarder_event>;
};

/// A forwarder with its ports, timers and signals.
template <platform_adapter Platform>
class forwarder_process
{
public:
    using settings_type = typename Platform::settings;

    /// Binds all endpoints and schedules the first timer event.
    /// `load_sharing`, if set, takes precedence over that of the settings.
    /// Throws runtime_error if an endpoint can't be bound.
    explicit forwarder_process(
        settings_type settings,
        std::optional<load_sharing_settings> load_sharing = std::nullopt)
        : settings_(std::move(settings)),
          log_(settings_.vm_name, standard_output_descriptor),
          reducer_({.heartbeat_endpoint = settings_.heartbeat_endpoint,
                    .data_centre = settings_.data_centre_name,
                    .incarnation = random_incarnation(),
                    .seeds = seed_endpoints(settings_),
                    .flow_lifetime = settings_.flow_lifetime,
                    .max_discovery_time = settings_.max_discovery_time,
                    .sockets_opened_at = clock_.now().steady,
                    .is_first_start = settings_.is_first_start,
                    .cold_limits = settings_.cold_limits,
                    .expects_evacuations = settings_.expects_evacuations,
                    .load_sharing =
                        load_sharing ? load_sharing : settings_.load_sharing})
    {
        reducer_timer_.set_deadline(clock_.now().steady);
        schedule_settings_check();
    }

    /// Runs until the reducer ends the process or a second shutdown signal
    /// arrives. Returns the exit code: 0 after a graceful shutdown, else 1.
    int run()
    {
        auto const exit_code = loop_.run();
        log_.flush();
        return exit_code;
    }

    // Handlers called by the ports, the timer and the signals.

    void on_datagram(datagram const& received)
    {
        if (received.to == packet_port_.local_endpoint())
        {
            on_packet(received.bytes);
            return;
        }
        if (auto message = decode_bindings(received.bytes))
        {
            deliver(bindings_received{received.from, std::move(*message)});
            return;
        }
        if (auto message = decode_heartbeat(received.bytes))
        {
            deliver(heartbeat_received{received.from, std::move(*message)});
            return;
        }
        if (auto report = decode_load_report(received.bytes))
        {
            deliver(load_report_received{received.from, std::move(*report)});
        }
    }

    void on_timer()
    {
        deliver(timer_fired{});
    }

    void on_shutdown_signal(shutdown_kind kind)
    {
        if (kind == shutdown_kind::immediate)
        {
            loop_.stop(1);
            return;
        }
        deliver(shutdown_requested{});
    }

    void on_reload_signal()
    {
        reload_settings();
    }

    void on_connection_refused(endpoint peer, std::uint64_t incarnation)
    {
        deliver(process_ended{{peer.ip, settings_.heartbeat_endpoint.port},
                              incarnation});
    }

    // Execution of effects, called by the reducer host in their order.

    void execute(forward_packet const& requested_effect)
    {
        packet_port_.send(
            requested_effect.destination,
            Platform::encode_for_server(requested_effect, encode_buffer_));
    }

    void execute(refuse_flow const& requested_effect)
    {
        // Callers receive packets at the same port number as forwarders.
        packet_port_.send(
            {requested_effect.flow.caller.ip, settings_.packet_endpoint.port},
            Platform::encode_reset(requested_effect.flow, encode_buffer_));
    }

    void execute(read_snapshot const& requested_effect)
    {
        http_client_.start(
            Platform::snapshot_request(settings_.store_endpoint,
                                       requested_effect.after_key),
            this,
            &forwarder_process::on_snapshot_response);
    }

    void execute(watch_changes const& requested_effect)
    {
        http_client_.start(
            Platform::watch_request(settings_.store_endpoint,
                                    requested_effect.after_revision),
            this,
            &forwarder_process::on_watch_response);
    }

    void execute(send_heartbeat const& requested_effect)
    {
        auto const bytes = encode_heartbeat(*requested_effect.message);
        heartbeat_port_.send(
            requested_effect.destination,
            std::as_bytes(std::span{bytes.data(), bytes.size()}));
    }

    void execute(send_bindings const& requested_effect)
    {
        auto const bytes = encode_bindings(requested_effect.message);
        heartbeat_port_.send(
            requested_effect.destination,
            std::as_bytes(std::span{bytes.data(), bytes.size()}));
    }

    void execute(send_load_report const& requested_effect)
    {
        auto const bytes = encode_load_report(*requested_effect.report);
        heartbeat_port_.send(
            requested_effect.destination,
            std::as_bytes(std::span{bytes.data(), bytes.size()}));
    }

    void execute(request_changes const& requested_effect);

    void execute(probe_process const& requested_effect)
    {
        connection_prober_.start(
            {requested_effect.peer.ip, settings_.control_endpoint.port},
            requested_effect.incarnation);
    }

    void execute(send_changes const& requested_effect)
    {
        auto const bytes = encode_directory_update(requested_effect.update,
                                                   requested_effect.age);
        control_port_.respond(
            http_exchange{requested_effect.call_id},
            {.content_type = "application/x-protobuf", .body = bytes});
    }

    void execute(set_readiness const& requested_effect)
    {
        is_ready_ = requested_effect.ready;
    }

    void execute(log_decision const& requested_effect)
    {
        auto const now = clock_.now();
        log_.record(requested_effect, now);
        if (!std::exchange(is_log_flush_pending_, true))
        {
            log_flush_timer_.set_deadline(now.steady + log_flush_delay);
        }
    }

    void execute(increment_forwarder_counter const& requested_effect)
    {
        metrics_.add(requested_effect.id, requested_effect.by);
    }

    void execute(observe_handshake const& requested_effect)
    {
        metrics_.observe_handshake(requested_effect.latency);
    }

    void execute(set_timer const& requested_effect)
    {
        reducer_timer_.set_deadline(requested_effect.deadline);
    }

    void execute(exit_process const& /*requested_effect*/)
    {
        loop_.stop(0);
    }

private:
    static constexpr int standard_output_descriptor = 1;
    static constexpr std::string_view changes_path = "/directory/changes";
    static constexpr std::string_view metrics_path = "/metrics";
    /// Interval between checks for changed settings, which may change without a
    /// SIGHUP.
    static constexpr duration settings_check_interval = std::chrono::seconds{2};
    /// The same while this process is not ready, as it may wait for seeds.
    static constexpr duration unready_settings_check_interval =
        std::chrono::milliseconds{250};
    /// Delay from a log record to the flush of the log, so that several records
    /// are written together.
    static constexpr duration log_flush_delay = std::chrono::milliseconds{50};
    /// Timeout of a request for changes of the directory. A live forwarder
    /// responds within a few network round trips.
    static constexpr duration changes_request_timeout =
        std::chrono::milliseconds{400};

    static constexpr int status_ok = 200;
    static constexpr int status_bad_request = 400;
    static constexpr int status_not_found = 404;
    static constexpr int status_unavailable = 503;

    // Each HTTP port has a handler of its own, because the identifiers of
    // exchanges are unique only within a port.

    struct readiness_handler
    {
        forwarder_process& owner;

        void on_http_request(http_port_request const& request)
        {
            auto const is_readiness_path =
                request.path == Platform::readiness_path;
            owner.readiness_port_.respond(
                request.exchange,
                {.status =
                     is_readiness_path
                         ? (owner.is_ready_ ? status_ok : status_unavailable)
                         : status_not_found});
        }
    };

    struct control_handler
    {
        forwarder_process& owner;

        void on_http_request(http_port_request const& request)
        {
            if (request.path == changes_path)
            {
                owner.on_changes_request(request);
                return;
            }
            owner.control_port_.respond(request.exchange,
                                        {.status = status_not_found});
        }
    };

    struct metrics_handler
    {
        forwarder_process& owner;

        void on_http_request(http_port_request const& request)
        {
            if (request.path == metrics_path)
            {
                auto const page = owner.metrics_page();
                owner.metrics_port_.respond(request.exchange, {.body = page});
                return;
            }
            owner.metrics_port_.respond(request.exchange,
                                        {.status = status_not_found});
        }
    };

    struct settings_check_handler
    {
        forwarder_process& owner;

        void on_timer()
        {
            owner.reload_settings();
            owner.schedule_settings_check();
        }
    };

    struct log_flush_handler
    {
        forwarder_process& owner;

        void on_timer()
        {
            owner.is_log_flush_pending_ = false;
            owner.log_.flush();
        }
    };

    /// A request for changes that was sent to another forwarder and waits for
    /// its response. Allocated by `execute` and deleted by
    /// `on_changes_response`.
    struct pending_changes_request
    {
        forwarder_process& owner;
        endpoint peer;
    };

    static std::uint64_t random_incarnation()
    {
        std::random_device random_source;
        constexpr unsigned bits_per_draw = 32;
        return std::uint64_t{random_source()} << bits_per_draw |
               random_source();
    }

    /// Heartbeat endpoints of the seeds; all forwarders use the same port.
    static std::vector<endpoint> seed_endpoints(settings_type const& settings)
    {
        std::vector<endpoint> seeds;
        for (auto const seed : settings.seed_endpoints)
        {
            seeds.push_back({seed.ip, settings.heartbeat_endpoint.port});
        }
        return seeds;
    }

    void deliver(forwarder_event const& next_event)
    {
        host_.deliver(next_event);
    }

    void on_packet(byte_view bytes)
    {
        if (auto const packet = Platform::decode_packet(bytes))
        {
            deliver(packet_arrived{*packet});
            return;
        }
        deliver(malformed_packet_arrived{});
    }

    void on_changes_request(http_port_request const& request)
    {
        auto const query = decode_changes_query(request.query);
        if (!query)
        {
            control_port_.respond(request.exchange,
                                  {.status = status_bad_request});
            return;
        }
        deliver(changes_requested{
            request.exchange.value, query->after, query->with_removed_servers});
    }

    static void on_snapshot_response(void* self, http_response const& response)
    {
        static_cast<forwarder_process*>(self)->on_store_response(
            response, &Platform::parse_snapshot_response);
    }

    static void on_watch_response(void* self, http_response const& response)
    {
        static_cast<forwarder_process*>(self)->on_store_response(
            response, &Platform::parse_watch_response);
    }

    void on_store_response(http_response const& response,
                           forwarder_event (*parse)(http_response const&))
    {
        loop_.guard(
            [&]
            {
                deliver(parse(response));
            });
    }

    static void on_changes_response(void* context,
                                    http_response const& response);

    void schedule_settings_check()
    {
        settings_check_timer_.set_deadline(
            clock_.now().steady + (is_ready_
                                       ? settings_check_interval
                                       : unready_settings_check_interval));
    }

    /// Reads the settings again and notifies the reducer if they have changed.
    /// Keeps the previous settings and writes a log record if they can't be
    /// read.
    void reload_settings()
    {
        try
        {
            auto reloaded = Platform::load_settings();
            if (reloaded == settings_)
            {
                return;
            }
            // The sockets stay bound to the endpoints of the first settings.
            settings_ = std::move(reloaded);
            deliver(settings_reloaded{seed_endpoints(settings_)});
        }
        catch (std::exception const& error)
        {
            log_.record({.type = decision::settings_reloaded,
                         .subject = error.what(),
                         .reason = "new settings can't be used; the previous "
                                   "ones stay in force"},
                        clock_.now());
        }
    }

    std::string metrics_page() const
    {
        auto const gauges = reducer_.gauges(clock_.now());
        auto const statistics = packet_port_.statistics();
        std::chrono::duration<double> const directory_age =
            gauges.directory_age.value_or(duration::zero());
        return metrics_.text(
            {.routes_version = gauges.routes_version,
             .directory_revision = gauges.revision,
             .directory_age_seconds = directory_age.count(),
             .tracked_flows = gauges.tracked_flows,
             .bindings = gauges.bindings,
             .evacuated_data_centres = gauges.evacuated_data_centres,
             .flows_at_evacuated = gauges.flows_at_evacuated,
             .load_reporters = gauges.load_reporters,
             .spillover_share = gauges.spillover_share,
             .datagrams_dropped = statistics.dropped_full +
                                  statistics.dropped_oversized +
                                  statistics.send_errors,
             .log_lines_suppressed = log_.suppressed_records()});
    }

    settings_type settings_;
    system_clock_source clock_;
    event_loop loop_;
    decision_log log_;
    forwarder_metrics metrics_;
    bool is_ready_ = false;
    bool is_log_flush_pending_ = false;
    typename Platform::buffer encode_buffer_{};
    forwarder reducer_;
    reducer_host<forwarder,
                 forwarder_event,
                 forwarder_effect,
                 forwarder_process,
                 system_clock_source>
        host_{reducer_, *this, clock_};
    http_client http_client_{loop_.base(), {}};
    connection_prober<forwarder_process> connection_prober_{loop_, *this};
    udp_port<forwarder_process> packet_port_{
        loop_, settings_.packet_endpoint, *this};
    udp_port<forwarder_process> heartbeat_port_{
        loop_, settings_.heartbeat_endpoint, *this};
    readiness_handler readiness_handler_{*this};
    http_port<readiness_handler> readiness_port_{
        loop_, settings_.readiness_endpoint, readiness_handler_};
    control_handler control_handler_{*this};
    http_port<control_handler> control_port_{
        loop_, settings_.control_endpoint, control_handler_};
    metrics_handler metrics_handler_{*this};
    http_port<metrics_handler> metrics_port_{
        loop_, settings_.metrics_endpoint, metrics_handler_};
    timer<forwarder_process> reducer_timer_{loop_, *this};
    settings_check_handler settings_check_handler_{*this};
    timer<settings_check_handler> settings_check_timer_{
        loop_, settings_check_handler_};
    log_flush_handler log_flush_handler_{*this};
    timer<log_flush_handler> log_flush_timer_{loop_, log_flush_handler_};
    shutdown_signals<forwarder_process> shutdown_signals_{loop_, *this};
    reload_signal<forwarder_process> reload_signal_{loop_, *this};
};

template <platform_adapter Platform>
void forwarder_process<Platform>::execute(
    request_changes const& requested_effect)
{
    http_request request;
    request.destination = {requested_effect.peer.ip,
                           settings_.control_endpoint.port};
    request.path =
        std::string(changes_path) + "?" +
        encode_changes_query(
            {requested_effect.after, requested_effect.with_removed_servers});
    request.timeout = changes_request_timeout;
    http_client_.start(
        request,
        new pending_changes_request{*this, requested_effect.peer},
        &forwarder_process::on_changes_response);
}

template <platform_adapter Platform>
void forwarder_process<Platform>::on_changes_response(
    void* context, http_response const& response)
{
    std::unique_ptr<pending_changes_request> const pending{
        static_cast<pending_changes_request*>(context)};
    auto& self = pending->owner;
    auto changes =
        response.result == http_result::answered && response.status == status_ok
            ? decode_directory_update(response.body)
            : std::nullopt;
    self.loop_.guard(
        [&]
        {
            if (changes)
            {
                self.deliver(peer_changes_received{
                    pending->peer, std::move(changes->update), changes->age});
                return;
            }
            self.deliver(peer_changes_failed{pending->peer});
        });
}

} // namespace dotterelrouter
