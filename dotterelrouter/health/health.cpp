#include "dotterelrouter/health/health.hpp"
