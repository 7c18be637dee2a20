#include "dotterelrouter/store_client/internal/store_protocol.hpp"

#include "dotterelrouter/http/http.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>

namespace dotterelrouter
{
namespace
{

constexpr std::string_view chunks_prefix = "configuration/chunks/";
constexpr int hex_base = 16;
constexpr std::size_t hex_digits = 16;

/// Takes the text up to `end` off the front; nothing if `end` is missing.
std::optional<std::string_view> take_until(std::string_view& rest, char end)
{
    auto const place = rest.find(end);
    if (place == std::string_view::npos)
    {
        return std::nullopt;
    }
    auto const taken = rest.substr(0, place);
    rest.remove_prefix(place + 1);
    return taken;
}

std::optional<stored_entry> take_entry(std::string_view& rest)
{
    auto const key = take_until(rest, ' ');
    auto const revision = key ? take_until(rest, ' ') : std::nullopt;
    auto const length = revision ? take_until(rest, '\n') : std::nullopt;
    if (!length)
    {
        return std::nullopt;
    }
    auto const number = parse_number(*revision);
    auto const size = parse_number(*length);
    if (!number || !size || *size > rest.size())
    {
        return std::nullopt;
    }
    auto const value = rest.substr(0, *size);
    rest.remove_prefix(*size);
    return stored_entry{*key,
                        store_revision{*number},
                        std::as_bytes(std::span{value.data(), value.size()})};
}

std::string_view text_of(byte_view bytes)
{
    return {reinterpret_cast<char const*>(bytes.data()), bytes.size()};
}

std::optional<listed_vm> vm_of(nlohmann::json const& item)
{
    if (!item.is_object() || !item.contains("ip") || !item["ip"].is_string() ||
        !item.contains("data_centre") || !item["data_centre"].is_string())
    {
        return std::nullopt;
    }
    auto const ip = parse_ip(item["ip"].get<std::string>());
    if (!ip)
    {
        return std::nullopt;
    }
    auto const leaving = item.find("leaving");
    return listed_vm{.ip = *ip,
                     .data_centre = item["data_centre"].get<std::string>(),
                     .leaving = leaving != item.end() &&
                                leaving->is_boolean() && leaving->get<bool>()};
}

} // namespace

std::string key_of(chunk_hash hash)
{
    std::array<char, hex_digits> digits{};
    auto const end = std::to_chars(
        digits.data(), digits.data() + digits.size(), hash.value, hex_base);
    return std::string(chunks_prefix) + std::string(digits.data(), end.ptr);
}

std::string key_of(slot_id slot)
{
    return std::string(assignments_prefix) + std::to_string(slot.value);
}

std::optional<slot_id> slot_of_key(std::string_view key)
{
    if (!key.starts_with(assignments_prefix))
    {
        return std::nullopt;
    }
    auto const number = parse_number(key.substr(assignments_prefix.size()));
    if (!number || *number > UINT16_MAX)
    {
        return std::nullopt;
    }
    return slot_id{static_cast<std::uint16_t>(*number)};
}

void append_entry(std::string& body, stored_entry const& entry)
{
    body += entry.key;
    body += ' ';
    body += std::to_string(entry.revision.value);
    body += ' ';
    body += std::to_string(entry.value.size());
    body += '\n';
    body += text_of(entry.value);
}

std::optional<std::vector<stored_entry>> parse_entries(byte_view body)
{
    auto rest = text_of(body);
    std::vector<stored_entry> entries;
    while (!rest.empty())
    {
        auto const entry = take_entry(rest);
        if (!entry)
        {
            return std::nullopt;
        }
        entries.push_back(*entry);
    }
    return entries;
}

std::string vm_list_body(std::span<listed_vm const> vms)
{
    auto list = nlohmann::json::array();
    for (auto const& vm : vms)
    {
        list.push_back({{"ip", ip_to_string(vm.ip)},
                        {"data_centre", vm.data_centre},
                        {"leaving", vm.leaving}});
    }
    return list.dump();
}

std::optional<std::vector<listed_vm>> parse_vm_list(byte_view body)
{
    auto const list = nlohmann::json::parse(text_of(body), nullptr, false);
    if (!list.is_array())
    {
        return std::nullopt;
    }
    std::vector<listed_vm> vms;
    for (auto const& item : list)
    {
        auto const vm = vm_of(item);
        if (!vm)
        {
            return std::nullopt;
        }
        vms.push_back(*vm);
    }
    return vms;
}

} // namespace dotterelrouter
