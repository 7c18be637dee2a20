#include "dotterelrouter/config/internal/distribution_definitions.hpp"

namespace dotterelrouter
{

template class basic_distribution<distribution_rules>;

} // namespace dotterelrouter
