// Flags of `dotterelrouter forward`.
//
//     auto const options = parse_options("forward", forward_options,
//     arguments); auto const load_sharing = load_sharing_of(options);
#pragma once

#include "dotterelrouter/command/internal/options.hpp"
#include "dotterelrouter/forwarding/forwarding.hpp"

#include <array>
#include <optional>

namespace dotterelrouter
{

inline constexpr std::array<option_spec, 1> forward_options{{
    {"remote-flow-cost",
     "Shares load between forwarders: difference in utilisation (requests in "
     "progress over slots) from which a flow may leave its data centre",
     "0 to 10",
     ""},
}};

/// Returns how load is shared; empty if the flags don't tell, so that the
/// settings file decides. Throws usage_error.
std::optional<load_sharing_settings>
load_sharing_of(option_values const& options);

} // namespace dotterelrouter
