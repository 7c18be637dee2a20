#include "testing/process/packet_bytes.hpp"

#include <utility>

namespace dotterelrouter::testing
{
namespace
{

/// Where a field is, in bytes from the start.
struct field
{
    std::size_t at;
    std::size_t size;
};

constexpr field checksum_field{0, 4};
constexpr field token_field{4, 4};
constexpr field size_field{8, 2};
constexpr field flags_field{10, 1};
constexpr field to_port_field{11, 2};
constexpr field from_port_field{13, 2};
constexpr field from_ip_field{15, 4};
constexpr field to_ip_field{19, 4};
constexpr field sequence_field{23, 4};
constexpr field acknowledged_field{27, 4};

void put(std::string& to, field where, std::uint64_t value)
{
    for (std::size_t i = where.size; i-- > 0;)
    {
        to[where.at + i] = static_cast<char>(value);
        value >>= 8U;
    }
}

std::uint64_t get(std::string_view from, field where)
{
    std::uint64_t value = 0;
    for (auto const byte : from.substr(where.at, where.size))
    {
        value = value << 8U | static_cast<unsigned char>(byte);
    }
    return value;
}

std::uint32_t get32(std::string_view from, field where)
{
    return static_cast<std::uint32_t>(get(from, where));
}

std::uint16_t get16(std::string_view from, field where)
{
    return static_cast<std::uint16_t>(get(from, where));
}

/// Over all bytes but the checksum's own and the token's.
std::uint32_t checksum_of(std::string_view bytes)
{
    std::uint64_t sum = bytes.size();
    for (auto const byte : bytes.substr(size_field.at))
    {
        sum = mix(sum ^ static_cast<unsigned char>(byte));
    }
    return static_cast<std::uint32_t>(sum);
}

} // namespace

std::string encode(packet_fields const& fields)
{
    std::string made(packet_head_size, '\0');
    put(made, token_field, fields.token);
    put(made, size_field, fields.data.size());
    put(made, flags_field, fields.flags);
    put(made, to_port_field, fields.to.port);
    put(made, from_port_field, fields.from.port);
    put(made, from_ip_field, fields.from.ip);
    put(made, to_ip_field, fields.to.ip);
    put(made, sequence_field, fields.sequence);
    put(made, acknowledged_field, fields.acknowledged);
    made += fields.data;
    put(made, checksum_field, checksum_of(made));
    return made;
}

std::optional<packet_fields> decode(std::string_view bytes)
{
    if (bytes.size() < packet_head_size ||
        get(bytes, size_field) != bytes.size() - packet_head_size)
    {
        return std::nullopt;
    }
    packet_fields fields;
    fields.checksum = get32(bytes, checksum_field);
    fields.token = get32(bytes, token_field);
    fields.flags = static_cast<unsigned char>(get(bytes, flags_field));
    fields.to = {get32(bytes, to_ip_field), get16(bytes, to_port_field)};
    fields.from = {get32(bytes, from_ip_field), get16(bytes, from_port_field)};
    fields.sequence = get32(bytes, sequence_field);
    fields.acknowledged = get32(bytes, acknowledged_field);
    fields.data = bytes.substr(packet_head_size);
    return fields;
}

bool is_unchanged(packet_fields const& fields)
{
    return get32(encode(fields), checksum_field) == fields.checksum;
}

std::optional<server_datagram> decode_datagram(std::string_view bytes)
{
    if (bytes.size() < server_number_size)
    {
        return std::nullopt;
    }
    auto packet = decode(bytes.substr(server_number_size));
    if (!packet)
    {
        return std::nullopt;
    }
    return server_datagram{get(bytes, {0, server_number_size}),
                           std::move(*packet)};
}

} // namespace dotterelrouter::testing
