// Whether flows of a kind tend to be long. Include
// "dotterelrouter/routing/routing.hpp".
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <vector>

namespace dotterelrouter
{

/// What is expected of a new flow.
enum class flow_length : std::uint8_t
{
    single, ///< One request; nothing is lost if its server is forgotten.
    many    ///< Its server has to be remembered.
};

/// Learns from ended flows whether those of a kind have one request or more.
/// A kind that was not seen yet counts as `many`.
class flow_length_estimator
{
public:
    /// A flow has ended or was dropped as idle, after this many requests.
    void on_flow_ended(kind_id kind, std::uint16_t requests);

    /// `single` only if nearly all recent flows of the kind had one request.
    [[nodiscard]] flow_length expected(kind_id kind) const;

private:
    /// Share of flows with more than one request, by kind.
    std::vector<float> share_of_many_;
};

} // namespace dotterelrouter
