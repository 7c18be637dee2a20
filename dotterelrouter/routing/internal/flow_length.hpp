// Estimates whether flows of a kind have one request or more. Include
// "dotterelrouter/routing/routing.hpp".
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <vector>

namespace dotterelrouter
{

/// Expected length of a new flow.
enum class flow_length : std::uint8_t
{
    single_request, ///< One request: the flow's server need not be remembered.
    multiple_requests ///< More requests: the server has to be remembered.
};

/// Estimates from finished flows whether new flows of a kind will have one
/// request or more. A kind without finished flows counts as
/// `multiple_requests`.
class flow_length_estimator
{
public:
    /// Records that a flow ended, or was removed as idle, after this number of
    /// requests.
    void on_flow_ended(kind_id kind, std::uint16_t requests);

    /// Returns `single_request` only if nearly all recent flows of the kind had
    /// one request.
    [[nodiscard]] flow_length expected(kind_id kind) const;

private:
    /// Moving average of the share of flows with more than one request, by
    /// kind.
    std::vector<float> multi_request_share_;
};

} // namespace dotterelrouter
