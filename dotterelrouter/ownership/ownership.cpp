#include "dotterelrouter/ownership/ownership.hpp"

namespace dotterelrouter
{

template class basic_ownership<safe_rules>;

} // namespace dotterelrouter
