// What forwarders tell each other. Include
// "dotterelrouter/forwarding/forwarding.hpp".
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace dotterelrouter
{

/// Sent by each forwarder to the others several times a second.
struct heartbeat
{
    std::uint64_t incarnation = 0;    ///< Drawn at the start of the process.
    data_centre_id data_centre{};     ///< Of the sender.
    store_revision revision{};        ///< The sender's directory is at.
    std::optional<duration> age{};    ///< Since it was known to be current.
    bool store_reachable = true;      ///< The store answered it last time.
    bool leaving = false;             ///< It is shutting down.
    bool answer_wanted = false;       ///< The receiver is to answer at once.
    std::vector<std::uint32_t> ips{}; ///< Some forwarders that it knows.
};

} // namespace dotterelrouter
