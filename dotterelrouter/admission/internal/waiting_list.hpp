// The requests that wait, and lists through them. Include
// "dotterelrouter/admission/admission.hpp".
#pragma once

#include "dotterelrouter/admission/internal/requests.hpp"

#include <array>
#include <cstdint>
#include <limits>
#include <span>

namespace dotterelrouter::internal
{

/// No place in a vector.
inline constexpr std::uint32_t no_index =
    std::numeric_limits<std::uint32_t>::max();

/// Which list a link belongs to: a request is in one of each.
enum class list_kind : std::uint8_t
{
    queue,
    deadline
};

/// Neighbours in one list, by ticket.
struct list_link
{
    std::uint32_t previous = no_index;
    std::uint32_t next = no_index;
};

/// A request that waits; kept at the index of its ticket.
struct waiting_request
{
    queued_request request;
    steady_time due;            ///< It may not be sent after this.
    std::uint64_t sequence = 0; ///< Order of arrival.
    std::uint32_t service = no_index;
    std::uint32_t server = no_index; ///< If it is bound.
    bool waiting = false;
    std::array<list_link, 2> links;
};

/// A doubly linked list through the waiting requests; all in constant time.
template <list_kind Kind>
class waiting_list
{
public:
    [[nodiscard]] bool empty() const
    {
        return first_ == no_index;
    }

    /// Ticket of the first; no_index if empty.
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

    void remove(std::span<waiting_request> requests, std::uint32_t ticket)
    {
        auto const links = link(requests, ticket);
        next_of(requests, links.previous) = links.next;
        previous_of(requests, links.next) = links.previous;
    }

    /// Ticket of the one after; no_index at the end.
    [[nodiscard]] static std::uint32_t
    after(std::span<waiting_request const> requests, std::uint32_t ticket)
    {
        return requests[ticket].links[static_cast<std::size_t>(Kind)].next;
    }

private:
    static list_link& link(std::span<waiting_request> requests,
                           std::uint32_t ticket)
    {
        return requests[ticket].links[static_cast<std::size_t>(Kind)];
    }

    std::uint32_t& next_of(std::span<waiting_request> requests,
                           std::uint32_t ticket)
    {
        return ticket == no_index ? first_ : link(requests, ticket).next;
    }

    std::uint32_t& previous_of(std::span<waiting_request> requests,
                               std::uint32_t ticket)
    {
        return ticket == no_index ? last_ : link(requests, ticket).previous;
    }

    std::uint32_t first_ = no_index;
    std::uint32_t last_ = no_index;
};

} // namespace dotterelrouter::internal
