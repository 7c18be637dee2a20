// Buffers for receiving or sending several datagrams by one system call; not
// for callers.
#pragma once

#include "dotterelrouter/core/core.hpp"
#include "dotterelrouter/runtime/internal/socket_address.hpp"

#include <algorithm>
#include <cstddef>
#include <span>
#include <vector>

#include <sys/socket.h>

namespace dotterelrouter::internal
{

/// `capacity` datagrams of up to `datagram_size` bytes.
class udp_batch
{
public:
    udp_batch(std::size_t capacity, std::size_t datagram_size)
        : datagram_size_(datagram_size), bytes_(capacity * datagram_size),
          addresses_(capacity), vectors_(capacity), headers_(capacity)
    {
        for (std::size_t i = 0; i < capacity; ++i)
        {
            auto& header = headers_[i].msg_hdr;
            vectors_[i].iov_base = slot(i);
            header.msg_iov = &vectors_[i];
            header.msg_iovlen = 1;
            header.msg_name = &addresses_[i];
        }
    }

    [[nodiscard]] std::size_t capacity() const
    {
        return headers_.size();
    }

    /// Makes the first `count` entries ready for recvmmsg.
    std::span<mmsghdr> for_receiving()
    {
        for (std::size_t i = 0; i < capacity(); ++i)
        {
            vectors_[i].iov_len = datagram_size_;
            headers_[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
            headers_[i].msg_hdr.msg_flags = 0;
        }
        return headers_;
    }

    /// Copies a datagram of at most `datagram_size` bytes into entry `at`.
    void store(std::size_t at, endpoint to, byte_view bytes)
    {
        std::copy_n(bytes.data(), bytes.size(), slot(at));
        vectors_[at].iov_len = bytes.size();
        addresses_[at] = to_socket_address(to);
        headers_[at].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }

    /// Entries for sendmmsg.
    std::span<mmsghdr> headers()
    {
        return headers_;
    }

    [[nodiscard]] bool truncated(std::size_t at) const
    {
        return (headers_[at].msg_hdr.msg_flags & MSG_TRUNC) != 0;
    }

    [[nodiscard]] endpoint sender(std::size_t at) const
    {
        return to_endpoint(addresses_[at]);
    }

    [[nodiscard]] byte_view received(std::size_t at) const
    {
        auto const all = byte_view{bytes_};
        return all.subspan(at * datagram_size_, headers_[at].msg_len);
    }

private:
    std::byte* slot(std::size_t at)
    {
        return bytes_.data() + at * datagram_size_;
    }

    std::size_t datagram_size_;
    std::vector<std::byte> bytes_;
    std::vector<sockaddr_in> addresses_;
    std::vector<iovec> vectors_;
    std::vector<mmsghdr> headers_;
};

} // namespace dotterelrouter::internal
