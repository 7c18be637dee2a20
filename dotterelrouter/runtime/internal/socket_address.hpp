// Conversion between endpoints, whose address and port are in host byte
// order, and socket addresses. Internal to the runtime library.
#pragma once

#include "dotterelrouter/core/core.hpp"

#include <netinet/in.h>

namespace dotterelrouter::internal
{

inline sockaddr_in to_socket_address(endpoint host_order)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(host_order.ip);
    address.sin_port = htons(host_order.port);
    return address;
}

inline endpoint to_endpoint(sockaddr_in const& address)
{
    return {ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
}

/// Endpoint to which a socket is bound.
inline endpoint bound_endpoint(int socket)
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    return to_endpoint(address);
}

} // namespace dotterelrouter::internal
