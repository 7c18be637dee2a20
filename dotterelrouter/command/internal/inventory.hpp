// Parses the two input files of an operator, the register export (CSV) and the
// rules (JSON), into a declared configuration.
//
//     auto const input = read_inventory({"register.csv", csv},
//                                       {"rules.json", json});
//
// The header of the register has the columns name, service, ip, port,
// data_centre, slots and connections in any order. Other columns are ignored.
// Quoted fields, CRLF line endings and a byte order mark are accepted.
#pragma once

#include "dotterelrouter/config/config.hpp"

#include <optional>
#include <stdexcept>
#include <string_view>
#include <vector>

namespace dotterelrouter
{

/// An input file is invalid. `what()` names the file, the field and, where it
/// is known, the line.
class input_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Content of an input file, and its name for error messages. Views only.
struct input_file
{
    std::string_view name;
    std::string_view content;
};

/// The configuration that an operator declares.
struct inventory
{
    configuration_builder declaration; ///< Complete except for the epoch.
    /// Epoch that the operator's changes are based on, if the rules name one.
    std::optional<epoch_number> base_epoch;
};

/// Parses the servers of a register, one per record. Throws input_error.
std::vector<server_declaration> read_register(input_file file);

/// Parses a register and the rules that refer to it. Throws input_error.
inventory read_inventory(input_file register_file, input_file rules_file);

} // namespace dotterelrouter
