#include "dotterelrouter/codec/codec.hpp"
#include "dotterelrouter/codec/internal/wire.hpp"

namespace dotterelrouter
{

namespace
{

/// Encodes a value as the protobuf message `Message`.
template <class Message, class Value>
std::vector<std::byte> encode_as(Value const& value)
{
    Message message;
    internal::to_wire(value, message);
    std::vector<std::byte> bytes(message.ByteSizeLong());
    message.SerializeToArray(bytes.data(), static_cast<int>(bytes.size()));
    return bytes;
}

/// Decodes a value from the protobuf message `Message`. Returns false if the
/// bytes are empty, oversized or invalid; the content of `out` is then
/// unspecified.
template <class Message, class Value>
bool decode_as(byte_view bytes, Value& out)
{
    Message message;
    return !bytes.empty() && bytes.size() <= max_stored_value_size &&
           message.ParseFromArray(bytes.data(),
                                  static_cast<int>(bytes.size())) &&
           internal::from_wire(message, out);
}

} // namespace

std::vector<std::byte> encode_value(assignment const& value)
{
    return encode_as<wire::Assignment>(value);
}

std::vector<std::byte> encode_value(configuration_manifest const& value)
{
    return encode_as<wire::Manifest>(value);
}

std::vector<std::byte> encode_value(configuration_chunk const& value)
{
    return encode_as<wire::Chunk>(value);
}

std::optional<assignment> decode_assignment(byte_view bytes)
{
    assignment value;
    if (!decode_as<wire::Assignment>(bytes, value))
    {
        return std::nullopt;
    }
    return value;
}

std::shared_ptr<configuration_manifest const> decode_manifest(byte_view bytes)
{
    auto value = std::make_shared<configuration_manifest>();
    if (!decode_as<wire::Manifest>(bytes, *value))
    {
        return nullptr;
    }
    return value;
}

std::shared_ptr<configuration_chunk const> decode_chunk(byte_view bytes)
{
    auto value = std::make_shared<configuration_chunk>();
    if (!decode_as<wire::Chunk>(bytes, *value))
    {
        return nullptr;
    }
    return value;
}

} // namespace dotterelrouter
