#include "dotterelrouter/routing/internal/flow_length.hpp"

namespace dotterelrouter
{
namespace
{

/// Weight of one flow in the exponential moving average.
constexpr float learning_rate = 1.0F / 64;
/// A kind counts as `single_request` while its share of flows with more than
/// one request is below this.
constexpr float max_multi_request_share = 0.02F;

} // namespace

void flow_length_estimator::on_flow_ended(kind_id kind, std::uint16_t requests)
{
    if (kind.value >= multi_request_share_.size())
    {
        multi_request_share_.resize(std::size_t{kind.value} + 1, 1.0F);
    }
    auto& share = multi_request_share_[kind.value];
    auto const sample = requests > 1 ? 1.0F : 0.0F;
    share += learning_rate * (sample - share);
}

flow_length flow_length_estimator::expected(kind_id kind) const
{
    if (kind.value >= multi_request_share_.size())
    {
        return flow_length::multiple_requests;
    }
    return multi_request_share_[kind.value] < max_multi_request_share
               ? flow_length::single_request
               : flow_length::multiple_requests;
}

} // namespace dotterelrouter
