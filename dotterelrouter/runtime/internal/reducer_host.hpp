// Binds a reducer to what carries out its effects. Include
// "dotterelrouter/runtime/runtime.hpp".
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <stdexcept>
#include <variant>
#include <vector>

namespace dotterelrouter
{

/// Carries out each alternative of an effect variant by a member function
/// `carry_out(alternative const&)`.
template <class Interpreter, class Alternative>
concept carries_out = requires(Interpreter& interpreter,
                               Alternative const& wanted)
{
    interpreter.carry_out(wanted);
};

/// Runs a reducer: each event is reduced at the time of the clock, and its
/// effects are carried out in order before the next event. `Effect` is a
/// variant; `Interpreter` satisfies `carries_out` for each alternative.
/// Holds references only. Reuses one vector of effects.
template <class Reducer,
          class Event,
          class Effect,
          class Interpreter,
          clock_source Clock>
requires reducer<Reducer, Event, Effect>

class reducer_host
{
public:
    reducer_host(Reducer& state, Interpreter& interpreter, Clock& clock)
        : state_(state), interpreter_(interpreter), clock_(clock)
    {
    }

    /// Reduces one event and carries out the effects. Must not be called
    /// from `carry_out`: throws std::logic_error. An interpreter that has a
    /// result at once hands it over at the loop's next turn.
    void deliver(Event const& happened)
    {
        if (busy_)
        {
            throw std::logic_error("event delivered while effects are "
                                   "carried out");
        }
        busy_ = true;
        effects_.clear();
        state_.reduce(happened, clock_.now(), effects_);
        for (Effect const& wanted : effects_)
        {
            carry_out(wanted);
        }
        busy_ = false;
    }

private:
    void carry_out(Effect const& wanted)
    {
        std::visit(
            [this](auto const& one)
            {
                interpreter_.carry_out(one);
            },
            wanted);
    }

    Reducer& state_;
    Interpreter& interpreter_;
    Clock& clock_;
    std::vector<Effect> effects_;
    bool busy_ = false;
};

} // namespace dotterelrouter
