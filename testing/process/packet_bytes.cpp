#include "testing/process/packet_bytes.hpp"

#include <utility>

namespace dotterelrouter::testing
{
namespace
{

/// Position of a field in a packet, in bytes.
struct field
{
    std::size_t offset;
    std::size_t size;
};

constexpr field checksum_field{0, 4};
constexpr field token_field{4, 4};
constexpr field size_field{8, 2};
constexpr field flags_field{10, 1};
constexpr field destination_port_field{11, 2};
constexpr field source_port_field{13, 2};
constexpr field source_ip_field{15, 4};
constexpr field destination_ip_field{19, 4};
constexpr field sequence_field{23, 4};
constexpr field acknowledgement_field{27, 4};

void write_big_endian(std::string& bytes, field position, std::uint64_t value)
{
    for (std::size_t i = position.size; i-- > 0;)
    {
        bytes[position.offset + i] = static_cast<char>(value);
        value >>= 8U;
    }
}

std::uint64_t read_big_endian(std::string_view bytes, field position)
{
    std::uint64_t value = 0;
    for (auto const byte : bytes.substr(position.offset, position.size))
    {
        value = value << 8U | static_cast<unsigned char>(byte);
    }
    return value;
}

std::uint32_t read_big_endian_32(std::string_view bytes, field position)
{
    return static_cast<std::uint32_t>(read_big_endian(bytes, position));
}

std::uint16_t read_big_endian_16(std::string_view bytes, field position)
{
    return static_cast<std::uint16_t>(read_big_endian(bytes, position));
}

/// Checksum over the size and all bytes after the checksum and the token, which
/// are the first two fields.
std::uint32_t compute_checksum(std::string_view bytes)
{
    std::uint64_t sum = bytes.size();
    for (auto const byte : bytes.substr(size_field.offset))
    {
        sum = mix(sum ^ static_cast<unsigned char>(byte));
    }
    return static_cast<std::uint32_t>(sum);
}

} // namespace

std::string encode_packet(packet_fields const& fields)
{
    std::string bytes(packet_header_size, '\0');
    write_big_endian(bytes, token_field, fields.token);
    write_big_endian(bytes, size_field, fields.payload.size());
    write_big_endian(bytes, flags_field, fields.flags);
    write_big_endian(bytes, destination_port_field, fields.destination.port);
    write_big_endian(bytes, source_port_field, fields.source.port);
    write_big_endian(bytes, source_ip_field, fields.source.ip);
    write_big_endian(bytes, destination_ip_field, fields.destination.ip);
    write_big_endian(bytes, sequence_field, fields.sequence);
    write_big_endian(bytes, acknowledgement_field, fields.acknowledgement);
    bytes += fields.payload;
    write_big_endian(bytes, checksum_field, compute_checksum(bytes));
    return bytes;
}

std::optional<packet_fields> decode_packet(std::string_view bytes)
{
    if (bytes.size() < packet_header_size ||
        read_big_endian(bytes, size_field) != bytes.size() - packet_header_size)
    {
        return std::nullopt;
    }
    packet_fields fields;
    fields.checksum = read_big_endian_32(bytes, checksum_field);
    fields.token = read_big_endian_32(bytes, token_field);
    fields.flags =
        static_cast<unsigned char>(read_big_endian(bytes, flags_field));
    fields.destination = {read_big_endian_32(bytes, destination_ip_field),
                          read_big_endian_16(bytes, destination_port_field)};
    fields.source = {read_big_endian_32(bytes, source_ip_field),
                     read_big_endian_16(bytes, source_port_field)};
    fields.sequence = read_big_endian_32(bytes, sequence_field);
    fields.acknowledgement = read_big_endian_32(bytes, acknowledgement_field);
    fields.payload = bytes.substr(packet_header_size);
    return fields;
}

bool has_valid_checksum(packet_fields const& fields)
{
    return read_big_endian_32(encode_packet(fields), checksum_field) ==
           fields.checksum;
}

std::optional<server_datagram> decode_server_datagram(std::string_view bytes)
{
    if (bytes.size() < server_number_size)
    {
        return std::nullopt;
    }
    auto packet = decode_packet(bytes.substr(server_number_size));
    if (!packet)
    {
        return std::nullopt;
    }
    return server_datagram{read_big_endian(bytes, {0, server_number_size}),
                           std::move(*packet)};
}

} // namespace dotterelrouter::testing
