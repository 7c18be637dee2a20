// Packets of flows, as PROTOCOL.md of the platform lays them out.
#pragma once

#include "loop.hpp"

#include <optional>

namespace review
{

constexpr std::uint8_t syn_flag = 4;
constexpr std::uint8_t ack_flag = 8;
constexpr std::uint8_t rst_flag = 128;
constexpr std::size_t header_size = 31;

struct flow_packet
{
    std::uint32_t sum = 1; ///< 0 only in resets of the system's own.
    std::uint32_t echo = 0;
    std::uint8_t flags = 0;
    std::uint16_t dport = 0;
    std::uint16_t sport = 0;
    std::uint32_t src = 0;
    std::uint32_t dst = 0;
    std::uint32_t seq = 0;
    std::uint32_t ack = 0;
    std::string data{};
};

inline void put(std::string& out, std::uint64_t value, int size)
{
    for (int i = size - 1; i >= 0; --i)
    {
        out += static_cast<char>(value >> (8 * i) & 0xff);
    }
}

inline std::uint64_t get(std::string_view in, std::size_t offset, int size)
{
    std::uint64_t value = 0;
    for (int i = 0; i < size; ++i)
    {
        value = value << 8U | static_cast<unsigned char>(
                                  in[offset + static_cast<std::size_t>(i)]);
    }
    return value;
}

inline std::string encode(flow_packet const& packet)
{
    std::string out;
    put(out, packet.sum, 4);
    put(out, packet.echo, 4);
    put(out, packet.data.size(), 2);
    put(out, packet.flags, 1);
    put(out, packet.dport, 2);
    put(out, packet.sport, 2);
    put(out, packet.src, 4);
    put(out, packet.dst, 4);
    put(out, packet.seq, 4);
    put(out, packet.ack, 4);
    return out + packet.data;
}

inline std::optional<flow_packet> decode(std::string_view in)
{
    if (in.size() < header_size)
    {
        return std::nullopt;
    }
    flow_packet packet;
    packet.sum = static_cast<std::uint32_t>(get(in, 0, 4));
    packet.echo = static_cast<std::uint32_t>(get(in, 4, 4));
    packet.flags = static_cast<std::uint8_t>(get(in, 10, 1));
    packet.dport = static_cast<std::uint16_t>(get(in, 11, 2));
    packet.sport = static_cast<std::uint16_t>(get(in, 13, 2));
    packet.src = static_cast<std::uint32_t>(get(in, 15, 4));
    packet.dst = static_cast<std::uint32_t>(get(in, 19, 4));
    packet.seq = static_cast<std::uint32_t>(get(in, 23, 4));
    packet.ack = static_cast<std::uint32_t>(get(in, 27, 4));
    packet.data = in.substr(header_size);
    return packet;
}

} // namespace review
