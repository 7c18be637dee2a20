#include "dotterelrouter/store_client/internal/platform_calls.hpp"

#include "dotterelrouter/codec/codec.hpp"
#include "dotterelrouter/store_client/internal/store_protocol.hpp"

#include <list>
#include <string>
#include <vector>

namespace dotterelrouter
{
namespace
{

constexpr int status_ok = 200;
constexpr int status_not_modified = 304;
constexpr int status_not_found = 404;
constexpr int status_precondition_failed = 412;
constexpr int first_server_error_status = 500;
constexpr int status_unavailable = 503;

/// Header of all responses; see `store_revision::era`.
constexpr std::string_view era_header = "Store-Era";

std::string key_path(std::string_view key)
{
    return "/keys/" + std::string(key);
}

/// ETag of a revision, with its quotes.
std::string to_etag(store_revision revision)
{
    return '"' + std::to_string(revision.value) + '"';
}

std::string watch_query(store_revision revision, duration timeout)
{
    using std::chrono::milliseconds;
    auto const timeout_ms = std::chrono::duration_cast<milliseconds>(timeout);
    return "?watch=" + std::to_string(revision.value) +
           "&era=" + std::to_string(revision.era) +
           "&timeout=" + std::to_string(timeout_ms.count());
}

/// Era that the response names; 0 if it names none.
std::uint64_t parse_era(http_response const& response)
{
    return parse_number(response.header).value_or(0);
}

/// Revision in the ETag, 0 if there is no valid one, with its era.
store_revision parse_revision(http_response const& response)
{
    return {parse_number(response.etag).value_or(0), parse_era(response)};
}

bool has_status(http_response const& response, int status)
{
    return response.result == http_result::answered &&
           response.status == status;
}

/// Decodes the assignments among `entries`, which were read in `era`; skips
/// entries whose key or value is not that of an assignment.
std::vector<stored_assignment>
decode_assignments(std::span<stored_entry const> entries, std::uint64_t era)
{
    std::vector<stored_assignment> assignments;
    for (auto const& entry : entries)
    {
        auto const slot = parse_assignment_key(entry.key);
        auto const value = decode_assignment(entry.value);
        if (slot && value)
        {
            assignments.push_back({*slot, {entry.revision.value, era}, *value});
        }
    }
    return assignments;
}

} // namespace

write_result compare_and_swap_status(http_response const& response)
{
    switch (response.result)
    {
    case http_result::not_sent:
        return write_result::unavailable;
    case http_result::no_response:
        return write_result::unknown;
    case http_result::answered:
        break;
    }
    if (response.status == status_ok)
    {
        return write_result::applied;
    }
    if (response.status == status_precondition_failed)
    {
        return write_result::conflict;
    }
    // Other server errors can follow a write that took effect.
    auto const is_outcome_open = response.status >= first_server_error_status &&
                                 response.status != status_unavailable;
    return is_outcome_open ? write_result::unknown : write_result::unavailable;
}

http_request compare_and_swap_request(std::string_view key,
                                      store_revision expected,
                                      byte_view value,
                                      duration timeout)
{
    auto request = create_request(key, value, timeout);
    request.path += "?era=" + std::to_string(expected.era);
    if (expected.value != 0)
    {
        request.if_none_match.clear();
        request.if_match = to_etag(expected);
    }
    return request;
}

http_request
create_request(std::string_view key, byte_view value, duration timeout)
{
    return {.method = http_method::put,
            .path = key_path(key),
            .if_none_match = "*",
            .body = value,
            .timeout = timeout};
}

struct platform_calls::state
{
    /// An effect whose calls have not all ended.
    struct operation
    {
        state* owner = nullptr;
        slot_id slot;             ///< Used by propose_assignment.
        chunk_hash chunk;         ///< Used by read_chunk.
        restore_manifest restore; ///< Used by restore_manifest.
        std::size_t restored_chunk_count = 0;
    };

    state(platform_settings client_settings,
          event_base* loop,
          void* event_sink,
          event_callback callback)
        : settings(client_settings),
          client(
              loop,
              {.local_ip = client_settings.local_ip,
               .max_concurrent_calls = client_settings.max_concurrent_calls}),
          sink(event_sink), deliver_callback(callback)
    {
    }

    /// The reference is valid until `remove_operation`.
    operation& add_operation()
    {
        auto& added = operations.emplace_back();
        added.owner = this;
        return added;
    }

    void remove_operation(operation const& ended)
    {
        operations.remove_if(
            [&ended](operation const& candidate)
            {
                return &candidate == &ended;
            });
    }

    /// Starts a call whose callback gets `current` as its context.
    void start(http_request request, operation& current, http_callback callback)
    {
        request.destination = settings.platform_endpoint;
        request.response_header = era_header;
        client.start(request, &current, callback);
    }

    /// Request for a read; with `watch` set, a long poll for a revision other
    /// than `revision`.
    http_request
    read_request(std::string path, bool watch, store_revision revision) const
    {
        http_request request{.path = std::move(path),
                             .timeout = settings.call_timeout};
        if (watch)
        {
            request.path += watch_query(revision, settings.long_poll_timeout);
            request.timeout += settings.long_poll_timeout;
        }
        return request;
    }

    void deliver(event const& next_event) const
    {
        deliver_callback(sink, next_event);
    }

    void deliver_unavailable(platform_read read, chunk_hash chunk = {}) const
    {
        deliver(platform_unavailable{read, chunk});
    }

    /// Callback of the HTTP client; `context` is the operation.
    template <void (state::*Handler)(operation&, http_response const&)>
    static void on_response(void* context, http_response const& response)
    {
        auto& current = *static_cast<operation*>(context);
        (current.owner->*Handler)(current, response);
    }

    void on_assignments_response(operation& current,
                                 http_response const& response)
    {
        remove_operation(current);
        if (has_status(response, status_not_modified))
        {
            deliver(assignments_read{{}, false, parse_era(response)});
            return;
        }
        auto const entries = has_status(response, status_ok)
                                 ? parse_entries(response.body)
                                 : std::nullopt;
        if (!entries)
        {
            deliver_unavailable(platform_read::assignments);
            return;
        }
        last_assignments_revision = parse_revision(response);
        auto const era = last_assignments_revision.era;
        auto const assignments = decode_assignments(*entries, era);
        auto const unreadable_entries =
            static_cast<std::uint32_t>(entries->size() - assignments.size());
        deliver(assignments_read{
            assignments, response.complete, era, unreadable_entries});
    }

    void on_proposal_response(operation& current, http_response const& response)
    {
        proposal_completed const result{current.slot,
                                        compare_and_swap_status(response)};
        remove_operation(current);
        deliver(result);
    }

    void on_manifest_response(operation& current, http_response const& response)
    {
        remove_operation(current);
        if (has_status(response, status_not_modified))
        {
            deliver(last_manifest);
            return;
        }
        if (has_status(response, status_not_found))
        {
            last_manifest = {{0, parse_era(response)}, nullptr};
            deliver(last_manifest);
            return;
        }
        auto const manifest = has_status(response, status_ok)
                                  ? decode_manifest(response.body)
                                  : nullptr;
        if (!manifest)
        {
            deliver_unavailable(platform_read::manifest);
            return;
        }
        last_manifest = {parse_revision(response), manifest};
        deliver(last_manifest);
    }

    void on_chunk_response(operation& current, http_response const& response)
    {
        auto const hash = current.chunk;
        remove_operation(current);
        if (has_status(response, status_ok))
        {
            deliver(chunk_read{hash, decode_chunk(response.body)});
        }
        else if (has_status(response, status_not_found))
        {
            deliver(chunk_read{hash, nullptr});
        }
        else
        {
            deliver_unavailable(platform_read::chunk, hash);
        }
    }

    /// Writes the next chunk, or the manifest once all chunks are written.
    void write_next_restored_value(operation& current)
    {
        auto const& chunks = current.restore.chunks;
        if (current.restored_chunk_count < chunks.size())
        {
            auto const& chunk = *chunks.at(current.restored_chunk_count);
            auto const bytes = encode_value(chunk);
            start(create_request(
                      chunk_key(chunk.hash), bytes, settings.call_timeout),
                  current,
                  &on_response<&state::on_restored_chunk_response>);
            return;
        }
        auto const bytes = encode_value(*current.restore.value);
        start(compare_and_swap_request(manifest_key,
                                       current.restore.expected,
                                       bytes,
                                       settings.call_timeout),
              current,
              &on_response<&state::on_restored_manifest_response>);
    }

    /// A chunk whose key exists already counts as written: the key is made
    /// from the chunk's hash.
    void on_restored_chunk_response(operation& current,
                                    http_response const& response)
    {
        if (!has_status(response, status_ok) &&
            !has_status(response, status_precondition_failed))
        {
            remove_operation(current);
            return;
        }
        ++current.restored_chunk_count;
        write_next_restored_value(current);
    }

    void on_restored_manifest_response(operation& current,
                                       http_response const& /*response*/)
    {
        remove_operation(current);
    }

    void on_vm_list_response(operation& current, http_response const& response)
    {
        remove_operation(current);
        auto const list = has_status(response, status_ok)
                              ? parse_vm_list(response.body)
                              : std::nullopt;
        if (!list)
        {
            deliver_unavailable(platform_read::vm_list);
            return;
        }
        std::vector<vm_record> records;
        for (auto const& vm : list->vms)
        {
            records.push_back(
                {.control = {vm.ip, settings.control_port},
                 .data = {vm.ip, settings.data_port},
                 .data_centre = data_centre_id{id_from_name(vm.data_centre)},
                 .draining = vm.is_draining});
        }
        deliver(vm_list_read{records, list->unreadable_entries});
    }

    platform_settings settings;
    http_client client;
    void* sink;
    event_callback deliver_callback;
    std::list<operation> operations;
    store_revision last_assignments_revision; ///< 0 before the first read.
    manifest_read last_manifest;
};

platform_calls::platform_calls(platform_settings settings,
                               event_base* loop,
                               void* sink,
                               event_callback deliver_callback)
    : state_(std::make_unique<state>(settings, loop, sink, deliver_callback))
{
}

platform_calls::~platform_calls() = default;

void platform_calls::execute(read_assignments const& requested_effect)
{
    state_->start(
        state_->read_request("/prefix/" + std::string(assignment_key_prefix),
                             requested_effect.watch,
                             state_->last_assignments_revision),
        state_->add_operation(),
        &state::on_response<&state::on_assignments_response>);
}

void platform_calls::execute(propose_assignment const& requested_effect)
{
    auto const bytes = encode_value(requested_effect.value);
    auto& started = state_->add_operation();
    started.slot = requested_effect.slot;
    state_->start(
        compare_and_swap_request(assignment_key(requested_effect.slot),
                                 requested_effect.expected,
                                 bytes,
                                 state_->settings.call_timeout),
        started,
        &state::on_response<&state::on_proposal_response>);
}

void platform_calls::execute(read_manifest const& requested_effect)
{
    state_->start(state_->read_request(key_path(manifest_key),
                                       requested_effect.watch,
                                       state_->last_manifest.revision),
                  state_->add_operation(),
                  &state::on_response<&state::on_manifest_response>);
}

void platform_calls::execute(read_chunk const& requested_effect)
{
    auto& started = state_->add_operation();
    started.chunk = requested_effect.hash;
    state_->start(state_->read_request(
                      key_path(chunk_key(requested_effect.hash)), false, {}),
                  started,
                  &state::on_response<&state::on_chunk_response>);
}

void platform_calls::execute(restore_manifest const& requested_effect)
{
    auto& started = state_->add_operation();
    started.restore = requested_effect;
    state_->write_next_restored_value(started);
}

void platform_calls::execute(read_vm_list const& /*requested_effect*/)
{
    state_->start(state_->read_request("/vms", false, {}),
                  state_->add_operation(),
                  &state::on_response<&state::on_vm_list_response>);
}

} // namespace dotterelrouter
