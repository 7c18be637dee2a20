// In-memory stand-in for the platform's key-value store, for tests that run
// real forwarder processes.
//
//     standin_store store({ip, 8169});
//     store.put("servers/i-1", entry);
//
// Serves the part of the store's HTTP interface that forwarders use: range
// reads and watches over all keys, which are
//
//     GET /v1/kv-range
//     GET /v1/kv-watch?after=REVISION&WaitMs=N
//
// Runs its event loop on its own thread; all functions may be called from any
// thread.
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <cstdint>
#include <memory>
#include <string_view>

namespace dotterelrouter::standins
{

/// Serves requests from construction to destruction. Thread-safe.
class standin_store
{
public:
    /// Throws runtime_error if `listen_endpoint` cannot be bound.
    explicit standin_store(endpoint listen_endpoint);
    standin_store(standin_store const&) = delete;
    standin_store& operator=(standin_store const&) = delete;
    ~standin_store();

    /// Writes a key; each write increments the store's revision.
    void put(std::string_view key, std::string_view value);
    /// Removes a key; watches report the removal as a tombstone.
    void remove(std::string_view key);
    /// While `unavailable` is true, responds to every request with 503, pending
    /// watches included.
    void set_unavailable(bool unavailable);
    /// Compacts the history: a watch after an earlier revision gets 410, and
    /// its client must read the whole range again.
    void compact_history();
    /// Comes back with the contents of `age` ago: what was written since is
    /// lost, its revisions are given out again, and the era that all responses
    /// name increases by one. A watch after a revision that the store no longer
    /// has gets 410.
    void roll_back(duration age);
    /// Number of requests received so far.
    [[nodiscard]] std::uint64_t request_count() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace dotterelrouter::standins
