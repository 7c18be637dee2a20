#include "dotterelrouter/telemetry/internal/log.hpp"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/log4cplus.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <stdexcept>

namespace dotterelrouter
{

namespace
{

constexpr auto rate_limit_interval = std::chrono::seconds{1};

log4cplus::LogLevel to_log4cplus(log_level level)
{
    switch (level)
    {
    case log_level::error:
        return log4cplus::ERROR_LOG_LEVEL;
    case log_level::warn:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    }
    return log4cplus::OFF_LOG_LEVEL;
}

std::string_view name_of(log_level level)
{
    switch (level)
    {
    case log_level::error:
        return "error";
    case log_level::warn:
        return "warn";
    case log_level::info:
        return "info";
    case log_level::debug:
        return "debug";
    }
    return "unknown";
}

log4cplus::Logger root_logger()
{
    return log4cplus::Logger::getRoot();
}

} // namespace

log_level parse_log_level(std::string_view name)
{
    for (auto const level :
         {log_level::error, log_level::warn, log_level::info, log_level::debug})
    {
        if (name_of(level) == name)
        {
            return level;
        }
    }
    throw std::invalid_argument("unknown log level \"" + std::string{name} +
                                "\": expected error, warn, info or debug");
}

struct log_output::state
{
    log4cplus::Initializer initializer;
};

log_output::log_output(log_level threshold) : state_(std::make_unique<state>())
{
    // Records are written synchronously, so no thread pool is needed.
    log4cplus::setThreadPoolSize(1);
    log4cplus::SharedAppenderPtr const appender{
        new log4cplus::ConsoleAppender(true, true)};
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    root_logger().removeAllAppenders();
    root_logger().addAppender(appender);
    root_logger().setLogLevel(to_log4cplus(threshold));
}

log_output::~log_output()
{
    root_logger().removeAllAppenders();
    log4cplus::threadCleanup();
}

std::string to_json(log_level level,
                    instant now,
                    std::string_view process,
                    std::string_view event_name,
                    log_fields fields)
{
    nlohmann::ordered_json object;
    object["time_ns"] = now.wall.time_since_epoch().count();
    object["level"] = name_of(level);
    object["process"] = process;
    object["event"] = event_name;
    object["subject"] = fields.subject;
    object["cause"] = fields.cause;
    object["detail"] = fields.detail;
    constexpr int no_indent = -1;
    return object.dump(no_indent,
                       ' ',
                       false,
                       nlohmann::ordered_json::error_handler_t::replace);
}

logger::logger(log_output const& /*output*/, std::string_view process)
    : process_(process)
{
}

void logger::record(log_level level,
                    instant now,
                    std::string_view event_name,
                    log_fields fields)
{
    auto const destination = root_logger();
    auto const log4cplus_level = to_log4cplus(level);
    if (!destination.isEnabledFor(log4cplus_level))
    {
        return;
    }
    if (!try_consume_budget(now))
    {
        ++suppressed_records_;
        return;
    }
    if (suppressed_records_ != reported_suppressed_records_)
    {
        log_fields suppression;
        suppression.subject =
            suppressed_records_ - reported_suppressed_records_;
        reported_suppressed_records_ = suppressed_records_;
        destination.forcedLog(
            log4cplus::WARN_LOG_LEVEL,
            to_json(
                log_level::warn, now, process_, "log_suppressed", suppression));
    }
    destination.forcedLog(log4cplus_level,
                          to_json(level, now, process_, event_name, fields));
}

bool logger::try_consume_budget(instant now)
{
    if (now.steady - interval_start_ >= rate_limit_interval)
    {
        interval_start_ = now.steady;
        remaining_records_ = max_records_per_second;
    }
    if (remaining_records_ == 0)
    {
        return false;
    }
    --remaining_records_;
    return true;
}

} // namespace dotterelrouter
