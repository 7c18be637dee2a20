// Decides how a configuration is declared: reads what is stored, checks,
// writes the chunks, then swaps the manifest. A reducer over its own events.
//
//     apply_command state({.declared = builder, .base = {}});
//     state.reduce(command_started{}, now, out); // out: read_manifest{}
#pragma once

#include "dotterelrouter/config/config.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dotterelrouter
{

/// What `apply` was told.
struct apply_settings
{
    configuration_builder declaration;
    std::optional<epoch_number>
        base_epoch;             ///< Epoch the operator started from.
    bool accept_losses = false; ///< Services may lose most servers.
    bool check_only = false;    ///< Nothing is written.
};

struct command_started
{
};

/// A chunk has been written, or not.
struct chunk_written
{
    store_status status = store_status::unknown;
};

/// The manifest's compare-and-swap has ended.
struct manifest_proposed
{
    store_status status = store_status::unknown;
};

using apply_event = std::variant<command_started,
                                 manifest_read,
                                 chunk_read,
                                 platform_unavailable,
                                 chunk_written,
                                 manifest_proposed>;

/// Write a chunk, unless it is there already.
struct write_chunk
{
    std::shared_ptr<configuration_chunk const> value;
};

/// Compare-and-swap the manifest.
struct propose_manifest
{
    store_revision expected;
    std::shared_ptr<configuration_manifest const> value;
};

/// Write text for the operator; errors go to standard error.
struct print_text
{
    std::string text;
    bool is_error = false;
};

/// End the command.
struct exit_with
{
    int code = 0;
};

using apply_effect = std::variant<read_manifest,
                                  read_chunk,
                                  write_chunk,
                                  propose_manifest,
                                  print_text,
                                  exit_with>;
using apply_effects = std::vector<apply_effect>;

/// The reducer. The new epoch is above the stored one and not below the wall
/// clock in milliseconds, so that an epoch is never used twice, also after
/// the store went back to an old copy.
class apply_command
{
public:
    explicit apply_command(apply_settings settings);

    void reduce(apply_event const& happened, instant now, apply_effects& out);

private:
    using chunk_pointer = std::shared_ptr<configuration_chunk const>;

    void on(command_started, instant now, apply_effects& out);
    void on(manifest_read const& read, instant now, apply_effects& out);
    void on(chunk_read const& read, instant now, apply_effects& out);
    void on(platform_unavailable const&, instant now, apply_effects& out);
    void on(chunk_written const& ended, instant now, apply_effects& out);
    void on(manifest_proposed const& ended, instant now, apply_effects& out);

    void have_stored(instant now, apply_effects& out);
    void have_base(instant now, apply_effects& out);
    [[nodiscard]] bool acceptable(apply_effects& out) const;
    void write_next(apply_effects& out);
    void resolve(apply_effects& out);
    void conflict(apply_effects& out) const;
    static void
    end(int code, std::string text, bool is_error, apply_effects& out);

    apply_settings settings_;
    manifest_read stored_;
    std::vector<chunk_pointer> stored_chunks_;
    std::shared_ptr<configuration const> base_; ///< Null: none was stored.
    std::shared_ptr<configuration const> wanted_;
    std::shared_ptr<configuration const> theirs_;
    std::shared_ptr<configuration_manifest const> manifest_;
    std::vector<chunk_pointer> chunks_;
    std::size_t written_ = 0;
    std::size_t tries_ = 0;
    store_revision expected_;
    bool proposed_ = false; ///< The manifest has been sent at least once.
    bool unknown_ = false;  ///< A swap's answer was lost.
};

static_assert(reducer<apply_command, apply_event, apply_effect>);

} // namespace dotterelrouter
