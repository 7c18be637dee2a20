#include "dotterelrouter/admission/admission.hpp"
