// Waiting requests and the intrusive lists that link them. Include
// "dotterelrouter/admission/admission.hpp".
#pragma once

#include "dotterelrouter/admission/internal/requests.hpp"

#include <array>
#include <cstdint>
#include <limits>
#include <span>

namespace dotterelrouter::internal
{

/// Marks the absence of an index or ticket.
inline constexpr std::uint32_t no_index =
    std::numeric_limits<std::uint32_t>::max();

/// The lists that a waiting request is linked into: one of each kind.
enum class list_kind : std::uint8_t
{
    queue,   ///< Requests of one kind for one service or one server.
    deadline ///< A bucket of the deadline wheel.
};

/// Tickets of a request's neighbours in one list; no_index at either end.
struct list_link
{
    std::uint32_t previous = no_index;
    std::uint32_t next = no_index;
};

/// A request and its position in the queues, stored at the index of its
/// ticket.
struct waiting_request
{
    queued_request request;
    steady_time latest_send_time; ///< The request may not be sent later.
    std::uint64_t sequence = 0;   ///< Lower values are sent first.
    std::uint32_t service_index = no_index;
    std::uint32_t server_index = no_index; ///< Set if the request is bound.
    bool is_waiting = false; ///< True while the request is in the queues.
    std::array<list_link, 2> links; ///< By list_kind.
};

/// A doubly linked list of waiting requests. The links are stored in the
/// requests, which each call takes as `requests`, indexed by ticket. All
/// operations take constant time.
template <list_kind Kind>
class waiting_list
{
public:
    [[nodiscard]] bool empty() const
    {
        return first_ == no_index;
    }

    /// Ticket of the first request; no_index if the list is empty.
    [[nodiscard]] std::uint32_t front() const
    {
        return first_;
    }

    void push_back(std::span<waiting_request> requests, std::uint32_t ticket)
    {
        link(requests, ticket) = {last_, no_index};
        next_of(requests, last_) = ticket;
        last_ = ticket;
    }

    void push_front(std::span<waiting_request> requests, std::uint32_t ticket)
    {
        link(requests, ticket) = {no_index, first_};
        previous_of(requests, first_) = ticket;
        first_ = ticket;
    }

    /// Removes a request, which must be in this list.
    void remove(std::span<waiting_request> requests, std::uint32_t ticket)
    {
        auto const neighbours = link(requests, ticket);
        next_of(requests, neighbours.previous) = neighbours.next;
        previous_of(requests, neighbours.next) = neighbours.previous;
    }

    /// Ticket of the request that follows `ticket`; no_index at the end.
    [[nodiscard]] static std::uint32_t
    next(std::span<waiting_request const> requests, std::uint32_t ticket)
    {
        return requests[ticket].links[static_cast<std::size_t>(Kind)].next;
    }

private:
    static list_link& link(std::span<waiting_request> requests,
                           std::uint32_t ticket)
    {
        return requests[ticket].links[static_cast<std::size_t>(Kind)];
    }

    /// The place that holds the successor of `ticket`; that of the first
    /// request for no_index.
    std::uint32_t& next_of(std::span<waiting_request> requests,
                           std::uint32_t ticket)
    {
        return ticket == no_index ? first_ : link(requests, ticket).next;
    }

    /// The place that holds the predecessor of `ticket`; that of the last
    /// request for no_index.
    std::uint32_t& previous_of(std::span<waiting_request> requests,
                               std::uint32_t ticket)
    {
        return ticket == no_index ? last_ : link(requests, ticket).previous;
    }

    std::uint32_t first_ = no_index;
    std::uint32_t last_ = no_index;
};

} // namespace dotterelrouter::internal
