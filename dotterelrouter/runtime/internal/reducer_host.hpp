// Connects a reducer to the interpreter that executes its effects. Include
// "dotterelrouter/runtime/runtime.hpp".
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <stdexcept>
#include <variant>
#include <vector>

namespace dotterelrouter
{

/// An interpreter that executes effects of type `Alternative`, one of the
/// alternatives of an effect variant, by its member function
/// `execute(Alternative const&)`.
template <class Interpreter, class Alternative>
concept executes_effect = requires(Interpreter& interpreter,
                                   Alternative const& requested_effect)
{
    interpreter.execute(requested_effect);
};

/// Passes events to a reducer with the current time of the clock, and executes
/// the effects of each event in order before the next event. `Effect` is a
/// variant; `Interpreter` satisfies `executes_effect` for each of its
/// alternatives. Holds references to the reducer, the interpreter and the
/// clock, which must outlive it. Reuses one vector of effects for all events.
template <class Reducer,
          class Event,
          class Effect,
          class Interpreter,
          clock_source Clock>
requires reducer<Reducer, Event, Effect>

class reducer_host
{
public:
    reducer_host(Reducer& hosted_reducer,
                 Interpreter& interpreter,
                 Clock& clock)
        : reducer_(hosted_reducer), interpreter_(interpreter), clock_(clock)
    {
    }

    /// Reduces one event and executes its effects. Throws std::logic_error if
    /// called from `execute`: an interpreter that has a result immediately
    /// must deliver it in the next iteration of the loop.
    void deliver(Event const& next_event)
    {
        if (is_executing_effects_)
        {
            throw std::logic_error(
                "reducer host: an event was delivered while the effects of "
                "another are executed");
        }
        is_executing_effects_ = true;
        effects_.clear();
        reducer_.reduce(next_event, clock_.now(), effects_);
        for (Effect const& requested_effect : effects_)
        {
            execute(requested_effect);
        }
        is_executing_effects_ = false;
    }

private:
    void execute(Effect const& requested_effect)
    {
        std::visit(
            [this](auto const& alternative)
            {
                interpreter_.execute(alternative);
            },
            requested_effect);
    }

    Reducer& reducer_;
    Interpreter& interpreter_;
    Clock& clock_;
    std::vector<Effect> effects_;
    bool is_executing_effects_ = false;
};

} // namespace dotterelrouter
