// Reads the register export (CSV) and the rules (JSON) of an operator.
//
//     auto const made = read_inventory({"register.csv", csv},
//                                      {"rules.json", json});
//
// The register has a header with the columns name, service, ip, port,
// data_centre, slots and connections in any order; other columns are
// ignored. Quotes, CRLF and a byte order mark are accepted.
#pragma once

#include "dotterelrouter/config/config.hpp"

#include <optional>
#include <stdexcept>
#include <string_view>
#include <vector>

namespace dotterelrouter
{

/// Input that can't be accepted. `what()` names file, line and field.
class input_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// A file's name, for errors, and its content.
struct input_text
{
    std::string_view name;
    std::string_view content;
};

/// What an operator declared.
struct inventory
{
    configuration_builder declared;   ///< Everything but the epoch.
    std::optional<epoch_number> base; ///< Epoch the operator started from.
};

/// One server of the register; throws input_error naming the line.
std::vector<server_declaration> read_register(input_text file);

/// Throws input_error.
inventory read_inventory(input_text register_file, input_text rules_file);

} // namespace dotterelrouter
