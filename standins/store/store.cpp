#include "standins/store/store.hpp"

#include "dotterelrouter/http/http.hpp"
#include "dotterelrouter/runtime/runtime.hpp"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace dotterelrouter::standins
{
namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

/// How often waiting watches are looked at.
constexpr duration look_interval = milliseconds{5};

constexpr int status_ok = 200;
constexpr int status_gone = 410;
constexpr int status_not_found = 404;
constexpr int status_away = 503;

/// Number after a name such as "after=" in a query; 0 if it is not there.
std::uint64_t number_of(std::string_view query, std::string_view name)
{
    auto const found = query.find(name);
    if (found == std::string_view::npos)
    {
        return 0;
    }
    auto const rest = query.substr(found + name.size());
    return parse_number(rest.substr(0, rest.find('&'))).value_or(0);
}

} // namespace

struct standin_store::state
{
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
        bool removed = false;
    };

    struct waiting_watch
    {
        http_exchange exchange;
        std::uint64_t after = 0;
        steady_time until;
    };

    explicit state(endpoint where) : port(loop, where, *this), look(loop, *this)
    {
        look.wake_at(steady_time{});
        thread = std::thread(
            [this]
            {
                loop.run();
            });
    }

    ~state()
    {
        stopping = true;
        thread.join();
    }

    void on_timer()
    {
        if (stopping)
        {
            loop.stop(0);
            return;
        }
        std::lock_guard const hold{mutex};
        auto const now = std::chrono::steady_clock::now();
        std::erase_if(watches,
                      [&](waiting_watch const& one)
                      {
                          auto const due = away || revision > one.after ||
                                           one.after < history_from ||
                                           now >= one.until;
                          if (due)
                          {
                              answer_watch(one);
                          }
                          return due;
                      });
        look.wake_at(now + look_interval);
    }

    void on_http_request(http_port_request const& request)
    {
        std::lock_guard const hold{mutex};
        ++calls;
        if (away)
        {
            respond(request.exchange, status_away, {});
        }
        else if (request.path == "/v1/kv-range")
        {
            respond(request.exchange, status_ok, range());
        }
        else if (request.path == "/v1/kv-watch")
        {
            watches.push_back(
                {request.exchange,
                 number_of(request.query, "after="),
                 std::chrono::steady_clock::now() +
                     milliseconds{number_of(request.query, "WaitMs=")}});
        }
        else
        {
            respond(request.exchange, status_not_found, {});
        }
    }

    static json describe(std::string_view key, item const& one)
    {
        if (one.removed)
        {
            return {
                {"Key", key}, {"Revision", one.revision}, {"Tombstone", true}};
        }
        return {{"Key", key},
                {"Value", absl::Base64Escape(one.value)},
                {"Revision", one.revision}};
    }

    json range() const
    {
        auto all = json::array();
        for (auto const& [key, one] : items)
        {
            if (!one.removed)
            {
                all.push_back(describe(key, one));
            }
        }
        return {{"items", all}, {"HasMore", false}, {"AtRevision", revision}};
    }

    void answer_watch(waiting_watch const& one)
    {
        if (away)
        {
            respond(one.exchange, status_away, {});
            return;
        }
        if (one.after < history_from)
        {
            respond(one.exchange, status_gone, {});
            return;
        }
        auto events = json::array();
        for (auto const& [key, changed] : items)
        {
            if (changed.revision > one.after)
            {
                events.push_back(describe(key, changed));
            }
        }
        respond(one.exchange,
                status_ok,
                {{"events", events}, {"AtRevision", revision}});
    }

    void respond(http_exchange to, int status, json const& body)
    {
        auto const text = body.dump();
        port.respond(to,
                     {.status = status,
                      .content_type = "application/json",
                      .body = text});
    }

    mutable std::mutex mutex;
    std::map<std::string, item> items;
    std::uint64_t revision = 1;
    std::uint64_t history_from = 0;
    std::uint64_t calls = 0;
    bool away = false;
    std::vector<waiting_watch> watches;
    std::atomic<bool> stopping = false;
    event_loop loop;
    http_port<state> port;
    timer<state> look;
    std::thread thread;
};

standin_store::standin_store(endpoint where)
    : state_(std::make_unique<state>(where))
{
}

standin_store::~standin_store() = default;

void standin_store::put(std::string_view key, std::string_view value)
{
    std::lock_guard const hold{state_->mutex};
    state_->items[std::string(key)] = {
        std::string(value), ++state_->revision, false};
}

void standin_store::remove(std::string_view key)
{
    std::lock_guard const hold{state_->mutex};
    state_->items[std::string(key)] = {{}, ++state_->revision, true};
}

void standin_store::set_away(bool away)
{
    std::lock_guard const hold{state_->mutex};
    state_->away = away;
}

void standin_store::forget_history()
{
    std::lock_guard const hold{state_->mutex};
    state_->history_from = ++state_->revision;
}

std::uint64_t standin_store::calls() const
{
    std::lock_guard const hold{state_->mutex};
    return state_->calls;
}

} // namespace dotterelrouter::standins
