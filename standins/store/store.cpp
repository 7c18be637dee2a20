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

/// Interval at which pending watches are checked for changes and timeouts.
constexpr duration watch_check_interval = milliseconds{5};

/// Number of copies that a store keeps to come back from.
constexpr std::size_t max_copies = 500;

constexpr int status_ok = 200;
constexpr int status_gone = 410;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

/// Number that follows `prefix`, such as "after=", in a query; 0 if it is
/// absent or not a number.
std::uint64_t query_number(std::string_view query, std::string_view prefix)
{
    auto const position = query.find(prefix);
    if (position == std::string_view::npos)
    {
        return 0;
    }
    auto const remaining = query.substr(position + prefix.size());
    return parse_number(remaining.substr(0, remaining.find('&'))).value_or(0);
}

} // namespace

struct standin_store::state
{
    struct entry
    {
        std::string value{};
        std::uint64_t revision = 0;
        bool is_removed = false;
    };

    /// What the store loses in a rollback.
    struct contents
    {
        /// Removed entries are kept as tombstones.
        std::map<std::string, entry> entries;
        std::uint64_t revision = 1;
        /// Watches after an earlier revision than this are refused.
        std::uint64_t compacted_revision = 0;
    };

    struct pending_watch
    {
        http_exchange exchange;
        std::uint64_t after_revision = 0;
        steady_time deadline;
    };

    explicit state(endpoint listen_endpoint)
        : port(loop, listen_endpoint, *this), check_timer(loop, *this)
    {
        check_timer.set_deadline(steady_time{});
        thread = std::thread(
            [this]
            {
                loop.run();
            });
    }

    ~state()
    {
        is_stopping = true;
        thread.join();
    }

    void on_timer()
    {
        if (is_stopping)
        {
            loop.stop(0);
            return;
        }
        std::lock_guard const lock{mutex};
        auto const now = current_steady_time();
        std::erase_if(pending_watches,
                      [&](pending_watch const& watch)
                      {
                          auto const is_due =
                              is_unavailable ||
                              current.revision != watch.after_revision ||
                              now >= watch.deadline;
                          if (is_due)
                          {
                              respond_to_watch(watch);
                          }
                          return is_due;
                      });
        check_timer.set_deadline(now + watch_check_interval);
    }

    void on_http_request(http_port_request const& request)
    {
        std::lock_guard const lock{mutex};
        ++request_count;
        if (is_unavailable)
        {
            respond(request.exchange, status_unavailable, {});
        }
        else if (request.path == "/v1/kv-range")
        {
            respond(request.exchange, status_ok, encode_range());
        }
        else if (request.path == "/v1/kv-watch")
        {
            pending_watches.push_back(
                {request.exchange,
                 query_number(request.query, "after="),
                 current_steady_time() +
                     milliseconds{query_number(request.query, "WaitMs=")}});
        }
        else
        {
            respond(request.exchange, status_not_found, {});
        }
    }

    static json encode_entry(std::string_view key, entry const& stored)
    {
        if (stored.is_removed)
        {
            return {{"Key", key},
                    {"Revision", stored.revision},
                    {"Tombstone", true}};
        }
        return {{"Key", key},
                {"Value", absl::Base64Escape(stored.value)},
                {"Revision", stored.revision}};
    }

    json encode_range() const
    {
        auto live_entries = json::array();
        for (auto const& [key, stored] : current.entries)
        {
            if (!stored.is_removed)
            {
                live_entries.push_back(encode_entry(key, stored));
            }
        }
        return {{"items", live_entries},
                {"HasMore", false},
                {"AtRevision", current.revision}};
    }

    /// Responds with the changes after the watch's revision, possibly none.
    void respond_to_watch(pending_watch const& watch)
    {
        if (is_unavailable)
        {
            respond(watch.exchange, status_unavailable, {});
            return;
        }
        if (watch.after_revision < current.compacted_revision ||
            watch.after_revision > current.revision)
        {
            respond(watch.exchange, status_gone, {});
            return;
        }
        auto changes = json::array();
        for (auto const& [key, stored] : current.entries)
        {
            if (stored.revision > watch.after_revision)
            {
                changes.push_back(encode_entry(key, stored));
            }
        }
        respond(watch.exchange,
                status_ok,
                {{"events", changes}, {"AtRevision", current.revision}});
    }

    void respond(http_exchange exchange, int status, json const& body)
    {
        auto const text = body.dump();
        auto const era_text = std::to_string(era);
        http_header const era_header{"Store-Era", era_text};
        port.respond(exchange,
                     {.status = status,
                      .content_type = "application/json",
                      .body = text,
                      .headers = {&era_header, 1}});
    }

    void write(std::string_view key, entry written)
    {
        copies[current_steady_time()] = current;
        if (copies.size() > max_copies)
        {
            copies.erase(copies.begin());
        }
        written.revision = ++current.revision;
        current.entries[std::string(key)] = std::move(written);
    }

    /// The copy of a write holds until that write, so the first one of a later
    /// write has the contents of `time`.
    void roll_back_to(steady_time time)
    {
        auto const copy = copies.upper_bound(time);
        if (copy != copies.end())
        {
            current = copy->second;
            copies.erase(copy, copies.end());
        }
        ++era;
    }

    /// Guards the members from here to `pending_watches`.
    mutable std::mutex mutex;
    contents current;
    /// Contents before each write, by the time of the write.
    std::map<steady_time, contents> copies;
    std::uint64_t era = 1;
    std::uint64_t request_count = 0;
    bool is_unavailable = false;
    std::vector<pending_watch> pending_watches;
    std::atomic<bool> is_stopping = false;
    event_loop loop;
    http_port<state> port;
    timer<state> check_timer;
    std::thread thread;
};

standin_store::standin_store(endpoint listen_endpoint)
    : state_(std::make_unique<state>(listen_endpoint))
{
}

standin_store::~standin_store() = default;

void standin_store::put(std::string_view key, std::string_view value)
{
    std::lock_guard const lock{state_->mutex};
    state_->write(key, {.value = std::string(value)});
}

void standin_store::remove(std::string_view key)
{
    std::lock_guard const lock{state_->mutex};
    state_->write(key, {.is_removed = true});
}

void standin_store::set_unavailable(bool unavailable)
{
    std::lock_guard const lock{state_->mutex};
    state_->is_unavailable = unavailable;
}

void standin_store::compact_history()
{
    std::lock_guard const lock{state_->mutex};
    state_->current.compacted_revision = ++state_->current.revision;
}

void standin_store::roll_back(duration age)
{
    std::lock_guard const lock{state_->mutex};
    state_->roll_back_to(current_steady_time() - age);
}

std::uint64_t standin_store::request_count() const
{
    std::lock_guard const lock{state_->mutex};
    return state_->request_count;
}

} // namespace dotterelrouter::standins
