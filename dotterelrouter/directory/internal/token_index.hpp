// The servers that each token names. Internal to the directory library; include
// "dotterelrouter/directory/directory.hpp" instead.
#pragma once

#include "dotterelrouter/core/core.hpp"
#include "dotterelrouter/directory/internal/tokens.hpp"

#include <algorithm>
#include <array>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace dotterelrouter::internal
{

/// Maps both tokens of each server to all servers that have the same one.
class token_index
{
public:
    void add(server_id server, std::array<route_token, 2> const& tokens)
    {
        for (auto const token : tokens)
        {
            servers_[token].push_back(server);
        }
    }

    void remove(server_id server, std::array<route_token, 2> const& tokens)
    {
        for (auto const token : tokens)
        {
            auto const found = servers_.find(token);
            std::erase(found->second, server);
            if (found->second.empty())
            {
                servers_.erase(found);
            }
        }
    }

    /// Returns the servers that a token names, whether or not it is settled, in
    /// the order in which they were added.
    [[nodiscard]] std::span<server_id const> servers_of(route_token token) const
    {
        auto const found = servers_.find(as_settled(token));
        return found == servers_.end() ? std::span<server_id const>{}
                                       : std::span{found->second};
    }

    /// Returns the first of these tokens that names a single server, or nothing
    /// if each names several.
    [[nodiscard]] std::optional<route_token>
    unshared(std::array<route_token, 2> const& tokens) const
    {
        auto const* const found =
            std::ranges::find_if(tokens,
                                 [this](route_token token)
                                 {
                                     return servers_of(token).size() == 1;
                                 });
        return found == tokens.end() ? std::nullopt : std::optional{*found};
    }

private:
    std::unordered_map<route_token, std::vector<server_id>> servers_;
};

} // namespace dotterelrouter::internal
