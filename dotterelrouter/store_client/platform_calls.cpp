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

std::string path_of(std::string_view key)
{
    return "/keys/" + std::string(key);
}

std::string quoted(store_revision revision)
{
    return '"' + std::to_string(revision.value) + '"';
}

std::string watch_query(store_revision since, duration length)
{
    using std::chrono::milliseconds;
    auto const wait = std::chrono::duration_cast<milliseconds>(length);
    return "?watch=" + std::to_string(since.value) +
           "&timeout=" + std::to_string(wait.count());
}

store_revision revision_of(http_response const& response)
{
    return store_revision{parse_number(response.etag).value_or(0)};
}

bool is(http_response const& response, int status)
{
    return response.result == http_result::answered &&
           response.status == status;
}

/// Assignments of a body; entries that are no assignments are left out.
std::vector<stored_assignment>
assignments_of(std::span<stored_entry const> entries)
{
    std::vector<stored_assignment> found;
    for (auto const& entry : entries)
    {
        auto const slot = slot_of_key(entry.key);
        auto const value = decode_assignment(entry.value);
        if (slot && value)
        {
            found.push_back({*slot, entry.revision, *value});
        }
    }
    return found;
}

} // namespace

store_status swap_status(http_response const& response)
{
    switch (response.result)
    {
    case http_result::not_sent:
        return store_status::unavailable;
    case http_result::lost:
        return store_status::unknown;
    case http_result::answered:
        break;
    }
    if (response.status == status_ok)
    {
        return store_status::done;
    }
    return response.status == status_precondition_failed
               ? store_status::conflict
               : store_status::unavailable;
}

http_request swap_request(std::string_view key,
                          store_revision expected,
                          byte_view value,
                          duration timeout)
{
    http_request request{.method = http_method::put,
                         .path = path_of(key),
                         .body = value,
                         .timeout = timeout};
    if (expected == store_revision{})
    {
        request.if_none_match = "*";
    }
    else
    {
        request.if_match = quoted(expected);
    }
    return request;
}

struct platform_calls::state
{
    /// One effect being carried out.
    struct operation
    {
        state* owner = nullptr;
        slot_id slot;
        chunk_hash chunk;
        restore_manifest restoring;
        std::size_t restored_chunks = 0;
    };

    state(platform_settings with,
          event_base* loop,
          void* receiver,
          event_callback call)
        : settings(with),
          client(loop,
                 {.local_ip = with.local_ip, .max_calls = with.max_calls}),
          sink(receiver), deliver(call)
    {
    }

    operation& begin()
    {
        auto& made = operations.emplace_back();
        made.owner = this;
        return made;
    }

    void end(operation const& done)
    {
        operations.remove_if(
            [&done](operation const& item)
            {
                return &item == &done;
            });
    }

    void start(http_request request, operation& of, http_callback done)
    {
        request.to = settings.service;
        client.start(request, &of, done);
    }

    http_request
    read_request(std::string path, bool watch, store_revision since) const
    {
        http_request request{.path = std::move(path),
                             .timeout = settings.call_timeout};
        if (watch)
        {
            request.path += watch_query(since, settings.watch_length);
            request.timeout += settings.watch_length;
        }
        return request;
    }

    void tell(event const& happened) const
    {
        deliver(sink, happened);
    }

    void fail(platform_read what, chunk_hash chunk = {}) const
    {
        tell(platform_unavailable{what, chunk});
    }

    template <void (state::*Handler)(operation&, http_response const&)>
    static void on_response(void* context, http_response const& response)
    {
        auto& of = *static_cast<operation*>(context);
        (of.owner->*Handler)(of, response);
    }

    void assignments_answered(operation& of, http_response const& response)
    {
        end(of);
        if (is(response, status_not_modified))
        {
            tell(assignments_read{});
            return;
        }
        auto const entries = is(response, status_ok)
                                 ? parse_entries(response.body)
                                 : std::nullopt;
        if (!entries)
        {
            fail(platform_read::assignments);
            return;
        }
        assignments_revision = revision_of(response);
        auto const found = assignments_of(*entries);
        tell(assignments_read{found, response.complete});
    }

    void proposal_answered(operation& of, http_response const& response)
    {
        assignment_proposed const ended{of.slot, swap_status(response)};
        end(of);
        tell(ended);
    }

    void manifest_answered(operation& of, http_response const& response)
    {
        end(of);
        if (is(response, status_not_modified))
        {
            tell(last_manifest);
            return;
        }
        if (is(response, status_not_found))
        {
            last_manifest = {};
            tell(last_manifest);
            return;
        }
        auto const value =
            is(response, status_ok) ? decode_manifest(response.body) : nullptr;
        if (!value)
        {
            fail(platform_read::manifest);
            return;
        }
        last_manifest = {revision_of(response), value};
        tell(last_manifest);
    }

    void chunk_answered(operation& of, http_response const& response)
    {
        auto const hash = of.chunk;
        end(of);
        if (is(response, status_ok))
        {
            tell(chunk_read{hash, decode_chunk(response.body)});
        }
        else if (is(response, status_not_found))
        {
            tell(chunk_read{hash, nullptr});
        }
        else
        {
            fail(platform_read::chunk, hash);
        }
    }

    /// Writes the next chunk, or the manifest when all chunks are there.
    void restore_next(operation& of)
    {
        auto const& chunks = of.restoring.chunks;
        if (of.restored_chunks < chunks.size())
        {
            auto const& chunk = *chunks.at(of.restored_chunks);
            auto const bytes = encode_value(chunk);
            start(swap_request(
                      key_of(chunk.hash), {}, bytes, settings.call_timeout),
                  of,
                  &on_response<&state::restore_answered>);
            return;
        }
        auto const bytes = encode_value(*of.restoring.value);
        start(swap_request(manifest_key,
                           of.restoring.expected,
                           bytes,
                           settings.call_timeout),
              of,
              &on_response<&state::restore_ended>);
    }

    void restore_answered(operation& of, http_response const& response)
    {
        if (!is(response, status_ok) &&
            !is(response, status_precondition_failed))
        {
            end(of);
            return;
        }
        ++of.restored_chunks;
        restore_next(of);
    }

    void restore_ended(operation& of, http_response const& /*response*/)
    {
        end(of);
    }

    void vms_answered(operation& of, http_response const& response)
    {
        end(of);
        auto const vms = is(response, status_ok) ? parse_vm_list(response.body)
                                                 : std::nullopt;
        if (!vms)
        {
            fail(platform_read::vm_list);
            return;
        }
        std::vector<vm_record> records;
        for (auto const& vm : *vms)
        {
            records.push_back(
                {.control = {vm.ip, settings.control_port},
                 .data = {vm.ip, settings.data_port},
                 .data_centre = data_centre_id{id_from_name(vm.data_centre)},
                 .leaving = vm.leaving});
        }
        tell(vm_list_read{records});
    }

    platform_settings settings;
    http_client client;
    void* sink;
    event_callback deliver;
    std::list<operation> operations;
    store_revision assignments_revision;
    manifest_read last_manifest;
};

platform_calls::platform_calls(platform_settings settings,
                               event_base* loop,
                               void* sink,
                               event_callback deliver)
    : state_(std::make_unique<state>(settings, loop, sink, deliver))
{
}

platform_calls::~platform_calls() = default;

void platform_calls::carry_out(read_assignments const& asked)
{
    state_->start(
        state_->read_request("/prefix/" + std::string(assignments_prefix),
                             asked.watch,
                             state_->assignments_revision),
        state_->begin(),
        &state::on_response<&state::assignments_answered>);
}

void platform_calls::carry_out(propose_assignment const& asked)
{
    auto const bytes = encode_value(asked.value);
    auto& of = state_->begin();
    of.slot = asked.slot;
    state_->start(swap_request(key_of(asked.slot),
                               asked.expected,
                               bytes,
                               state_->settings.call_timeout),
                  of,
                  &state::on_response<&state::proposal_answered>);
}

void platform_calls::carry_out(read_manifest const& asked)
{
    state_->start(state_->read_request(path_of(manifest_key),
                                       asked.watch,
                                       state_->last_manifest.revision),
                  state_->begin(),
                  &state::on_response<&state::manifest_answered>);
}

void platform_calls::carry_out(read_chunk const& asked)
{
    auto& of = state_->begin();
    of.chunk = asked.hash;
    state_->start(state_->read_request(path_of(key_of(asked.hash)), false, {}),
                  of,
                  &state::on_response<&state::chunk_answered>);
}

void platform_calls::carry_out(restore_manifest const& asked)
{
    auto& of = state_->begin();
    of.restoring = asked;
    state_->restore_next(of);
}

void platform_calls::carry_out(read_vm_list const& /*asked*/)
{
    state_->start(state_->read_request("/vms", false, {}),
                  state_->begin(),
                  &state::on_response<&state::vms_answered>);
}

} // namespace dotterelrouter
