// Conversion of endpoints to socket addresses; not for callers.
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <netinet/in.h>

namespace dotterelrouter::internal
{

inline sockaddr_in to_socket_address(endpoint where)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(where.ip);
    address.sin_port = htons(where.port);
    return address;
}

inline endpoint to_endpoint(sockaddr_in const& address)
{
    return {ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
}

/// Where a socket is bound.
inline endpoint bound_endpoint(int socket)
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    return to_endpoint(address);
}

} // namespace dotterelrouter::internal
