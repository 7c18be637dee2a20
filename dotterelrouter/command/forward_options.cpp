#include "dotterelrouter/command/internal/forward_options.hpp"

namespace dotterelrouter
{
namespace
{

constexpr std::string_view remote_flow_cost = "remote-flow-cost";
constexpr double max_remote_flow_cost = 10;

} // namespace

std::optional<load_sharing_settings>
load_sharing_of(option_values const& options)
{
    if (!options.has(remote_flow_cost))
    {
        return std::nullopt;
    }
    return load_sharing_settings{
        .remote_flow_cost =
            options.decimal(remote_flow_cost, 0, max_remote_flow_cost)};
}

} // namespace dotterelrouter
