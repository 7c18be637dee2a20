#include "dotterelrouter/store_client/internal/store_protocol.hpp"

#include "dotterelrouter/http/http.hpp"
#include "dotterelrouter/json/json.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>

namespace dotterelrouter
{
namespace
{

constexpr std::string_view chunk_key_prefix = "configuration/chunks/";
constexpr int hex_base = 16;
constexpr std::size_t max_hex_digits = 16;

/// Removes the text up to and including `delimiter` from the front of
/// `remaining` and returns it without the delimiter; returns nothing if the
/// delimiter is missing.
std::optional<std::string_view> consume_until(std::string_view& remaining,
                                              char delimiter)
{
    auto const position = remaining.find(delimiter);
    if (position == std::string_view::npos)
    {
        return std::nullopt;
    }
    auto const consumed = remaining.substr(0, position);
    remaining.remove_prefix(position + 1);
    return consumed;
}

/// Removes one entry from the front of `remaining`; returns nothing if it is
/// malformed.
std::optional<stored_entry> consume_entry(std::string_view& remaining)
{
    auto const key = consume_until(remaining, ' ');
    auto const revision_text =
        key ? consume_until(remaining, ' ') : std::nullopt;
    auto const length_text =
        revision_text ? consume_until(remaining, '\n') : std::nullopt;
    if (!length_text)
    {
        return std::nullopt;
    }
    auto const revision = parse_number(*revision_text);
    auto const length = parse_number(*length_text);
    if (!revision || !length || *length > remaining.size())
    {
        return std::nullopt;
    }
    auto const value = remaining.substr(0, *length);
    remaining.remove_prefix(*length);
    return stored_entry{*key,
                        store_revision{*revision},
                        std::as_bytes(std::span{value.data(), value.size()})};
}

std::string_view as_text(byte_view bytes)
{
    return {reinterpret_cast<char const*>(bytes.data()), bytes.size()};
}

std::optional<listed_vm> parse_vm(nlohmann::json const& object)
{
    if (!object.is_object() || !object.contains("ip") ||
        !object["ip"].is_string() || !object.contains("data_centre") ||
        !object["data_centre"].is_string())
    {
        return std::nullopt;
    }
    auto const ip = parse_ip(object["ip"].get<std::string>());
    if (!ip)
    {
        return std::nullopt;
    }
    auto const draining = object.find("leaving");
    return listed_vm{.ip = *ip,
                     .data_centre = object["data_centre"].get<std::string>(),
                     .is_draining = draining != object.end() &&
                                    draining->is_boolean() &&
                                    draining->get<bool>()};
}

} // namespace

std::string chunk_key(chunk_hash hash)
{
    std::array<char, max_hex_digits> digits{};
    auto const written = std::to_chars(
        digits.data(), digits.data() + digits.size(), hash.value, hex_base);
    return std::string(chunk_key_prefix) +
           std::string(digits.data(), written.ptr);
}

std::string assignment_key(slot_id slot)
{
    return std::string(assignment_key_prefix) + std::to_string(slot.value);
}

std::optional<slot_id> parse_assignment_key(std::string_view key)
{
    if (!key.starts_with(assignment_key_prefix))
    {
        return std::nullopt;
    }
    auto const slot = parse_number(key.substr(assignment_key_prefix.size()));
    if (!slot || *slot > UINT16_MAX)
    {
        return std::nullopt;
    }
    return slot_id{static_cast<std::uint16_t>(*slot)};
}

void append_entry(std::string& body, stored_entry const& entry)
{
    body += entry.key;
    body += ' ';
    body += std::to_string(entry.revision.value);
    body += ' ';
    body += std::to_string(entry.value.size());
    body += '\n';
    body += as_text(entry.value);
}

std::optional<std::vector<stored_entry>> parse_entries(byte_view body)
{
    auto remaining = as_text(body);
    std::vector<stored_entry> entries;
    while (!remaining.empty())
    {
        auto const entry = consume_entry(remaining);
        if (!entry)
        {
            return std::nullopt;
        }
        entries.push_back(*entry);
    }
    return entries;
}

std::string encode_vm_list(std::span<listed_vm const> vms)
{
    auto list = nlohmann::json::array();
    for (auto const& vm : vms)
    {
        list.push_back({{"ip", ip_to_string(vm.ip)},
                        {"data_centre", vm.data_centre},
                        {"leaving", vm.is_draining}});
    }
    return list.dump();
}

std::optional<vm_list> parse_vm_list(byte_view body)
{
    auto const list = parse_json(as_text(body));
    if (!list.is_array())
    {
        return std::nullopt;
    }
    vm_list parsed;
    for (auto const& element : list)
    {
        auto const vm = parse_vm(element);
        if (vm)
        {
            parsed.vms.push_back(*vm);
        }
        parsed.unreadable_entries += vm ? 0U : 1U;
    }
    return parsed;
}

} // namespace dotterelrouter
