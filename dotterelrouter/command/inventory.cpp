#include "dotterelrouter/command/internal/inventory.hpp"

#include "dotterelrouter/json/json.hpp"
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
constexpr std::uint64_t max_server_slots = 65535;
constexpr std::uint64_t max_server_connections = 4294967295;
constexpr std::uint64_t max_urgency = 255;
constexpr std::uint64_t max_share_percent = 100;
constexpr std::uint64_t max_deadline_ms = 86400000; // One day.

/// One record of a CSV file.
struct csv_record
{
    std::size_t line_number = 1; ///< Line on which the record starts.
    std::vector<std::string> fields;
};

/// Throws an input_error such as "register.csv:2: port: the value is missing".
[[noreturn]] void throw_line_error(std::string_view file_name,
                                   std::size_t line_number,
                                   std::string_view field,
                                   std::string_view problem)
{
    throw input_error(std::string(file_name) + ":" +
                      std::to_string(line_number) + ": " + std::string(field) +
                      ": " + std::string(problem));
}

std::string expected_range_text(std::uint64_t min_value,
                                std::uint64_t max_value)
{
    return "expected an integer from " + std::to_string(min_value) + " to " +
           std::to_string(max_value);
}

/// Splits CSV into records, one character at a time. Blank lines yield no
/// record. Throws input_error if a quoted field is not closed.
class csv_reader
{
public:
    explicit csv_reader(input_file file) : file_(file)
    {
        if (file_.content.starts_with(byte_order_mark))
        {
            file_.content.remove_prefix(byte_order_mark.size());
        }
    }

    /// Returns all records, including the header. May be called only once, as
    /// it moves the records out.
    std::vector<csv_record> read()
    {
        for (std::size_t position = 0; position < file_.content.size();
             ++position)
        {
            auto const has_next = position + 1 < file_.content.size();
            auto const next_character =
                has_next ? file_.content[position + 1] : '\0';
            if (is_quoted_ && file_.content[position] == '"' &&
                next_character == '"')
            {
                current_field_ += '"';
                ++position;
                continue;
            }
            consume(file_.content[position]);
        }
        if (is_quoted_)
        {
            throw_line_error(file_.name,
                             current_record_.line_number,
                             "quoted field",
                             "the closing quote is missing");
        }
        end_record();
        return std::move(records_);
    }

private:
    void consume(char character)
    {
        line_number_ += character == '\n' ? 1U : 0U;
        if (character == '"' && (is_quoted_ || current_field_.empty()))
        {
            is_quoted_ = !is_quoted_;
        }
        else if (!is_quoted_ && character == ',')
        {
            end_field();
        }
        else if (!is_quoted_ && character == '\n')
        {
            end_record();
        }
        else if (is_quoted_ || character != '\r')
        {
            current_field_ += character;
        }
    }

    void end_field()
    {
        current_record_.fields.push_back(std::exchange(current_field_, {}));
    }

    void end_record()
    {
        if (!current_field_.empty() || !current_record_.fields.empty())
        {
            end_field();
            records_.push_back(current_record_);
        }
        current_record_ = {.line_number = line_number_, .fields = {}};
    }

    input_file file_;
    std::vector<csv_record> records_;
    csv_record current_record_;
    std::string current_field_;
    std::size_t line_number_ = 1;
    bool is_quoted_ = false;
};

/// Reads fields of a record by column name. Throws input_error, naming the line
/// and the column, if a field is missing or invalid.
class register_columns
{
public:
    register_columns(input_file file, csv_record const& header)
        : file_name_(file.name), header_(header)
    {
        for (auto const column_name : {"name",
                                       "service",
                                       "ip",
                                       "port",
                                       "data_centre",
                                       "slots",
                                       "connections"})
        {
            if (std::ranges::find(header_.fields, column_name) ==
                header_.fields.end())
            {
                throw_line_error(file_name_,
                                 header_.line_number,
                                 column_name,
                                 "the header has no such column");
            }
        }
    }

    /// Returns a view into `record`.
    [[nodiscard]] std::string_view text(csv_record const& record,
                                        std::string_view column_name) const
    {
        auto const found = std::ranges::find(header_.fields, column_name);
        auto const column =
            static_cast<std::size_t>(found - header_.fields.begin());
        if (column >= record.fields.size() || record.fields[column].empty())
        {
            throw_line_error(file_name_,
                             record.line_number,
                             column_name,
                             "the value is missing");
        }
        return record.fields[column];
    }

    /// Parses an integer from 1 to `max_value`.
    [[nodiscard]] std::uint64_t number(csv_record const& record,
                                       std::string_view column_name,
                                       std::uint64_t max_value) const
    {
        auto const value_text = text(record, column_name);
        auto const value = parse_number(value_text);
        if (!value || *value < 1 || *value > max_value)
        {
            throw_line_error(file_name_,
                             record.line_number,
                             column_name,
                             "'" + std::string(value_text) + "', " +
                                 expected_range_text(1, max_value));
        }
        return *value;
    }

    [[nodiscard]] std::uint32_t ip(csv_record const& record) const
    {
        auto const value_text = text(record, "ip");
        auto const value = parse_ip(value_text);
        if (!value)
        {
            throw_line_error(
                file_name_,
                record.line_number,
                "ip",
                "'" + std::string(value_text) +
                    "', expected an IPv4 address such as 10.0.0.1");
        }
        return *value;
    }

private:
    std::string_view file_name_;
    csv_record header_;
};

/// Reads typed fields of JSON objects. Throws input_error, naming the path to
/// the field, if a field is missing or invalid. `object_path` is the path to
/// the object that holds the field.
struct rules_reader
{
    std::string_view file_name;

    [[noreturn]] void throw_field_error(std::string_view field_path,
                                        std::string_view problem) const
    {
        throw input_error(std::string(file_name) + ": " +
                          std::string(field_path) + ": " +
                          std::string(problem));
    }

    /// Rejects a field whose name is not in `known_fields`.
    void
    require_known_fields(json const& object,
                         std::string_view object_path,
                         std::span<std::string_view const> known_fields) const
    {
        if (!object.is_object())
        {
            throw_field_error(object_path, "expected an object");
        }
        for (auto const& [field_name, value] : object.items())
        {
            if (std::ranges::find(known_fields, field_name) ==
                known_fields.end())
            {
                throw_field_error(std::string(object_path) + "." + field_name,
                                  "unknown field");
            }
        }
    }

    [[nodiscard]] std::string string(json const& object,
                                     std::string_view object_path,
                                     char const* field_name) const
    {
        auto const found = object.find(field_name);
        if (found == object.end() || !found->is_string())
        {
            throw_field_error(std::string(object_path) + "." + field_name,
                              "expected a string");
        }
        return found->get<std::string>();
    }

    [[nodiscard]] std::uint64_t number(json const& object,
                                       std::string_view object_path,
                                       char const* field_name,
                                       std::uint64_t min_value,
                                       std::uint64_t max_value) const
    {
        auto const found = object.find(field_name);
        if (found == object.end() || !found->is_number_unsigned() ||
            found->get<std::uint64_t>() < min_value ||
            found->get<std::uint64_t>() > max_value)
        {
            throw_field_error(std::string(object_path) + "." + field_name,
                              expected_range_text(min_value, max_value));
        }
        return found->get<std::uint64_t>();
    }

    [[nodiscard]] bool flag(json const& object,
                            std::string_view object_path,
                            char const* field_name) const
    {
        auto const found = object.find(field_name);
        if (found == object.end() || !found->is_boolean())
        {
            throw_field_error(std::string(object_path) + "." + field_name,
                              "expected true or false");
        }
        return found->get<bool>();
    }

    [[nodiscard]] std::uint32_t ip(std::string_view text,
                                   std::string_view field_path) const
    {
        auto const value = parse_ip(text);
        if (!value)
        {
            throw_field_error(
                field_path,
                "'" + std::string(text) +
                    "', expected an IPv4 address such as 10.0.0.1");
        }
        return *value;
    }

    /// Returns the array of that name, or an empty array if there is none.
    [[nodiscard]] json array_or_empty(json const& object,
                                      char const* field_name) const
    {
        auto const found = object.find(field_name);
        if (found == object.end())
        {
            return json::array();
        }
        if (!found->is_array())
        {
            throw_field_error(field_name, "expected an array");
        }
        return *found;
    }

    [[nodiscard]] std::vector<std::string>
    string_array(json const& object, char const* field_name) const
    {
        std::vector<std::string> strings;
        for (auto const& item : array_or_empty(object, field_name))
        {
            if (!item.is_string())
            {
                throw_field_error(field_name, "expected an array of strings");
            }
            strings.push_back(item.get<std::string>());
        }
        return strings;
    }
};

json parse_rules(input_file file)
{
    if (is_nested_too_deeply(file.content))
    {
        throw_line_error(file.name, 1, "JSON", "nested too deeply");
    }
    try
    {
        return json::parse(file.content);
    }
    catch (json::parse_error const& error)
    {
        auto const error_offset = std::min(error.byte, file.content.size());
        auto const newlines = std::count(
            file.content.begin(),
            file.content.begin() + static_cast<std::ptrdiff_t>(error_offset),
            '\n');
        throw_line_error(file.name,
                         static_cast<std::size_t>(newlines) + 1,
                         "JSON",
                         "syntax error");
    }
    catch (json::out_of_range const&)
    {
        throw_line_error(file.name, 1, "JSON", "a number is out of range");
    }
}

void add_kinds(configuration_builder& builder,
               rules_reader const& reader,
               json const& rules)
{
    constexpr std::array<std::string_view, 5> known_fields{
        "name", "urgency", "share_percent", "idempotent", "deadline_ms"};
    std::size_t index = 0;
    for (auto const& item : reader.array_or_empty(rules, "kinds"))
    {
        auto const item_path = "kinds[" + std::to_string(index++) + "]";
        reader.require_known_fields(item, item_path, known_fields);
        builder.kind(
            {.id = {},
             .name = reader.string(item, item_path, "name"),
             .urgency = static_cast<std::uint8_t>(
                 reader.number(item, item_path, "urgency", 0, max_urgency)),
             .share_percent = static_cast<std::uint8_t>(reader.number(
                 item, item_path, "share_percent", 0, max_share_percent)),
             .idempotent = reader.flag(item, item_path, "idempotent"),
             .default_deadline = std::chrono::milliseconds{reader.number(
                 item, item_path, "deadline_ms", 1, max_deadline_ms)}});
    }
}

void add_addresses(configuration_builder& builder,
                   rules_reader const& reader,
                   json const& rules)
{
    constexpr std::array<std::string_view, 4> known_fields{
        "ip", "port", "service", "kind"};
    std::size_t index = 0;
    for (auto const& item : reader.array_or_empty(rules, "addresses"))
    {
        auto const item_path = "addresses[" + std::to_string(index++) + "]";
        reader.require_known_fields(item, item_path, known_fields);
        builder.address(
            {.address = {reader.ip(reader.string(item, item_path, "ip"),
                                   item_path + ".ip"),
                         static_cast<std::uint16_t>(reader.number(
                             item, item_path, "port", 1, max_port))},
             .service = reader.string(item, item_path, "service"),
             .kind = reader.string(item, item_path, "kind")});
    }
}

void add_servers(configuration_builder& builder,
                 rules_reader const& reader,
                 json const& rules,
                 std::span<server_declaration const> servers)
{
    auto const names = reader.string_array(rules, "leaving_servers");
    std::set<std::string> unmatched_names(names.begin(), names.end());
    for (auto server : servers)
    {
        server.draining = unmatched_names.erase(server.name) > 0;
        builder.server(std::move(server));
    }
    if (!unmatched_names.empty())
    {
        reader.throw_field_error("leaving_servers",
                                 "'" + *unmatched_names.begin() +
                                     "' is not in the register");
    }
}

} // namespace

std::vector<server_declaration> read_register(input_file file)
{
    auto const records = csv_reader(file).read();
    if (records.empty())
    {
        throw_line_error(file.name, 1, "header", "the file is empty");
    }
    register_columns const columns(file, records.front());
    std::vector<server_declaration> servers;
    for (auto const& record : std::span(records).subspan(1))
    {
        servers.push_back(
            {.name = std::string(columns.text(record, "name")),
             .service = std::string(columns.text(record, "service")),
             .address = {columns.ip(record),
                         static_cast<std::uint16_t>(
                             columns.number(record, "port", max_port))},
             .data_centre = std::string(columns.text(record, "data_centre")),
             .slots = static_cast<std::uint16_t>(
                 columns.number(record, "slots", max_server_slots)),
             .connections = static_cast<std::uint32_t>(columns.number(
                 record, "connections", max_server_connections))});
    }
    return servers;
}

inventory read_inventory(input_file register_file, input_file rules_file)
{
    constexpr std::array<std::string_view, 5> known_fields{
        "kinds", "addresses", "leaving_servers", "leaving_vms", "base_epoch"};
    auto const servers = read_register(register_file);
    auto const rules = parse_rules(rules_file);
    rules_reader const reader{rules_file.name};
    reader.require_known_fields(rules, "rules", known_fields);
    inventory result;
    add_kinds(result.declaration, reader, rules);
    add_servers(result.declaration, reader, rules, servers);
    add_addresses(result.declaration, reader, rules);
    for (auto const& vm : reader.string_array(rules, "leaving_vms"))
    {
        result.declaration.draining_vm(reader.ip(vm, "leaving_vms"));
    }
    if (rules.contains("base_epoch"))
    {
        result.base_epoch = epoch_number{
            reader.number(rules, "rules", "base_epoch", 0, UINT64_MAX)};
    }
    return result;
}

} // namespace dotterelrouter
