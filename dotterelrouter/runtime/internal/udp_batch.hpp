// Buffers for receiving several datagrams with one recvmmsg call, or sending
// them with one sendmmsg call. Internal to the runtime library.
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

/// Buffers and socket addresses of `capacity` datagrams of up to
/// `max_datagram_size` bytes each, with the headers that recvmmsg and sendmmsg
/// take.
class udp_batch
{
public:
    udp_batch(std::size_t capacity, std::size_t max_datagram_size)
        : max_datagram_size_(max_datagram_size),
          bytes_(capacity * max_datagram_size), addresses_(capacity),
          io_vectors_(capacity), headers_(capacity)
    {
        for (std::size_t i = 0; i < capacity; ++i)
        {
            auto& header = headers_[i].msg_hdr;
            io_vectors_[i].iov_base = buffer_at(i);
            header.msg_iov = &io_vectors_[i];
            header.msg_iovlen = 1;
            header.msg_name = &addresses_[i];
        }
    }

    [[nodiscard]] std::size_t capacity() const
    {
        return headers_.size();
    }

    /// Prepares all entries for recvmmsg and returns their headers. The span is
    /// valid as long as the batch.
    std::span<mmsghdr> prepare_to_receive()
    {
        for (std::size_t i = 0; i < capacity(); ++i)
        {
            io_vectors_[i].iov_len = max_datagram_size_;
            headers_[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
            headers_[i].msg_hdr.msg_flags = 0;
        }
        return headers_;
    }

    /// Copies a datagram of at most `max_datagram_size` bytes and its
    /// destination into entry `index`.
    void store(std::size_t index, endpoint to, byte_view bytes)
    {
        std::copy_n(bytes.data(), bytes.size(), buffer_at(index));
        io_vectors_[index].iov_len = bytes.size();
        addresses_[index] = to_socket_address(to);
        headers_[index].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }

    /// Headers of all entries, for sendmmsg. Valid as long as the batch.
    std::span<mmsghdr> headers()
    {
        return headers_;
    }

    /// True if the datagram received into the entry was larger than
    /// `max_datagram_size`.
    [[nodiscard]] bool is_truncated(std::size_t index) const
    {
        return (headers_[index].msg_hdr.msg_flags & MSG_TRUNC) != 0;
    }

    /// Sender of the datagram received into the entry.
    [[nodiscard]] endpoint sender(std::size_t index) const
    {
        return to_endpoint(addresses_[index]);
    }

    /// Datagram received into the entry; valid until the next receive.
    [[nodiscard]] byte_view received_bytes(std::size_t index) const
    {
        auto const all_buffers = byte_view{bytes_};
        return all_buffers.subspan(index * max_datagram_size_,
                                   headers_[index].msg_len);
    }

private:
    std::byte* buffer_at(std::size_t index)
    {
        return bytes_.data() + index * max_datagram_size_;
    }

    std::size_t max_datagram_size_;
    std::vector<std::byte> bytes_;
    std::vector<sockaddr_in> addresses_;
    std::vector<iovec> io_vectors_;
    std::vector<mmsghdr> headers_;
};

} // namespace dotterelrouter::internal
