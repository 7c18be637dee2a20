// What operators declared: checked, compared, split into chunks, and which
// epoch of it is in force. Decisions only: no encoding, socket or clock.
//
//     auto const made = configuration_builder{}
//                           .epoch(epoch_number{7})
//                           .kind({.name = "lookup", .share_percent = 40})
//                           .server({.name = "cat-1", ...})
//                           .address({.service = "catalogue", ...})
//                           .build(); // throws config_error
//     auto const lost = excessive_losses(*current, *made);
//     distribution state(settings, self, seed);
//
// A configuration is immutable once built and may be shared by threads; a
// distribution is not synchronised.
#pragma once

#include "dotterelrouter/config/internal/change.hpp"
#include "dotterelrouter/config/internal/configuration.hpp"
#include "dotterelrouter/config/internal/distribution.hpp"
