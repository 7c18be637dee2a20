// A stand-in for the platform's store, for tests of real processes.
//
//     standin_store store({ip, 8169});
//     store.put("servers/i-1", entry);
//
// Speaks as much of the store's interface as forwarders use: ranges and
// watches over all keys. Runs on a thread of its own; all functions may be
// called from any thread.
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <cstdint>
#include <memory>
#include <string_view>

namespace dotterelrouter::standins
{

/// Answers from the start of its life to its end.
class standin_store
{
public:
    /// Throws runtime_error if `where` can't be bound.
    explicit standin_store(endpoint where);
    standin_store(standin_store const&) = delete;
    standin_store& operator=(standin_store const&) = delete;
    ~standin_store();

    /// Writes a key.
    void put(std::string_view key, std::string_view value);
    /// Removes a key.
    void remove(std::string_view key);
    /// Answers 503 to everybody, or no longer.
    void set_away(bool away);
    /// Forgets what changed so far.
    void forget_history();
    /// Calls answered so far.
    [[nodiscard]] std::uint64_t calls() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace dotterelrouter::standins
