// How old a directory may be. Include
// "dotterelrouter/replication/replication.hpp".
#pragma once

#include "dotterelrouter/forwarding/forwarding.hpp"

#include <algorithm>
#include <optional>

namespace dotterelrouter
{

/// When the directory was last known to be what the store has. A limit is the
/// age from which a directory is stale.
class freshness
{
public:
    /// Somebody who was current `age` ago has nothing newer.
    void on_confirmed(duration age, instant now)
    {
        auto const when = now.steady - age;
        confirmed_ = confirmed_ ? std::max(*confirmed_, when) : when;
    }

    /// Nothing if it was never confirmed.
    [[nodiscard]] std::optional<duration> age(instant now) const
    {
        return confirmed_ ? std::optional<duration>{now.steady - *confirmed_}
                          : std::nullopt;
    }

    [[nodiscard]] bool stale(duration limit, instant now) const
    {
        return !confirmed_ || now.steady - *confirmed_ >= limit;
    }

    /// When it turns stale if nothing is heard.
    [[nodiscard]] std::optional<steady_time> stale_at(duration limit) const
    {
        return confirmed_ ? std::optional{*confirmed_ + limit} : std::nullopt;
    }

private:
    std::optional<steady_time> confirmed_;
};

} // namespace dotterelrouter
