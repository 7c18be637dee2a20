// What differs between two configurations, for operators. Include
// "dotterelrouter/config/config.hpp".
//
//     for (auto const& change : difference(*before, *after))
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

/// One declaration that differs.
struct declaration_change
{
    change_type type = change_type::changed;
    std::string subject; ///< Such as "server cat-1".
    std::string detail;  ///< Fields that changed, "slots 2 -> 3"; may be "".

    friend bool operator==(declaration_change const&,
                           declaration_change const&) = default;
};

/// Every declaration that differs: kinds, servers, addresses, leaving VMs,
/// each group in order of its names. Epochs are not compared.
std::vector<declaration_change> difference(configuration const& before,
                                           configuration const& after);

/// One line such as "server cat-1 changed: slots 2 -> 3".
std::string to_string(declaration_change const& change);

/// A service that lost servers from one configuration to the next.
struct server_loss
{
    std::string service;
    std::size_t before = 0; ///< Servers it had.
    std::size_t lost = 0;   ///< Of these, servers that it no longer has.
};

/// Services that lost more than a third of their servers. A service that is
/// gone lost all. Such a change needs the operator's explicit word.
std::vector<server_loss> excessive_losses(configuration const& before,
                                          configuration const& after);

} // namespace dotterelrouter
