// How old a directory may be. Include
// "dotterelrouter/replication/replication.hpp".
#pragma once

#include "dotterelrouter/forwarding/forwarding.hpp"

#include <algorithm>
#include <optional>

namespace dotterelrouter
{

/// A directory older than this is read from the store by its forwarder.
inline constexpr duration stale_after = std::chrono::milliseconds{1200};

/// When the directory was last known to be what the store has.
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

    [[nodiscard]] bool stale(instant now) const
    {
        return !confirmed_ || now.steady - *confirmed_ >= stale_after;
    }

    /// When it turns stale if nothing is heard.
    [[nodiscard]] std::optional<steady_time> stale_at() const
    {
        return confirmed_ ? std::optional{*confirmed_ + stale_after}
                          : std::nullopt;
    }

private:
    std::optional<steady_time> confirmed_;
};

} // namespace dotterelrouter
