#include "dotterelrouter/command/internal/apply.hpp"

#include "dotterelrouter/command/command.hpp"

#include <algorithm>
#include <utility>

namespace dotterelrouter
{
namespace
{

/// Tries of one write whose answer is lost or that is refused for a while.
constexpr std::size_t max_tries = 5;

std::string changes_text(std::string_view title,
                         configuration const* before,
                         configuration const& after)
{
    auto const empty = configuration_builder{}.build();
    auto const changes = difference(before ? *before : *empty, after);
    std::string text(title);
    text += changes.empty() ? " no change\n" : "\n";
    for (auto const& change : changes)
    {
        text += "  " + to_string(change) + '\n';
    }
    return text;
}

epoch_number next_epoch(epoch_number stored, instant now)
{
    using std::chrono::milliseconds;
    auto const clock =
        std::chrono::duration_cast<milliseconds>(now.wall.time_since_epoch())
            .count();
    return epoch_number{
        std::max(stored.value + 1, static_cast<std::uint64_t>(clock))};
}

} // namespace

apply_command::apply_command(apply_settings settings)
    : settings_(std::move(settings))
{
}

void apply_command::reduce(apply_event const& happened,
                           instant now,
                           apply_effects& out)
{
    std::visit(
        [&](auto const& one)
        {
            on(one, now, out);
        },
        happened);
}

void apply_command::on(command_started /*started*/,
                       instant now,
                       apply_effects& out)
{
    try
    {
        wanted_ = settings_.declaration.epoch(next_epoch({}, now)).build();
    }
    catch (config_error const& error)
    {
        end(exit_usage_error, error.what() + std::string("\n"), true, out);
        return;
    }
    out.emplace_back(read_manifest{});
}

void apply_command::on(manifest_read const& read,
                       instant now,
                       apply_effects& out)
{
    stored_ = read;
    stored_chunks_.clear();
    if (proposed_ && read.value &&
        hash_of_content(*read.value) == hash_of_content(*manifest_))
    {
        end(exit_success,
            "accepted epoch " + std::to_string(manifest_->epoch.value) + '\n',
            false,
            out);
        return;
    }
    if (proposed_ && read.revision == expected_)
    {
        // Not accepted so far; a lost swap may still be on its way, and the
        // same swap again takes effect at most once.
        resolve(out);
        return;
    }
    if (!read.value || read.value->chunks.empty())
    {
        have_stored(now, out);
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
        end(exit_failure,
            "a chunk of the stored configuration is missing or malformed\n",
            true,
            out);
        return;
    }
    stored_chunks_.push_back(read.value);
    if (stored_chunks_.size() == stored_.value->chunks.size())
    {
        have_stored(now, out);
    }
}

void apply_command::on(platform_unavailable const& /*failed*/,
                       instant /*now*/,
                       apply_effects& out)
{
    if (unknown_)
    {
        resolve(out);
        return;
    }
    end(exit_failure,
        "the platform did not answer; nothing was changed\n",
        true,
        out);
}

void apply_command::have_stored(instant now, apply_effects& out)
{
    std::shared_ptr<configuration const> stored;
    if (stored_.value)
    {
        try
        {
            stored = assemble(*stored_.value, stored_chunks_);
        }
        catch (config_error const& error)
        {
            end(exit_failure,
                "the stored configuration does not check: " +
                    std::string(error.what()) + '\n',
                true,
                out);
            return;
        }
    }
    if (proposed_)
    {
        theirs_ = stored;
        conflict(out);
        return;
    }
    base_ = stored;
    have_base(now, out);
}

void apply_command::have_base(instant now, apply_effects& out)
{
    auto const stored = base_ ? base_->epoch() : epoch_number{};
    if (settings_.base_epoch && *settings_.base_epoch != stored)
    {
        end(exit_conflict,
            "conflict: your rules start from epoch " +
                std::to_string(settings_.base_epoch->value) + ", but epoch " +
                std::to_string(stored.value) + " is declared\n" +
                changes_text("your change would be:", base_.get(), *wanted_),
            true,
            out);
        return;
    }
    if (!acceptable(out))
    {
        return;
    }
    wanted_ = settings_.declaration.epoch(next_epoch(stored, now)).build();
    out.emplace_back(
        print_text{changes_text("changes:", base_.get(), *wanted_), false});
    if (settings_.check_only)
    {
        end(exit_success, "checked, nothing was written\n", false, out);
        return;
    }
    expected_ = stored_.revision;
    manifest_ = manifest_of(*wanted_);
    chunks_ = split(*wanted_);
    // Chunks that the stored manifest names are there already.
    std::erase_if(chunks_,
                  [this](chunk_pointer const& chunk)
                  {
                      return stored_.value &&
                             std::ranges::find(stored_.value->chunks,
                                               chunk->hash) !=
                                 stored_.value->chunks.end();
                  });
    write_next(out);
}

bool apply_command::acceptable(apply_effects& out) const
{
    if (!base_ || settings_.accept_losses)
    {
        return true;
    }
    auto const losses = excessive_losses(*base_, *wanted_);
    if (losses.empty())
    {
        return true;
    }
    std::string text;
    for (auto const& loss : losses)
    {
        text += "service '" + loss.service + "' would lose " +
                std::to_string(loss.lost) + " of " +
                std::to_string(loss.before) +
                " servers; --accept-losses allows it\n";
    }
    end(exit_usage_error, text + "nothing was changed\n", true, out);
    return false;
}

void apply_command::write_next(apply_effects& out)
{
    if (written_ < chunks_.size())
    {
        out.emplace_back(write_chunk{chunks_[written_]});
        return;
    }
    proposed_ = true;
    out.emplace_back(propose_manifest{expected_, manifest_});
}

void apply_command::on(chunk_written const& ended,
                       instant /*now*/,
                       apply_effects& out)
{
    // A conflict means that the chunk is there: its key is its content.
    if (ended.status == store_status::done ||
        ended.status == store_status::conflict)
    {
        ++written_;
        tries_ = 0;
    }
    else if (++tries_ == max_tries)
    {
        end(exit_failure,
            "the platform did not take a chunk; nothing was changed\n",
            true,
            out);
        return;
    }
    write_next(out);
}

void apply_command::on(manifest_proposed const& ended,
                       instant /*now*/,
                       apply_effects& out)
{
    switch (ended.status)
    {
    case store_status::done:
        end(exit_success,
            "accepted epoch " + std::to_string(manifest_->epoch.value) + '\n',
            false,
            out);
        return;
    case store_status::unavailable:
        if (!unknown_)
        {
            end(exit_failure,
                "not accepted: the platform is unavailable\n",
                true,
                out);
            return;
        }
        break;
    case store_status::unknown:
        unknown_ = true;
        break;
    case store_status::conflict:
        break;
    }
    out.emplace_back(read_manifest{});
}

void apply_command::resolve(apply_effects& out)
{
    if (++tries_ < max_tries)
    {
        out.emplace_back(propose_manifest{expected_, manifest_});
        return;
    }
    end(exit_unknown_outcome,
        "the platform does not answer: epoch " +
            std::to_string(manifest_->epoch.value) +
            " may have been accepted, look with `show`\n",
        true,
        out);
}

void apply_command::conflict(apply_effects& out) const
{
    auto const theirs = theirs_ ? theirs_ : configuration_builder{}.build();
    end(exit_conflict,
        "not accepted, conflict: another operator was first with epoch " +
            std::to_string(theirs->epoch().value) + '\n' +
            changes_text("their change:", base_.get(), *theirs) +
            changes_text("your change:", base_.get(), *wanted_),
        true,
        out);
}

void apply_command::end(int code,
                        std::string text,
                        bool is_error,
                        apply_effects& out)
{
    out.emplace_back(print_text{std::move(text), is_error});
    out.emplace_back(exit_with{code});
}

} // namespace dotterelrouter
