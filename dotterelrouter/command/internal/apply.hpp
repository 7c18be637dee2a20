// Decides how a configuration is declared: reads the stored configuration,
// validates the new one, writes its chunks, and then replaces the manifest by a
// compare-and-swap. A reducer over its own events.
//
//     apply_command state({.declaration = builder, .base_epoch = {}});
//     state.reduce(command_started{}, now, out); // out: read_manifest{}
#pragma once

#include "dotterelrouter/config/config.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dotterelrouter
{

/// Input of the subcommands `apply` and `check`.
struct apply_settings
{
    configuration_builder declaration; ///< Complete except for the epoch.
    /// Epoch that the change is based on. If set, the command fails with a
    /// conflict unless this is the stored epoch.
    std::optional<epoch_number> base_epoch;
    /// Accepts that a service loses more than a third of its servers.
    bool accept_losses = false;
    /// Validates the configuration without writing it.
    bool check_only = false;
};

/// First event of every operator command.
struct command_started
{
};

/// The effect `write_chunk` has ended with this status.
struct chunk_write_completed
{
    write_result status = write_result::unknown;
};

/// The effect `propose_manifest` has ended with this status.
struct manifest_proposal_completed
{
    write_result status = write_result::unknown;
};

using apply_event = std::variant<command_started,
                                 manifest_read,
                                 chunk_read,
                                 platform_unavailable,
                                 chunk_write_completed,
                                 manifest_proposal_completed>;

/// Creates the chunk's key. The event chunk_write_completed reports the result;
/// its status is `conflict` if the key exists.
struct write_chunk
{
    std::shared_ptr<configuration_chunk const> chunk;
};

/// Replaces the manifest if its revision is still the expected one. The event
/// manifest_proposal_completed reports the result.
struct propose_manifest
{
    store_revision expected_revision;
    std::shared_ptr<configuration_manifest const> manifest;
};

/// Prints text to standard output, or to standard error for an error.
struct print_text
{
    std::string text;
    bool is_error = false;
};

/// Ends the command with an exit code of command.hpp.
struct exit_command
{
    int code = 0;
};

using apply_effect = std::variant<read_manifest,
                                  read_chunk,
                                  write_chunk,
                                  propose_manifest,
                                  print_text,
                                  exit_command>;
using apply_effects = std::vector<apply_effect>;

/// Reducer of the subcommands `apply` and `check`. The new epoch is greater
/// than the stored epoch and not less than the wall clock in milliseconds, so
/// that no epoch is used twice even if the store was rolled back to an older
/// state.
class apply_command
{
public:
    explicit apply_command(apply_settings settings);

    void reduce(apply_event const& next_event, instant now, apply_effects& out);

private:
    using chunk_pointer = std::shared_ptr<configuration_chunk const>;

    void on(command_started, instant now, apply_effects& out);
    void on(manifest_read const& read, instant now, apply_effects& out);
    void on(chunk_read const& read, instant now, apply_effects& out);
    void on(platform_unavailable const&, instant now, apply_effects& out);
    void
    on(chunk_write_completed const& result, instant now, apply_effects& out);
    void on(manifest_proposal_completed const& result,
            instant now,
            apply_effects& out);

    /// Handles the stored configuration once all its chunks have been read.
    void on_stored_configuration_read(instant now, apply_effects& out);
    /// Validates the change against the stored configuration, assigns the epoch
    /// and starts writing.
    void prepare_declaration(instant now, apply_effects& out);
    /// Whether the change removes an acceptable number of servers; otherwise
    /// also ends the command with an error.
    [[nodiscard]] bool passes_loss_check(apply_effects& out) const;
    /// Writes the next chunk, or proposes the manifest after the last chunk.
    void write_next(apply_effects& out);
    /// Repeats a proposal of unknown outcome; after max_attempts, ends the
    /// command with exit_unknown_outcome.
    void retry_proposal(apply_effects& out);
    void report_conflict(apply_effects& out) const;
    static void exit_with_message(int code,
                                  std::string text,
                                  bool is_error,
                                  apply_effects& out);

    apply_settings settings_;
    manifest_read stored_manifest_;            ///< Result of the latest read.
    std::vector<chunk_pointer> stored_chunks_; ///< Of `stored_manifest_`.
    /// Configuration before the change; null if none was stored.
    std::shared_ptr<configuration const> stored_configuration_;
    std::shared_ptr<configuration const> new_configuration_;
    /// Configuration that another operator declared first.
    std::shared_ptr<configuration const> conflicting_configuration_;
    std::shared_ptr<configuration_manifest const> new_manifest_;
    /// Chunks of the new configuration that the stored manifest does not name.
    std::vector<chunk_pointer> chunks_to_write_;
    std::size_t written_chunk_count_ = 0;
    /// Attempts of the current write that did not succeed.
    std::size_t attempts_ = 0;
    store_revision expected_revision_; ///< Of the manifest to replace.
    bool is_manifest_proposed_ = false;
    bool is_outcome_unknown_ = false; ///< A proposal got no response.
};

static_assert(reducer<apply_command, apply_event, apply_effect>);

} // namespace dotterelrouter
