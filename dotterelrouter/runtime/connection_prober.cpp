#include "dotterelrouter/runtime/internal/connection_prober.hpp"

#include "dotterelrouter/runtime/internal/socket_address.hpp"

#include <event2/event.h>

#include <cerrno>
#include <chrono>

#include <sys/socket.h>
#include <unistd.h>

namespace dotterelrouter::internal
{

namespace
{

constexpr timeval probe_timeout{
    0,
    std::chrono::duration_cast<std::chrono::microseconds>(
        connection_probe_timeout)
        .count()};

/// Error with which the opening of a connection ended; 0 if it is open.
int connection_error(int descriptor)
{
    int error = 0;
    socklen_t size = sizeof(error);
    ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    return error;
}

} // namespace

raw_connection_prober::raw_connection_prober(event_loop& loop,
                                             callback on_refused,
                                             void* context)
    : loop_(loop), on_refused_(on_refused), context_(context)
{
}

raw_connection_prober::~raw_connection_prober()
{
    for (auto const& open : probes_)
    {
        ::close(open.descriptor);
    }
}

void raw_connection_prober::start(endpoint peer, std::uint64_t id)
{
    if (probes_.size() >= max_connection_probes)
    {
        return;
    }
    auto const descriptor =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
    {
        return;
    }
    auto& started = probes_.emplace_back();
    started.owner = this;
    started.peer = peer;
    started.id = id;
    started.descriptor = descriptor;
    auto const address = to_socket_address(peer);
    auto const result = ::connect(descriptor,
                                  reinterpret_cast<sockaddr const*>(&address),
                                  sizeof(address));
    started.is_refused = result != 0 && errno == ECONNREFUSED;
    started.connected.reset(event_new(loop_.base(),
                                      descriptor,
                                      EV_WRITE,
                                      &raw_connection_prober::on_event,
                                      &started));
    if (!started.connected ||
        event_add(started.connected.get(), &probe_timeout) != 0)
    {
        end(started);
        return;
    }
    if (started.is_refused)
    {
        event_active(started.connected.get(), EV_WRITE, 0);
    }
}

void raw_connection_prober::on_event(int descriptor, short what, void* context)
{
    auto const& ended = *static_cast<probe*>(context);
    auto& self = *ended.owner;
    auto const is_refused =
        ended.is_refused || ((what & EV_WRITE) != 0 &&
                             connection_error(descriptor) == ECONNREFUSED);
    auto const peer = ended.peer;
    auto const id = ended.id;
    self.end(ended);
    if (is_refused)
    {
        self.loop_.guard(
            [&]
            {
                self.on_refused_(self.context_, peer, id);
            });
    }
}

void raw_connection_prober::end(probe const& ended)
{
    auto const descriptor = ended.descriptor;
    probes_.remove_if(
        [&](probe const& open)
        {
            return &open == &ended;
        });
    ::close(descriptor);
}

} // namespace dotterelrouter::internal
