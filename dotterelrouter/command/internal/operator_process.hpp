// Runs the reducer of an operator command on an event loop.
//
//     operator_process<apply_command, apply_event, apply_effect> process(
//         state, settings);
//     return process.run();
#pragma once

#include "dotterelrouter/codec/codec.hpp"
#include "dotterelrouter/command/internal/fleet_view.hpp"
#include "dotterelrouter/runtime/runtime.hpp"
#include "dotterelrouter/store_client/store_client.hpp"

#include <iostream>
#include <list>

namespace dotterelrouter
{

/// Settings shared by the operator commands.
struct operator_settings
{
    platform_settings platform;
    std::uint16_t admin_port = 0; ///< Admin port of every balancer.
    bool json = false;            ///< Prints reports as JSON.
};

/// Runs one operator command until it exits: delivers events to the reducer and
/// executes its effects. `Reducer` is apply_command or fleet_view; an event
/// that is not an alternative of `Event` is ignored. Used by one thread only.
template <class Reducer, class Event, class Effect>
class operator_process
{
public:
    /// `state` must outlive this object.
    operator_process(Reducer& state, operator_settings settings)
        : settings_(settings), reducer_host_(state, *this, clock_)
    {
    }

    /// Runs the event loop until the effect exit_command; returns its code.
    /// Throws what an event handler threw.
    int run()
    {
        start_timer_.set_deadline(clock_.now().steady);
        return loop_.run();
    }

    /// Called by the start timer once the event loop runs.
    void on_timer()
    {
        reducer_host_.deliver(command_started{});
    }

    /// Delivers an event of the platform client.
    void deliver(event const& next_event)
    {
        std::visit(
            [&](auto const& concrete_event)
            {
                if constexpr (std::is_constructible_v<Event,
                                                      decltype(concrete_event)>)
                {
                    deliver_guarded(concrete_event);
                }
            },
            next_event);
    }

    void execute(read_manifest const& requested_effect)
    {
        platform_client_.execute(requested_effect);
    }

    void execute(read_chunk const& requested_effect)
    {
        platform_client_.execute(requested_effect);
    }

    void execute(read_vm_list const& requested_effect)
    {
        platform_client_.execute(requested_effect);
    }

    void execute(write_chunk const& requested_effect)
    {
        auto const bytes = encode_value(*requested_effect.chunk);
        start_write(create_request(chunk_key(requested_effect.chunk->hash),
                                   bytes,
                                   settings_.platform.call_timeout),
                    &on_compare_and_swap_ended<chunk_write_completed>);
    }

    void execute(propose_manifest const& requested_effect)
    {
        auto const bytes = encode_value(*requested_effect.manifest);
        start_write(compare_and_swap_request(manifest_key,
                                             requested_effect.expected_revision,
                                             bytes,
                                             settings_.platform.call_timeout),
                    &on_compare_and_swap_ended<manifest_proposal_completed>);
    }

    void execute(read_status const& requested_effect)
    {
        query_balancer(requested_effect.vm_ip, "/status", &on_status_response);
    }

    void execute(read_timeline const& requested_effect)
    {
        query_balancer(
            requested_effect.vm_ip, "/timeline", &on_timeline_response);
    }

    void execute(print_report const& requested_effect)
    {
        std::cout << (settings_.json ? to_json(requested_effect.report)
                                     : to_text(requested_effect.report));
    }

    void execute(print_text const& requested_effect)
    {
        (requested_effect.is_error ? std::cerr : std::cout)
            << requested_effect.text;
    }

    void execute(exit_command const& requested_effect)
    {
        loop_.stop(requested_effect.code);
    }

private:
    /// Forwards the events of the platform client to this process. A separate
    /// type, as platform_client requires a complete type, and operator_process
    /// is incomplete where its members are declared.
    struct event_sink
    {
        operator_process* process;

        void deliver(event const& next_event) const
        {
            process->deliver(next_event);
        }
    };

    /// Context of a query of one balancer.
    struct balancer_call
    {
        operator_process* process;
        std::uint32_t vm_ip;
    };

    /// Delivers an event such that an exception ends the event loop, since no
    /// exception may pass through a callback of libevent.
    template <class ConcreteEvent>
    void deliver_guarded(ConcreteEvent const& concrete_event)
    {
        loop_.guard(
            [&]
            {
                reducer_host_.deliver(Event{concrete_event});
            });
    }

    void start_write(http_request request, http_callback on_done)
    {
        request.destination = settings_.platform.platform_endpoint;
        http_client_.start(request, this, on_done);
    }

    template <class Result>
    static void on_compare_and_swap_ended(void* context,
                                          http_response const& response)
    {
        auto& process = *static_cast<operator_process*>(context);
        if constexpr (std::is_constructible_v<Event, Result>)
        {
            process.deliver_guarded(Result{compare_and_swap_status(response)});
        }
    }

    void query_balancer(std::uint32_t vm_ip,
                        std::string_view path,
                        http_callback on_done)
    {
        auto& call = balancer_calls_.emplace_back(balancer_call{this, vm_ip});
        http_client_.start({.destination = {vm_ip, settings_.admin_port},
                            .path = std::string(path),
                            .timeout = settings_.platform.call_timeout},
                           &call,
                           on_done);
    }

    /// Returns a view of the body, valid during the callback only.
    static std::string_view body_of(http_response const& response)
    {
        return {reinterpret_cast<char const*>(response.body.data()),
                response.body.size()};
    }

    static void on_status_response(void* context, http_response const& response)
    {
        auto const& call = *static_cast<balancer_call*>(context);
        if constexpr (std::is_constructible_v<Event, status_read>)
        {
            call.process->deliver_guarded(
                status_read{call.vm_ip, parse_status(body_of(response))});
        }
    }

    static void on_timeline_response(void* context,
                                     http_response const& response)
    {
        auto const& call = *static_cast<balancer_call*>(context);
        if constexpr (std::is_constructible_v<Event, timeline_read>)
        {
            call.process->deliver_guarded(
                timeline_read{call.vm_ip, parse_timeline(body_of(response))});
        }
    }

    operator_settings settings_;
    event_loop loop_;
    system_clock_source clock_;
    reducer_host<Reducer, Event, Effect, operator_process, system_clock_source>
        reducer_host_;
    timer<operator_process> start_timer_{loop_, *this};
    event_sink event_sink_{this};
    platform_client<event_sink> platform_client_{
        settings_.platform, loop_.base(), event_sink_};
    http_client http_client_{
        loop_.base(),
        {.max_concurrent_calls = settings_.platform.max_concurrent_calls}};
    /// A list, because the HTTP client holds pointers to its elements as
    /// callback contexts.
    std::list<balancer_call> balancer_calls_;
};

} // namespace dotterelrouter
