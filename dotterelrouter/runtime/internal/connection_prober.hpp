// Finds out whether a process still listens at an endpoint. Include
// "dotterelrouter/runtime/runtime.hpp".
#pragma once

#include "dotterelrouter/runtime/internal/event_loop.hpp"

#include <cstddef>
#include <cstdint>
#include <list>

namespace dotterelrouter
{

/// Time after which a probe without an answer ends.
inline constexpr duration connection_probe_timeout =
    std::chrono::milliseconds{400};
/// Maximum number of probes in progress. Others are not made.
inline constexpr std::size_t max_connection_probes = 32;

namespace internal
{

/// Implementation of `connection_prober` that does not depend on the type of
/// the handler.
class raw_connection_prober
{
public:
    using callback = void (*)(void* context, endpoint peer, std::uint64_t id);

    raw_connection_prober(event_loop& loop, callback on_refused, void* context);
    raw_connection_prober(raw_connection_prober const&) = delete;
    raw_connection_prober& operator=(raw_connection_prober const&) = delete;
    ~raw_connection_prober();

    void start(endpoint peer, std::uint64_t id);

private:
    /// A connection that is being opened.
    struct probe
    {
        raw_connection_prober* owner = nullptr;
        endpoint peer{};
        std::uint64_t id = 0;
        int descriptor = -1;
        bool is_refused = false; ///< Before `start` returned.
        event_pointer connected{};
    };

    static void on_event(int descriptor, short what, void* context);
    void end(probe const& ended);

    event_loop& loop_;
    callback on_refused_;
    void* context_;
    std::list<probe> probes_{};
};

} // namespace internal

/// Opens connections and closes them at once. Calls
/// `handler.on_connection_refused(peer, id)` for each that is refused, never
/// from within `start`. One that is accepted, or that nobody answers, has no
/// consequences.
template <class Handler>
class connection_prober
{
public:
    connection_prober(event_loop& loop, Handler& handler)
        : prober_(loop, &connection_prober::call_handler, &handler)
    {
    }

    /// Begins to open a connection. Does nothing if too many are in progress,
    /// or if no socket can be opened.
    void start(endpoint peer, std::uint64_t id)
    {
        prober_.start(peer, id);
    }

private:
    static void call_handler(void* handler, endpoint peer, std::uint64_t id)
    {
        static_cast<Handler*>(handler)->on_connection_refused(peer, id);
    }

    internal::raw_connection_prober prober_;
};

} // namespace dotterelrouter
