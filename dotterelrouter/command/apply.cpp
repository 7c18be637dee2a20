#include "dotterelrouter/command/internal/apply.hpp"

#include "dotterelrouter/command/command.hpp"

#include <algorithm>
#include <utility>

namespace dotterelrouter
{
namespace
{

/// Maximum number of attempts of one write whose response is lost or that the
/// platform temporarily rejects.
constexpr std::size_t max_attempts = 5;

/// Lists the changes from `before`, which may be null, to `after`.
std::string format_changes(std::string_view title,
                           configuration const* before,
                           configuration const& after)
{
    auto const empty_configuration = configuration_builder{}.build();
    auto const changes =
        configuration_changes(before ? *before : *empty_configuration, after);
    std::string text(title);
    text += changes.empty() ? " none\n" : "\n";
    for (auto const& change : changes)
    {
        text += "  " + to_string(change) + '\n';
    }
    return text;
}

/// Returns the greater of the successor of `stored_epoch` and the wall clock in
/// ms.
epoch_number next_epoch(epoch_number stored_epoch, instant now)
{
    using std::chrono::milliseconds;
    auto const wall_clock_ms =
        std::chrono::duration_cast<milliseconds>(now.wall.time_since_epoch())
            .count();
    return epoch_number{std::max(stored_epoch.value + 1,
                                 static_cast<std::uint64_t>(wall_clock_ms))};
}

} // namespace

apply_command::apply_command(apply_settings settings)
    : settings_(std::move(settings))
{
}

void apply_command::reduce(apply_event const& next_event,
                           instant now,
                           apply_effects& out)
{
    std::visit(
        [&](auto const& concrete_event)
        {
            on(concrete_event, now, out);
        },
        next_event);
}

void apply_command::on(command_started /*started*/,
                       instant now,
                       apply_effects& out)
{
    // Validates the input before anything is read. The epoch is provisional:
    // prepare_declaration() replaces it once the stored epoch is known.
    try
    {
        new_configuration_ =
            settings_.declaration.epoch(next_epoch({}, now)).build();
    }
    catch (config_error const& error)
    {
        exit_with_message(
            exit_usage_error, error.what() + std::string("\n"), true, out);
        return;
    }
    out.emplace_back(read_manifest{});
}

void apply_command::on(manifest_read const& read,
                       instant now,
                       apply_effects& out)
{
    stored_manifest_ = read;
    stored_chunks_.clear();
    if (is_manifest_proposed_ && read.value &&
        content_hash(*read.value) == content_hash(*new_manifest_))
    {
        exit_with_message(exit_success,
                          "accepted epoch " +
                              std::to_string(new_manifest_->epoch.value) + '\n',
                          false,
                          out);
        return;
    }
    if (is_manifest_proposed_ && read.revision == expected_revision_)
    {
        // The manifest is unchanged so far, but a proposal whose response was
        // lost may still be in flight. Repeating it is safe: both name the same
        // expected revision, so at most one takes effect.
        retry_proposal(out);
        return;
    }
    if (!read.value || read.value->chunks.empty())
    {
        on_stored_configuration_read(now, out);
        return;
    }
    for (auto const hash : read.value->chunks)
    {
        out.emplace_back(read_chunk{hash});
    }
}

void apply_command::on(chunk_read const& read, instant now, apply_effects& out)
{
    if (!read.value)
    {
        exit_with_message(
            exit_failure,
            "a chunk of the stored configuration is missing or malformed\n",
            true,
            out);
        return;
    }
    stored_chunks_.push_back(read.value);
    if (stored_chunks_.size() == stored_manifest_.value->chunks.size())
    {
        on_stored_configuration_read(now, out);
    }
}

void apply_command::on(platform_unavailable const& /*failed*/,
                       instant /*now*/,
                       apply_effects& out)
{
    if (is_outcome_unknown_)
    {
        retry_proposal(out);
        return;
    }
    exit_with_message(exit_failure,
                      "the platform did not answer; nothing was changed\n",
                      true,
                      out);
}

void apply_command::on_stored_configuration_read(instant now,
                                                 apply_effects& out)
{
    std::shared_ptr<configuration const> configuration_read;
    if (stored_manifest_.value)
    {
        try
        {
            configuration_read =
                assemble_configuration(*stored_manifest_.value, stored_chunks_);
        }
        catch (config_error const& error)
        {
            exit_with_message(exit_failure,
                              "the stored configuration is invalid: " +
                                  std::string(error.what()) + '\n',
                              true,
                              out);
            return;
        }
    }
    if (is_manifest_proposed_)
    {
        conflicting_configuration_ = configuration_read;
        report_conflict(out);
        return;
    }
    stored_configuration_ = configuration_read;
    prepare_declaration(now, out);
}

void apply_command::prepare_declaration(instant now, apply_effects& out)
{
    auto const stored_epoch =
        stored_configuration_ ? stored_configuration_->epoch() : epoch_number{};
    if (settings_.base_epoch && *settings_.base_epoch != stored_epoch)
    {
        exit_with_message(
            exit_conflict,
            "conflict: the rules are based on epoch " +
                std::to_string(settings_.base_epoch->value) + ", but epoch " +
                std::to_string(stored_epoch.value) + " is declared\n" +
                format_changes("your changes would be:",
                               stored_configuration_.get(),
                               *new_configuration_),
            true,
            out);
        return;
    }
    if (!passes_loss_check(out))
    {
        return;
    }
    new_configuration_ =
        settings_.declaration.epoch(next_epoch(stored_epoch, now)).build();
    out.emplace_back(print_text{
        format_changes(
            "changes:", stored_configuration_.get(), *new_configuration_),
        false});
    if (settings_.check_only)
    {
        exit_with_message(
            exit_success, "check passed; nothing was written\n", false, out);
        return;
    }
    expected_revision_ = stored_manifest_.revision;
    new_manifest_ = make_manifest(*new_configuration_);
    chunks_to_write_ = split_into_chunks(*new_configuration_);
    // The store already has the chunks that the stored manifest names.
    std::erase_if(chunks_to_write_,
                  [this](chunk_pointer const& chunk)
                  {
                      return stored_manifest_.value &&
                             std::ranges::find(stored_manifest_.value->chunks,
                                               chunk->hash) !=
                                 stored_manifest_.value->chunks.end();
                  });
    write_next(out);
}

bool apply_command::passes_loss_check(apply_effects& out) const
{
    if (!stored_configuration_ || settings_.accept_losses)
    {
        return true;
    }
    auto const losses =
        excessive_server_losses(*stored_configuration_, *new_configuration_);
    if (losses.empty())
    {
        return true;
    }
    std::string text;
    for (auto const& loss : losses)
    {
        text += "service '" + loss.service + "' would lose " +
                std::to_string(loss.lost_count) + " of " +
                std::to_string(loss.previous_count) +
                " servers; pass --accept-losses to allow this\n";
    }
    exit_with_message(
        exit_usage_error, text + "nothing was changed\n", true, out);
    return false;
}

void apply_command::write_next(apply_effects& out)
{
    if (written_chunk_count_ < chunks_to_write_.size())
    {
        out.emplace_back(write_chunk{chunks_to_write_[written_chunk_count_]});
        return;
    }
    is_manifest_proposed_ = true;
    out.emplace_back(propose_manifest{expected_revision_, new_manifest_});
}

void apply_command::on(chunk_write_completed const& result,
                       instant /*now*/,
                       apply_effects& out)
{
    // A conflict means that the store already has this chunk, as the key of a
    // chunk is the hash of its content.
    if (result.status == write_result::applied ||
        result.status == write_result::conflict)
    {
        ++written_chunk_count_;
        attempts_ = 0;
    }
    else if (++attempts_ == max_attempts)
    {
        exit_with_message(exit_failure,
                          "the platform did not store a configuration chunk; "
                          "nothing was changed\n",
                          true,
                          out);
        return;
    }
    write_next(out);
}

void apply_command::on(manifest_proposal_completed const& result,
                       instant /*now*/,
                       apply_effects& out)
{
    switch (result.status)
    {
    case write_result::applied:
        exit_with_message(exit_success,
                          "accepted epoch " +
                              std::to_string(new_manifest_->epoch.value) + '\n',
                          false,
                          out);
        return;
    case write_result::unavailable:
        if (!is_outcome_unknown_)
        {
            exit_with_message(exit_failure,
                              "not accepted: the platform is unavailable\n",
                              true,
                              out);
            return;
        }
        break;
    case write_result::unknown:
        is_outcome_unknown_ = true;
        break;
    case write_result::conflict:
        break;
    }
    out.emplace_back(read_manifest{});
}

void apply_command::retry_proposal(apply_effects& out)
{
    if (++attempts_ < max_attempts)
    {
        out.emplace_back(propose_manifest{expected_revision_, new_manifest_});
        return;
    }
    exit_with_message(exit_unknown_outcome,
                      "the platform does not answer: epoch " +
                          std::to_string(new_manifest_->epoch.value) +
                          " may have been accepted; run `show` to find out\n",
                      true,
                      out);
}

void apply_command::report_conflict(apply_effects& out) const
{
    auto const declared_first = conflicting_configuration_
                                    ? conflicting_configuration_
                                    : configuration_builder{}.build();
    exit_with_message(
        exit_conflict,
        "not accepted, conflict: another operator first declared epoch " +
            std::to_string(declared_first->epoch().value) + '\n' +
            format_changes("their changes:",
                           stored_configuration_.get(),
                           *declared_first) +
            format_changes("your changes:",
                           stored_configuration_.get(),
                           *new_configuration_),
        true,
        out);
}

void apply_command::exit_with_message(int code,
                                      std::string text,
                                      bool is_error,
                                      apply_effects& out)
{
    out.emplace_back(print_text{std::move(text), is_error});
    out.emplace_back(exit_command{code});
}

} // namespace dotterelrouter
