#include "dotterelrouter/ownership/ownership.hpp"

namespace dotterelrouter
{

template class basic_ownership<ownership_safety_rules>;

} // namespace dotterelrouter
