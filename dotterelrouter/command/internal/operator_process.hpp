// Carries a reducer of an operator's command on a loop.
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

struct operator_settings
{
    platform_settings platform;
    std::uint16_t admin_port = 0; ///< Of every balancer.
    bool json = false;
};

/// One command from its start to its exit code. Not synchronised.
template <class Reducer, class Event, class Effect>
class operator_process
{
public:
    operator_process(Reducer& state, operator_settings settings)
        : settings_(settings), host_(state, *this, clock_)
    {
    }

    int run()
    {
        start_.wake_at(clock_.now().steady);
        return loop_.run();
    }

    void on_timer()
    {
        host_.deliver(command_started{});
    }

    void deliver(event const& happened)
    {
        std::visit(
            [&](auto const& one)
            {
                if constexpr (std::is_constructible_v<Event, decltype(one)>)
                {
                    give(one);
                }
            },
            happened);
    }

    void carry_out(read_manifest const& asked)
    {
        client_.carry_out(asked);
    }

    void carry_out(read_chunk const& asked)
    {
        client_.carry_out(asked);
    }

    void carry_out(read_vm_list const& asked)
    {
        client_.carry_out(asked);
    }

    void carry_out(write_chunk const& asked)
    {
        auto const bytes = encode_value(*asked.chunk);
        swap(key_of(asked.chunk->hash),
             {},
             bytes,
             &on_swap<chunk_write_completed>);
    }

    void carry_out(propose_manifest const& asked)
    {
        auto const bytes = encode_value(*asked.manifest);
        swap(manifest_key,
             asked.expected_revision,
             bytes,
             &on_swap<manifest_proposal_completed>);
    }

    void carry_out(read_status const& asked)
    {
        ask(asked.vm_ip, "/status", &on_status);
    }

    void carry_out(read_timeline const& asked)
    {
        ask(asked.vm_ip, "/timeline", &on_timeline);
    }

    void carry_out(print_report const& asked)
    {
        std::cout << (settings_.json ? to_json(asked.report)
                                     : to_text(asked.report));
    }

    void carry_out(print_text const& asked)
    {
        (asked.is_error ? std::cerr : std::cout) << asked.text;
    }

    void carry_out(exit_command const& asked)
    {
        loop_.stop(asked.code);
    }

private:
    /// Hands the platform's events to the process; complete where the
    /// process itself is not yet.
    struct event_sink
    {
        operator_process* owner;

        void deliver(event const& happened) const
        {
            owner->deliver(happened);
        }
    };

    struct vm_call
    {
        operator_process* owner;
        std::uint32_t vm;
    };

    template <class One>
    void give(One const& one)
    {
        loop_.guard(
            [&]
            {
                host_.deliver(Event{one});
            });
    }

    void swap(std::string_view key,
              store_revision expected,
              byte_view value,
              http_callback done)
    {
        auto request =
            swap_request(key, expected, value, settings_.platform.call_timeout);
        request.to = settings_.platform.service;
        calls_.start(request, this, done);
    }

    template <class Ended>
    static void on_swap(void* self, http_response const& response)
    {
        auto& process = *static_cast<operator_process*>(self);
        if constexpr (std::is_constructible_v<Event, Ended>)
        {
            process.give(Ended{swap_status(response)});
        }
    }

    void ask(std::uint32_t vm, std::string_view path, http_callback done)
    {
        auto& call = vm_calls_.emplace_back(vm_call{this, vm});
        calls_.start({.to = {vm, settings_.admin_port},
                      .path = std::string(path),
                      .timeout = settings_.platform.call_timeout},
                     &call,
                     done);
    }

    static std::string_view body_of(http_response const& response)
    {
        return {reinterpret_cast<char const*>(response.body.data()),
                response.body.size()};
    }

    static void on_status(void* context, http_response const& response)
    {
        auto const& call = *static_cast<vm_call*>(context);
        if constexpr (std::is_constructible_v<Event, status_read>)
        {
            call.owner->give(
                status_read{call.vm, parse_status(body_of(response))});
        }
    }

    static void on_timeline(void* context, http_response const& response)
    {
        auto const& call = *static_cast<vm_call*>(context);
        if constexpr (std::is_constructible_v<Event, timeline_read>)
        {
            call.owner->give(
                timeline_read{call.vm, parse_timeline(body_of(response))});
        }
    }

    operator_settings settings_;
    event_loop loop_;
    system_clock_source clock_;
    reducer_host<Reducer, Event, Effect, operator_process, system_clock_source>
        host_;
    timer<operator_process> start_{loop_, *this};
    event_sink sink_{this};
    platform_client<event_sink> client_{
        settings_.platform, loop_.base(), sink_};
    http_client calls_{loop_.base(),
                       {.max_calls = settings_.platform.max_calls}};
    std::list<vm_call> vm_calls_;
};

} // namespace dotterelrouter
