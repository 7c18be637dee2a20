// Validates, compares and splits the configuration that operators declare, and
// decides which epoch of it is in force. Makes decisions only: it encodes no
// messages, opens no sockets and reads no clock.
//
//     auto const made = configuration_builder{}
//                           .epoch(epoch_number{7})
//                           .kind({.name = "lookup", .share_percent = 40})
//                           .server({.name = "cat-1", ...})
//                           .address({.service = "catalogue", ...})
//                           .build(); // throws config_error
//     auto const losses = excessive_server_losses(*current, *made);
//     distribution state(settings, self, seed);
//
// A configuration is immutable once built, so threads may share it. A
// distribution is not thread-safe.
#pragma once

#include "dotterelrouter/config/internal/change.hpp"
#include "dotterelrouter/config/internal/configuration.hpp"
#include "dotterelrouter/config/internal/distribution.hpp"
