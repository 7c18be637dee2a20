#include "dotterelrouter/routing/internal/flow_length.hpp"

namespace dotterelrouter
{
namespace
{

constexpr float learning_rate = 1.0F / 64;
/// Up to this share of longer flows a kind counts as one of single requests.
constexpr float single_bound = 0.02F;

} // namespace

void flow_length_estimator::on_flow_ended(kind_id kind, std::uint16_t requests)
{
    if (kind.value >= share_of_many_.size())
    {
        share_of_many_.resize(std::size_t{kind.value} + 1, 1.0F);
    }
    auto& share = share_of_many_[kind.value];
    auto const seen = requests > 1 ? 1.0F : 0.0F;
    share += learning_rate * (seen - share);
}

flow_length flow_length_estimator::expected(kind_id kind) const
{
    if (kind.value >= share_of_many_.size())
    {
        return flow_length::many;
    }
    return share_of_many_[kind.value] < single_bound ? flow_length::single
                                                     : flow_length::many;
}

} // namespace dotterelrouter
