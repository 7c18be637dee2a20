// Age of a directory. Include "dotterelrouter/replication/replication.hpp".
#pragma once

#include "dotterelrouter/forwarding/forwarding.hpp"

#include <algorithm>
#include <optional>

namespace dotterelrouter
{

/// Tracks when the directory was last known to match the store. The directory
/// is stale from the age that callers pass as `timeout`, and always before the
/// first confirmation.
class freshness
{
public:
    /// Records that the directory holds everything that the store held `age`
    /// before `now`. An older confirmation than the last one has no effect.
    void on_confirmed(duration age, instant now)
    {
        auto const confirmed_at = now.steady - age;
        last_confirmed_at_ = last_confirmed_at_
                                 ? std::max(*last_confirmed_at_, confirmed_at)
                                 : confirmed_at;
    }

    /// Time since the last confirmation, or nothing if there was none.
    [[nodiscard]] std::optional<duration> age(instant now) const
    {
        return last_confirmed_at_
                   ? std::optional<duration>{now.steady - *last_confirmed_at_}
                   : std::nullopt;
    }

    [[nodiscard]] bool is_stale(duration timeout, instant now) const
    {
        return !last_confirmed_at_ ||
               now.steady - *last_confirmed_at_ >= timeout;
    }

    /// Time at which the directory becomes stale without another confirmation,
    /// or nothing if there was none yet.
    [[nodiscard]] std::optional<steady_time>
    becomes_stale_at(duration timeout) const
    {
        return last_confirmed_at_ ? std::optional{*last_confirmed_at_ + timeout}
                                  : std::nullopt;
    }

private:
    std::optional<steady_time> last_confirmed_at_;
};

} // namespace dotterelrouter
