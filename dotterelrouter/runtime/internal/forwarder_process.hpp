// One forwarder process: its reducer, and what carries out its effects.
// Include "dotterelrouter/runtime/runtime.hpp".
//
// `Platform` translates bytes and names of the platform; see
// platform_translation. Reads nothing but its ports and its settings.
#pragma once

#include "dotterelrouter/codec/codec.hpp"
#include "dotterelrouter/forwarder/forwarder.hpp"
#include "dotterelrouter/http/http.hpp"
#include "dotterelrouter/runtime/internal/event_loop.hpp"
#include "dotterelrouter/runtime/internal/http_port.hpp"
#include "dotterelrouter/runtime/internal/reducer_host.hpp"
#include "dotterelrouter/runtime/internal/reload_signal.hpp"
#include "dotterelrouter/runtime/internal/shutdown_signals.hpp"
#include "dotterelrouter/runtime/internal/timer.hpp"
#include "dotterelrouter/runtime/internal/udp_port.hpp"
#include "dotterelrouter/telemetry/telemetry.hpp"

#include <array>
#include <charconv>
#include <concepts>
#include <cstdint>
#include <exception>
#include <random>
#include <string>
#include <string_view>
#include <utility>

namespace dotterelrouter
{

/// What a platform's translation offers: settings with the endpoints of this
/// process, packets, and calls on the store. All functions are static.
template <class Platform>
concept platform_translation = requires(byte_view bytes,
                                        endpoint where,
                                        store_revision revision,
                                        std::string_view key,
                                        http_response const& answer)
{
    typename Platform::settings;
    typename Platform::buffer;
    {
        Platform::read_settings()
        } -> std::same_as<typename Platform::settings>;
    {
        Platform::decode_packet(bytes)
        } -> std::same_as<std::optional<caller_packet>>;
    {
        Platform::snapshot_request(where, key)
        } -> std::same_as<http_request>;
    {
        Platform::watch_request(where, revision)
        } -> std::same_as<http_request>;
    {
        Platform::read_snapshot_answer(answer)
        } -> std::same_as<forwarder_event>;
    {
        Platform::read_watch_answer(answer)
        } -> std::same_as<forwarder_event>;
};

/// Runs one forwarder until it has finished.
template <platform_translation Platform>
class forwarder_process
{
public:
    using settings_type = typename Platform::settings;

    /// Binds all endpoints; throws runtime_error if one can't be bound.
    explicit forwarder_process(settings_type settings)
        : settings_(std::move(settings)), log_(settings_.vm, standard_output),
          state_({.peers_at = settings_.peers,
                  .data_centre = settings_.data_centre,
                  .incarnation = random_number(),
                  .seeds = seeds_of(settings_)})
    {
        wake_.wake_at(clock_.now().steady);
        settings_check_.wake_at(clock_.now().steady + settings_check_interval);
    }

    /// Returns the exit code: 0 after a graceful shutdown.
    int run()
    {
        auto const code = loop_.run();
        log_.flush();
        return code;
    }

    // Called by the ports.

    void on_datagram(datagram const& received)
    {
        if (received.to == packets_.local())
        {
            on_packet(received.bytes);
            return;
        }
        if (auto message = decode_heartbeat(received.bytes))
        {
            deliver(heartbeat_received{received.from, std::move(*message)});
        }
    }

    void on_timer()
    {
        deliver(timer_fired{});
    }

    void on_shutdown_signal(shutdown_kind kind)
    {
        if (kind == shutdown_kind::at_once)
        {
            loop_.stop(1);
            return;
        }
        deliver(shutdown_requested{});
    }

    void on_reload_signal()
    {
        reload();
    }

    // Called by the host.

    void carry_out(forward_packet const& wanted)
    {
        packets_.send(wanted.to, Platform::encode_for_server(wanted, buffer_));
    }

    void carry_out(refuse_flow const& wanted)
    {
        // Callers take packets at the port at which forwarders take them.
        packets_.send({wanted.flow.caller.ip, settings_.packets.port},
                      Platform::encode_refusal(wanted.flow, buffer_));
    }

    void carry_out(read_snapshot const& wanted)
    {
        calls_.start(Platform::snapshot_request(settings_.store, wanted.after),
                     this,
                     &forwarder_process::on_snapshot_answer);
    }

    void carry_out(watch_changes const& wanted)
    {
        calls_.start(Platform::watch_request(settings_.store, wanted.after),
                     this,
                     &forwarder_process::on_watch_answer);
    }

    void carry_out(send_heartbeat const& wanted)
    {
        auto const bytes = encode_heartbeat(*wanted.message);
        heartbeats_.send(wanted.to,
                         std::as_bytes(std::span{bytes.data(), bytes.size()}));
    }

    void carry_out(ask_changes const& wanted);

    void carry_out(answer_changes const& wanted)
    {
        auto const bytes = encode_changes(wanted.update, wanted.age);
        control_.respond(
            http_exchange{wanted.exchange},
            {.content_type = "application/x-protobuf", .body = bytes});
    }

    void carry_out(set_readiness const& wanted)
    {
        ready_ = wanted.ready;
    }

    void carry_out(log_decision const& wanted)
    {
        auto const now = clock_.now();
        log_.record(wanted, now);
        if (!std::exchange(log_waits_, true))
        {
            log_flush_.wake_at(now.steady + log_delay);
        }
    }

    void carry_out(add_to_counter const& wanted)
    {
        metrics_.add(wanted.what, wanted.by);
    }

    void carry_out(observe_handshake const& wanted)
    {
        metrics_.observe_handshake(wanted.taken);
    }

    void carry_out(wake_at const& wanted)
    {
        wake_.wake_at(wanted.when);
    }

    void carry_out(finish const& /*wanted*/)
    {
        loop_.stop(0);
    }

private:
    static constexpr int standard_output = 1;
    static constexpr std::string_view changes_path = "/directory/changes";
    static constexpr std::string_view metrics_path = "/metrics";
    static constexpr std::string_view after_parameter = "after=";
    /// Settings may change without a signal.
    static constexpr duration settings_check_interval = std::chrono::seconds{2};
    /// Lines of the log are written together.
    static constexpr duration log_delay = std::chrono::milliseconds{50};
    /// A live forwarder answers within a few trips.
    static constexpr duration ask_timeout = std::chrono::milliseconds{400};

    static constexpr int ok = 200;
    static constexpr int bad_request = 400;
    static constexpr int not_found = 404;
    static constexpr int unavailable = 503;

    // One handler a port, since requests are numbered by port.

    struct readiness_pages
    {
        forwarder_process& owner;

        void on_http_request(http_port_request const& request)
        {
            auto const known = request.path == Platform::readiness_path;
            owner.readiness_.respond(
                request.exchange,
                {.status =
                     known ? (owner.ready_ ? ok : unavailable) : not_found});
        }
    };

    struct control_pages
    {
        forwarder_process& owner;

        void on_http_request(http_port_request const& request)
        {
            if (request.path == changes_path)
            {
                owner.on_changes_asked(request);
                return;
            }
            owner.control_.respond(request.exchange, {.status = not_found});
        }
    };

    struct metrics_pages
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
                                        {.status = not_found});
        }
    };

    struct settings_check_handler
    {
        forwarder_process& owner;

        void on_timer()
        {
            owner.reload();
            owner.settings_check_.wake_at(owner.clock_.now().steady +
                                          settings_check_interval);
        }
    };

    struct log_flush_handler
    {
        forwarder_process& owner;

        void on_timer()
        {
            owner.log_waits_ = false;
            owner.log_.flush();
        }
    };

    /// A question to another forwarder that awaits its answer.
    struct open_question
    {
        forwarder_process& owner;
        endpoint peer;
    };

    static std::uint64_t random_number()
    {
        std::random_device source;
        constexpr unsigned half = 32;
        return std::uint64_t{source()} << half | source();
    }

    static std::vector<endpoint> seeds_of(settings_type const& settings)
    {
        std::vector<endpoint> seeds;
        for (auto const seed : settings.seeds)
        {
            seeds.push_back({seed.ip, settings.peers.port});
        }
        return seeds;
    }

    void deliver(forwarder_event const& happened)
    {
        host_.deliver(happened);
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

    void on_changes_asked(http_port_request const& request)
    {
        std::uint64_t after = 0;
        auto const query = request.query;
        auto const from = std::min(after_parameter.size(), query.size());
        auto const read = std::from_chars(
            query.data() + from, query.data() + query.size(), after);
        if (!query.starts_with(after_parameter) || read.ec != std::errc{})
        {
            control_.respond(request.exchange, {.status = bad_request});
            return;
        }
        deliver(changes_asked{request.exchange.value, {after}});
    }

    static void on_snapshot_answer(void* self, http_response const& answer)
    {
        static_cast<forwarder_process*>(self)->on_store_answer(
            Platform::read_snapshot_answer(answer));
    }

    static void on_watch_answer(void* self, http_response const& answer)
    {
        static_cast<forwarder_process*>(self)->on_store_answer(
            Platform::read_watch_answer(answer));
    }

    void on_store_answer(forwarder_event const& happened)
    {
        loop_.guard(
            [&]
            {
                deliver(happened);
            });
    }

    static void on_question_answered(void* context,
                                     http_response const& answer);

    /// Reads the settings again and tells the reducer if they changed.
    void reload()
    {
        try
        {
            auto changed = Platform::read_settings();
            if (changed == settings_)
            {
                return;
            }
            // Endpoints of this process stay as they were bound.
            settings_ = std::move(changed);
            deliver(settings_reloaded{seeds_of(settings_)});
        }
        catch (std::exception const& error)
        {
            log_.record({.what = decision::settings_reloaded,
                         .subject = error.what(),
                         .reason = "can't be used, the old ones hold"},
                        clock_.now());
        }
    }

    std::string metrics_page() const
    {
        auto const gauges = state_.gauges(clock_.now());
        auto const sent = packets_.statistics();
        std::chrono::duration<double> const age =
            gauges.directory_age.value_or(duration::zero());
        return metrics_.text(
            {.version = gauges.version,
             .directory_age_seconds = age.count(),
             .flows = gauges.flows,
             .datagrams_dropped =
                 sent.dropped_full + sent.dropped_oversized + sent.send_errors,
             .log_lines_suppressed = log_.suppressed()});
    }

    settings_type settings_;
    system_clock_source clock_;
    event_loop loop_;
    decision_log log_;
    forwarder_metrics metrics_;
    bool ready_ = false;
    bool log_waits_ = false;
    typename Platform::buffer buffer_{};
    forwarder state_;
    reducer_host<forwarder,
                 forwarder_event,
                 forwarder_effect,
                 forwarder_process,
                 system_clock_source>
        host_{state_, *this, clock_};
    http_client calls_{loop_.base(), {}};
    udp_port<forwarder_process> packets_{loop_, settings_.packets, *this};
    udp_port<forwarder_process> heartbeats_{loop_, settings_.peers, *this};
    readiness_pages readiness_pages_{*this};
    http_port<readiness_pages> readiness_{
        loop_, settings_.readiness, readiness_pages_};
    control_pages control_pages_{*this};
    http_port<control_pages> control_{loop_, settings_.control, control_pages_};
    metrics_pages metrics_pages_{*this};
    http_port<metrics_pages> metrics_port_{
        loop_, settings_.metrics, metrics_pages_};
    timer<forwarder_process> wake_{loop_, *this};
    settings_check_handler settings_check_handler_{*this};
    timer<settings_check_handler> settings_check_{loop_,
                                                  settings_check_handler_};
    log_flush_handler log_flush_handler_{*this};
    timer<log_flush_handler> log_flush_{loop_, log_flush_handler_};
    shutdown_signals<forwarder_process> signals_{loop_, *this};
    reload_signal<forwarder_process> reload_signal_{loop_, *this};
};

template <platform_translation Platform>
void forwarder_process<Platform>::carry_out(ask_changes const& wanted)
{
    http_request request;
    request.to = {wanted.from.ip, settings_.control.port};
    request.path = std::string(changes_path) + "?" +
                   std::string(after_parameter) +
                   std::to_string(wanted.after.value);
    request.timeout = ask_timeout;
    calls_.start(request,
                 new open_question{*this, wanted.from},
                 &forwarder_process::on_question_answered);
}

template <platform_translation Platform>
void forwarder_process<Platform>::on_question_answered(
    void* context, http_response const& answer)
{
    std::unique_ptr<open_question> const asked{
        static_cast<open_question*>(context)};
    auto& self = asked->owner;
    auto changes = answer.result == http_result::answered && answer.status == ok
                       ? decode_changes(answer.body)
                       : std::nullopt;
    self.loop_.guard(
        [&]
        {
            if (changes)
            {
                self.deliver(peer_changes_received{
                    asked->peer, std::move(changes->update), changes->age});
                return;
            }
            self.deliver(peer_changes_failed{asked->peer});
        });
}

} // namespace dotterelrouter
