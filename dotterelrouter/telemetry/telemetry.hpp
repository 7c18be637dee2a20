// Telemetry of a process: logs, metrics and the timeline.
//
// For a balancer:
//
//     log_output const output{log_level::info};
//     logger log{output, "10.0.0.1:7000"};
//     balancer_metrics metrics;
//     timeline events{"10.0.0.1:7000", 4096};
//     metrics.add(counter::retries, 1);
//     events.add(now.wall, {.type = timeline_event::started});
//     log.record(log_level::info, now, "started", {});
//     std::string const page = metrics.text(); // for /metrics
//
// A forwarder uses `decision_log` and `forwarder_metrics` instead.
//
// These classes are not thread-safe: all objects are used on the thread of
// the event loop only. Counting, observing durations and adding to the
// timeline do not allocate memory.
#pragma once

#include "dotterelrouter/telemetry/internal/bounded_output.hpp"
#include "dotterelrouter/telemetry/internal/decision_log.hpp"
#include "dotterelrouter/telemetry/internal/forwarder_metrics.hpp"
#include "dotterelrouter/telemetry/internal/log.hpp"
#include "dotterelrouter/telemetry/internal/metrics.hpp"
#include "dotterelrouter/telemetry/internal/names.hpp"
#include "dotterelrouter/telemetry/internal/timeline.hpp"
