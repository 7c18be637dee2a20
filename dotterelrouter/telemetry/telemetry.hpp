// What a process tells of itself: logs, metrics and the time line.
//
//     log_output const out{log_level::info};
//     logger log{out, "10.0.0.1:7000"};
//     metrics numbers;
//     timeline steps{"10.0.0.1:7000", 4096};
//     numbers.add(counter::retries, 1);
//     steps.add(now.wall, {.what = step::started});
//     log.record(log_level::info, now, "started", {});
//     std::string const page = numbers.text(); // for /metrics
//
// All belong to the thread of the loop. Counting, observing and adding to
// the time line cost no allocation.
#pragma once

#include "dotterelrouter/telemetry/internal/bounded_output.hpp"
#include "dotterelrouter/telemetry/internal/decision_log.hpp"
#include "dotterelrouter/telemetry/internal/forwarder_metrics.hpp"
#include "dotterelrouter/telemetry/internal/log.hpp"
#include "dotterelrouter/telemetry/internal/metrics.hpp"
#include "dotterelrouter/telemetry/internal/names.hpp"
#include "dotterelrouter/telemetry/internal/timeline.hpp"
