#include "dotterelrouter/command/internal/inventory.hpp"

#include "dotterelrouter/store_client/store_client.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <set>
#include <string>

namespace dotterelrouter
{
namespace
{

using json = nlohmann::json;

constexpr std::string_view byte_order_mark = "\xef\xbb\xbf";
constexpr std::uint64_t max_port = 65535;
constexpr std::uint64_t max_slots = 65535;
constexpr std::uint64_t max_connections = 4294967295;
constexpr std::uint64_t max_urgency = 255;
constexpr std::uint64_t max_share = 100;
constexpr std::uint64_t max_deadline_ms = 86400000;

/// One record of a CSV file and the line on which it starts.
struct csv_record
{
    std::size_t line = 1;
    std::vector<std::string> fields;
};

[[noreturn]] void fail(std::string_view file,
                       std::size_t line,
                       std::string_view field,
                       std::string_view why)
{
    throw input_error(std::string(file) + ":" + std::to_string(line) + ": " +
                      std::string(field) + ": " + std::string(why));
}

std::string range_text(std::uint64_t low, std::uint64_t high)
{
    return "expected a whole number from " + std::to_string(low) + " to " +
           std::to_string(high);
}

/// Splits CSV into records, one character at a time.
class csv_reader
{
public:
    explicit csv_reader(input_text file) : file_(file)
    {
        if (file_.content.starts_with(byte_order_mark))
        {
            file_.content.remove_prefix(byte_order_mark.size());
        }
    }

    std::vector<csv_record> read()
    {
        for (std::size_t i = 0; i < file_.content.size(); ++i)
        {
            auto const more = i + 1 < file_.content.size();
            auto const next = more ? file_.content[i + 1] : '\0';
            if (quoted_ && file_.content[i] == '"' && next == '"')
            {
                field_ += '"';
                ++i;
                continue;
            }
            take(file_.content[i]);
        }
        if (quoted_)
        {
            fail(file_.name, record_.line, "quote", "never closed");
        }
        end_record();
        return std::move(records_);
    }

private:
    void take(char value)
    {
        line_ += value == '\n' ? 1U : 0U;
        if (value == '"' && (quoted_ || field_.empty()))
        {
            quoted_ = !quoted_;
        }
        else if (!quoted_ && value == ',')
        {
            end_field();
        }
        else if (!quoted_ && value == '\n')
        {
            end_record();
        }
        else if (quoted_ || value != '\r')
        {
            field_ += value;
        }
    }

    void end_field()
    {
        record_.fields.push_back(std::exchange(field_, {}));
    }

    void end_record()
    {
        if (!field_.empty() || !record_.fields.empty())
        {
            end_field();
            records_.push_back(record_);
        }
        record_ = {.line = line_, .fields = {}};
    }

    input_text file_;
    std::vector<csv_record> records_;
    csv_record record_;
    std::string field_;
    std::size_t line_ = 1;
    bool quoted_ = false;
};

/// Fields of a record by the header's names.
class register_columns
{
public:
    register_columns(input_text file, csv_record const& header)
        : file_(file.name), header_(header)
    {
        for (auto const name : {"name",
                                "service",
                                "ip",
                                "port",
                                "data_centre",
                                "slots",
                                "connections"})
        {
            if (std::ranges::find(header_.fields, name) == header_.fields.end())
            {
                fail(
                    file_, header_.line, name, "the header has no such column");
            }
        }
    }

    [[nodiscard]] std::string_view text(csv_record const& of,
                                        std::string_view name) const
    {
        auto const found = std::ranges::find(header_.fields, name);
        auto const column =
            static_cast<std::size_t>(found - header_.fields.begin());
        if (column >= of.fields.size() || of.fields[column].empty())
        {
            fail(file_, of.line, name, "is missing");
        }
        return of.fields[column];
    }

    [[nodiscard]] std::uint64_t number(csv_record const& of,
                                       std::string_view name,
                                       std::uint64_t high) const
    {
        auto const written = text(of, name);
        auto const value = parse_number(written);
        if (!value || *value < 1 || *value > high)
        {
            fail(file_,
                 of.line,
                 name,
                 "'" + std::string(written) + "', " + range_text(1, high));
        }
        return *value;
    }

    [[nodiscard]] std::uint32_t ip(csv_record const& of) const
    {
        auto const written = text(of, "ip");
        auto const value = parse_ip(written);
        if (!value)
        {
            fail(file_,
                 of.line,
                 "ip",
                 "'" + std::string(written) + "', expected like 10.0.0.1");
        }
        return *value;
    }

private:
    std::string_view file_;
    csv_record header_;
};

/// Reads fields of JSON objects; errors name the path to the field.
struct rules_reader
{
    std::string_view file;

    [[noreturn]] void refuse(std::string_view path, std::string_view why) const
    {
        throw input_error(std::string(file) + ": " + std::string(path) + ": " +
                          std::string(why));
    }

    void only(json const& object,
              std::string_view path,
              std::span<std::string_view const> names) const
    {
        if (!object.is_object())
        {
            refuse(path, "expected an object");
        }
        for (auto const& [name, value] : object.items())
        {
            if (std::ranges::find(names, name) == names.end())
            {
                refuse(std::string(path) + "." + name, "is no known field");
            }
        }
    }

    [[nodiscard]] std::string
    text(json const& object, std::string_view path, char const* name) const
    {
        auto const found = object.find(name);
        if (found == object.end() || !found->is_string())
        {
            refuse(std::string(path) + "." + name, "expected a text");
        }
        return found->get<std::string>();
    }

    [[nodiscard]] std::uint64_t number(json const& object,
                                       std::string_view path,
                                       char const* name,
                                       std::uint64_t low,
                                       std::uint64_t high) const
    {
        auto const found = object.find(name);
        if (found == object.end() || !found->is_number_unsigned() ||
            found->get<std::uint64_t>() < low ||
            found->get<std::uint64_t>() > high)
        {
            refuse(std::string(path) + "." + name, range_text(low, high));
        }
        return found->get<std::uint64_t>();
    }

    [[nodiscard]] bool
    flag(json const& object, std::string_view path, char const* name) const
    {
        auto const found = object.find(name);
        if (found == object.end() || !found->is_boolean())
        {
            refuse(std::string(path) + "." + name, "expected true or false");
        }
        return found->get<bool>();
    }

    [[nodiscard]] std::uint32_t ip(std::string_view written,
                                   std::string_view path) const
    {
        auto const value = parse_ip(written);
        if (!value)
        {
            refuse(path,
                   "'" + std::string(written) + "', expected like 10.0.0.1");
        }
        return *value;
    }

    /// The list of that name; empty if it is absent.
    [[nodiscard]] json list(json const& object, char const* name) const
    {
        auto const found = object.find(name);
        if (found == object.end())
        {
            return json::array();
        }
        if (!found->is_array())
        {
            refuse(name, "expected a list");
        }
        return *found;
    }

    [[nodiscard]] std::vector<std::string> texts(json const& object,
                                                 char const* name) const
    {
        std::vector<std::string> found;
        for (auto const& item : list(object, name))
        {
            if (!item.is_string())
            {
                refuse(name, "expected a list of texts");
            }
            found.push_back(item.get<std::string>());
        }
        return found;
    }
};

json parse_rules(input_text file)
{
    try
    {
        return json::parse(file.content);
    }
    catch (json::parse_error const& error)
    {
        auto const read = std::min(error.byte, file.content.size());
        auto const line =
            std::count(file.content.begin(),
                       file.content.begin() + static_cast<std::ptrdiff_t>(read),
                       '\n');
        fail(file.name,
             static_cast<std::size_t>(line) + 1,
             "JSON",
             "syntax error");
    }
}

void add_kinds(configuration_builder& into,
               rules_reader const& reader,
               json const& rules)
{
    constexpr std::array<std::string_view, 5> names{
        "name", "urgency", "share_percent", "idempotent", "deadline_ms"};
    std::size_t number = 0;
    for (auto const& item : reader.list(rules, "kinds"))
    {
        auto const path = "kinds[" + std::to_string(number++) + "]";
        reader.only(item, path, names);
        into.kind({.id = {},
                   .name = reader.text(item, path, "name"),
                   .urgency = static_cast<std::uint8_t>(
                       reader.number(item, path, "urgency", 0, max_urgency)),
                   .share_percent = static_cast<std::uint8_t>(reader.number(
                       item, path, "share_percent", 0, max_share)),
                   .idempotent = reader.flag(item, path, "idempotent"),
                   .default_deadline = std::chrono::milliseconds{reader.number(
                       item, path, "deadline_ms", 1, max_deadline_ms)}});
    }
}

void add_addresses(configuration_builder& into,
                   rules_reader const& reader,
                   json const& rules)
{
    constexpr std::array<std::string_view, 4> names{
        "ip", "port", "service", "kind"};
    std::size_t number = 0;
    for (auto const& item : reader.list(rules, "addresses"))
    {
        auto const path = "addresses[" + std::to_string(number++) + "]";
        reader.only(item, path, names);
        into.address(
            {.where = {reader.ip(reader.text(item, path, "ip"), path + ".ip"),
                       static_cast<std::uint16_t>(
                           reader.number(item, path, "port", 1, max_port))},
             .service = reader.text(item, path, "service"),
             .kind = reader.text(item, path, "kind")});
    }
}

void add_servers(configuration_builder& into,
                 rules_reader const& reader,
                 json const& rules,
                 std::span<server_declaration const> servers)
{
    auto const texts = reader.texts(rules, "leaving_servers");
    std::set<std::string> leaving(texts.begin(), texts.end());
    for (auto server : servers)
    {
        server.leaving = leaving.erase(server.name) > 0;
        into.server(std::move(server));
    }
    if (!leaving.empty())
    {
        reader.refuse("leaving_servers",
                      "'" + *leaving.begin() + "' is not in the register");
    }
}

} // namespace

std::vector<server_declaration> read_register(input_text file)
{
    auto const records = csv_reader(file).read();
    if (records.empty())
    {
        fail(file.name, 1, "header", "the file is empty");
    }
    register_columns const columns(file, records.front());
    std::vector<server_declaration> servers;
    for (auto const& record : std::span(records).subspan(1))
    {
        servers.push_back(
            {.name = std::string(columns.text(record, "name")),
             .service = std::string(columns.text(record, "service")),
             .where = {columns.ip(record),
                       static_cast<std::uint16_t>(
                           columns.number(record, "port", max_port))},
             .data_centre = std::string(columns.text(record, "data_centre")),
             .slots = static_cast<std::uint16_t>(
                 columns.number(record, "slots", max_slots)),
             .connections = static_cast<std::uint32_t>(
                 columns.number(record, "connections", max_connections))});
    }
    return servers;
}

inventory read_inventory(input_text register_file, input_text rules_file)
{
    constexpr std::array<std::string_view, 5> names{
        "kinds", "addresses", "leaving_servers", "leaving_vms", "base_epoch"};
    auto const servers = read_register(register_file);
    auto const rules = parse_rules(rules_file);
    rules_reader const reader{rules_file.name};
    reader.only(rules, "rules", names);
    inventory made;
    add_kinds(made.declared, reader, rules);
    add_servers(made.declared, reader, rules, servers);
    add_addresses(made.declared, reader, rules);
    for (auto const& vm : reader.texts(rules, "leaving_vms"))
    {
        made.declared.leaving_vm(reader.ip(vm, "leaving_vms"));
    }
    if (rules.contains("base_epoch"))
    {
        made.base = epoch_number{
            reader.number(rules, "rules", "base_epoch", 0, UINT64_MAX)};
    }
    return made;
}

} // namespace dotterelrouter
