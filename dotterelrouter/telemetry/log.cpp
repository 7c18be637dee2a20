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

constexpr auto budget_period = std::chrono::seconds{1};

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

log4cplus::Logger root()
{
    return log4cplus::Logger::getRoot();
}

} // namespace

log_level log_level_of(std::string_view name)
{
    for (auto const level :
         {log_level::error, log_level::warn, log_level::info, log_level::debug})
    {
        if (name_of(level) == name)
        {
            return level;
        }
    }
    throw std::invalid_argument("log level: " + std::string{name} +
                                " is none of error, warn, info, debug");
}

struct log_output::state
{
    log4cplus::Initializer library;
};

log_output::log_output(log_level threshold) : state_(std::make_unique<state>())
{
    log4cplus::setThreadPoolSize(1); // Nothing is logged asynchronously.
    log4cplus::SharedAppenderPtr const appender{
        new log4cplus::ConsoleAppender(true, true)};
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    root().removeAllAppenders();
    root().addAppender(appender);
    root().setLogLevel(to_log4cplus(threshold));
}

log_output::~log_output()
{
    root().removeAllAppenders();
    log4cplus::threadCleanup();
}

std::string to_json(log_level level,
                    instant now,
                    std::string_view process,
                    std::string_view what,
                    log_fields fields)
{
    nlohmann::ordered_json line;
    line["time_ns"] = now.wall.time_since_epoch().count();
    line["level"] = name_of(level);
    line["process"] = process;
    line["event"] = what;
    line["subject"] = fields.subject;
    line["cause"] = fields.cause;
    line["detail"] = fields.detail;
    constexpr int no_indent = -1;
    return line.dump(no_indent,
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
                    std::string_view what,
                    log_fields fields)
{
    auto const target = root();
    auto const wanted = to_log4cplus(level);
    if (!target.isEnabledFor(wanted))
    {
        return;
    }
    if (!take_budget(now))
    {
        ++suppressed_;
        return;
    }
    if (suppressed_ != reported_)
    {
        log_fields lost;
        lost.subject = suppressed_ - reported_;
        reported_ = suppressed_;
        target.forcedLog(
            log4cplus::WARN_LOG_LEVEL,
            to_json(log_level::warn, now, process_, "log_suppressed", lost));
    }
    target.forcedLog(wanted, to_json(level, now, process_, what, fields));
}

bool logger::take_budget(instant now)
{
    if (now.steady - second_ >= budget_period)
    {
        second_ = now.steady;
        left_ = lines_per_second;
    }
    if (left_ == 0)
    {
        return false;
    }
    --left_;
    return true;
}

} // namespace dotterelrouter
