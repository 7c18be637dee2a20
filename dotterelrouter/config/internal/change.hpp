// Lists the differences between two configurations for operators. Include
// "dotterelrouter/config/config.hpp".
//
//     for (auto const& change : configuration_changes(*before, *after))
//         std::cout << to_string(change) << '\n';
#pragma once

#include "dotterelrouter/config/internal/configuration.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace dotterelrouter
{

enum class change_type : std::uint8_t
{
    added,
    removed,
    changed
};

/// One declaration that was added, removed or changed.
struct declaration_change
{
    change_type type = change_type::changed;
    std::string subject; ///< Type and name of the declaration: "server cat-1".
    /// Changed fields, such as "slots 2 -> 3". Empty unless `type` is changed.
    std::string detail;

    friend bool operator==(declaration_change const&,
                           declaration_change const&) = default;
};

/// Returns every declaration that differs, grouped as kinds of work, servers,
/// addresses and draining VMs. Each group is sorted by subject. Epochs are not
/// compared.
std::vector<declaration_change>
configuration_changes(configuration const& before, configuration const& after);

/// Formats a change as one line without a line break, such as
/// "server cat-1 changed: slots 2 -> 3".
std::string to_string(declaration_change const& change);

/// The number of servers that a service lost from one configuration to the
/// next.
struct server_loss
{
    std::string service;
    /// Number of servers in the old configuration.
    std::size_t previous_count = 0;
    std::size_t lost_count = 0; ///< How many of them the new one no longer has.
};

/// Returns the services that lost more than a third of their servers. A removed
/// service has lost all of them. Added servers do not offset lost ones. Such a
/// change requires explicit confirmation by the operator.
std::vector<server_loss> excessive_server_losses(configuration const& before,
                                                 configuration const& after);

} // namespace dotterelrouter
