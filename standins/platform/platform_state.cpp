#include "standins/platform/platform_state.hpp"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace dotterelrouter::standins
{
namespace
{

using std::chrono::milliseconds;

constexpr std::string_view keys_path = "/keys/";
constexpr std::string_view prefix_path = "/prefix/";
constexpr int status_not_modified = 304;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_precondition_failed = 412;
constexpr int status_unavailable = 503;

std::string_view value_of(query_parameters const& query, std::string_view name)
{
    auto const found = query.find(name);
    return found == query.end() ? std::string_view{}
                                : std::string_view{found->second};
}

milliseconds length_of(query_parameters const& query, std::string_view name)
{
    return milliseconds{parse_number(value_of(query, name)).value_or(0)};
}

/// Revision of a header such as "17", quotes included.
std::optional<std::uint64_t> revision_in(std::string_view header)
{
    if (header.size() < 2 || header.front() != '"' || header.back() != '"')
    {
        return std::nullopt;
    }
    return parse_number(header.substr(1, header.size() - 2));
}

byte_view bytes_of(std::string_view text)
{
    return std::as_bytes(std::span{text.data(), text.size()});
}

} // namespace

platform_state::platform_state(std::uint64_t seed) : random_(seed)
{
}

void platform_state::reduce(platform_event const& happened,
                            instant now,
                            platform_effects& out)
{
    std::visit(
        [&](auto const& one)
        {
            on(one, now, out);
        },
        happened);
    if (auto const next = next_wake())
    {
        out.emplace_back(wake_at{*next});
    }
}

void platform_state::on(call_received const& call,
                        instant now,
                        platform_effects& out)
{
    if (control(call, now, out))
    {
        return;
    }
    auto const watching = call.query.contains("watch");
    ++counts_[call.method == http_method::put ? "writes"
              : watching                      ? "watches"
                                              : "reads"];
    if (cut_.contains(call.caller_ip))
    {
        out.emplace_back(drop_call{call.call});
        return;
    }
    if (outage_)
    {
        answer(call, {.status = status_unavailable, .body = {}}, now, out);
        return;
    }
    drop_lapsed(now);
    if (call.method == http_method::put && call.path.starts_with(keys_path))
    {
        put(call, now, out);
    }
    else if (call.method == http_method::get)
    {
        get(call, now, out);
    }
    else
    {
        answer(call, {.status = status_bad_request, .body = {}}, now, out);
    }
}

void platform_state::on(call_ended const& ended,
                        instant /*now*/,
                        platform_effects& /*out*/)
{
    std::erase_if(watches_,
                  [&](watch const& item)
                  {
                      return item.call.call == ended.call;
                  });
}

void platform_state::on(timer_fired const& /*fired*/,
                        instant now,
                        platform_effects& out)
{
    drop_lapsed(now);
    for (auto const& item : delayed_)
    {
        if (item.when <= now.steady)
        {
            out.push_back(item.what);
        }
    }
    std::erase_if(delayed_,
                  [&](delayed const& item)
                  {
                      return item.when <= now.steady;
                  });
    for (auto const& item : vm_changes_)
    {
        if (item.when <= now.steady)
        {
            vms_ = item.body;
        }
    }
    std::erase_if(vm_changes_,
                  [&](vm_change const& item)
                  {
                      return item.when <= now.steady;
                  });
    answer_watches(now, out);
}

bool platform_state::control(call_received const& call,
                             instant now,
                             platform_effects& out)
{
    if (call.path == "/counts")
    {
        out.emplace_back(answer_call{
            .call = call.call, .revision = {}, .body = counts_body()});
        return true;
    }
    if (call.method != http_method::post)
    {
        return false;
    }
    auto const name = std::string(value_of(call.query, "name"));
    int status = 200;
    if (call.path == "/faults")
    {
        set_faults(call.query);
    }
    else if (call.path == "/copies/save")
    {
        copies_[name] = store_;
    }
    else if (call.path == "/copies/restore" && copies_.contains(name))
    {
        store_ = copies_.at(name);
        answer_watches(now, out);
    }
    else if (call.path == "/vms")
    {
        vm_changes_.push_back(
            {call.body, now.steady + length_of(call.query, "lag_ms")});
    }
    else
    {
        status = status_bad_request;
    }
    out.emplace_back(answer_call{
        .call = call.call, .status = status, .revision = {}, .body = {}});
    return true;
}

void platform_state::set_faults(query_parameters const& query)
{
    if (query.contains("outage"))
    {
        outage_ = value_of(query, "outage") == "1";
    }
    if (query.contains("slow_ms"))
    {
        slow_ = length_of(query, "slow_ms");
    }
    if (query.contains("lose_answers"))
    {
        lose_answers_ = std::strtod(
            std::string(value_of(query, "lose_answers")).c_str(), nullptr);
    }
    if (auto const ip = parse_ip(value_of(query, "cut")))
    {
        cut_.insert(*ip);
    }
    if (auto const ip = parse_ip(value_of(query, "heal")))
    {
        cut_.erase(*ip);
    }
}

void platform_state::get(call_received const& call,
                         instant now,
                         platform_effects& out)
{
    if (call.path == "/vms")
    {
        answer(call, {.body = vms_}, now, out);
        return;
    }
    auto const prefix = call.path.starts_with(prefix_path);
    if (!prefix && !call.path.starts_with(keys_path))
    {
        answer(call, {.status = status_not_found, .body = {}}, now, out);
        return;
    }
    auto const since = parse_number(value_of(call.query, "watch"));
    watch const wanted{
        .call = call,
        .key = call.path.substr((prefix ? prefix_path : keys_path).size()),
        .prefix = prefix,
        .since = store_revision{since.value_or(0)},
        .ends = now.steady + length_of(call.query, "timeout")};
    if (since && !changed(wanted))
    {
        watches_.push_back(wanted);
        return;
    }
    read(wanted, status_not_found, now, out);
}

void platform_state::put(call_received const& call,
                         instant now,
                         platform_effects& out)
{
    auto const key = call.path.substr(keys_path.size());
    auto const found = store_.entries.find(key);
    auto const exists = found != store_.entries.end();
    auto const expected = revision_in(call.if_match);
    auto const allowed =
        call.if_none_match == "*"
            ? !exists
            : exists && expected && found->second.revision.value == *expected;
    if (!allowed)
    {
        answer(
            call, {.status = status_precondition_failed, .body = {}}, now, out);
        return;
    }
    store_.last.value += 1;
    entry written{.revision = store_.last, .value = call.body, .lapses = {}};
    if (call.query.contains("ttl"))
    {
        written.lapses = now.steady + length_of(call.query, "ttl");
    }
    store_.entries[key] = std::move(written);
    answer(call, {.revision = store_.last, .body = {}}, now, out);
    answer_watches(now, out);
}

void platform_state::read(watch const& of,
                          int if_absent,
                          instant now,
                          platform_effects& out)
{
    if (!of.prefix)
    {
        auto const found = store_.entries.find(of.key);
        if (found == store_.entries.end())
        {
            answer(of.call, {.status = if_absent, .body = {}}, now, out);
            return;
        }
        answer(
            of.call,
            {.revision = found->second.revision, .body = found->second.value},
            now,
            out);
        return;
    }
    // Revisions that went back mean a restored copy: all entries are told.
    auto const complete = of.since.value == 0 || store_.last < of.since;
    answer_call told{.revision = store_.last, .complete = complete, .body = {}};
    for (auto const& [key, value] : store_.entries)
    {
        if (key.starts_with(of.key) && (complete || of.since < value.revision))
        {
            append_entry(told.body,
                         {key, value.revision, bytes_of(value.value)});
        }
    }
    answer(of.call, std::move(told), now, out);
}

bool platform_state::changed(watch const& of) const
{
    if (!of.prefix)
    {
        auto const found = store_.entries.find(of.key);
        auto const revision = found == store_.entries.end()
                                  ? store_revision{}
                                  : found->second.revision;
        return revision != of.since;
    }
    return store_.last < of.since ||
           std::ranges::any_of(store_.entries,
                               [&of](auto const& item)
                               {
                                   return item.first.starts_with(of.key) &&
                                          of.since < item.second.revision;
                               });
}

void platform_state::answer_watches(instant now, platform_effects& out)
{
    auto waiting = std::exchange(watches_, {});
    for (auto const& item : waiting)
    {
        if (changed(item))
        {
            read(item, status_not_found, now, out);
        }
        else if (item.ends <= now.steady)
        {
            answer(item.call,
                   {.status = status_not_modified,
                    .revision = item.since,
                    .body = {}},
                   now,
                   out);
        }
        else
        {
            watches_.push_back(item);
        }
    }
}

void platform_state::drop_lapsed(instant now)
{
    auto const dropped = std::erase_if(
        store_.entries,
        [&](auto const& item)
        {
            return item.second.lapses && *item.second.lapses <= now.steady;
        });
    store_.last.value += dropped > 0 ? 1U : 0U;
}

void platform_state::answer(call_received const& call,
                            answer_call what,
                            instant now,
                            platform_effects& out)
{
    what.call = call.call;
    platform_effect chosen{std::move(what)};
    if (std::bernoulli_distribution(lose_answers_)(random_))
    {
        chosen = drop_call{call.call};
    }
    if (slow_ > duration::zero())
    {
        delayed_.push_back({std::move(chosen), now.steady + slow_});
        return;
    }
    out.push_back(std::move(chosen));
}

std::string platform_state::counts_body() const
{
    std::string body = "{";
    for (auto const& [name, number] : counts_)
    {
        body += body.size() > 1 ? "," : "";
        body += '"' + name + "\":" + std::to_string(number);
    }
    return body + "}";
}

std::optional<steady_time> platform_state::next_wake() const
{
    std::optional<steady_time> next;
    auto const sooner = [&next](steady_time when)
    {
        next = next ? std::min(*next, when) : when;
    };
    for (auto const& item : delayed_)
    {
        sooner(item.when);
    }
    for (auto const& item : vm_changes_)
    {
        sooner(item.when);
    }
    for (auto const& item : watches_)
    {
        sooner(item.ends);
    }
    for (auto const& [key, value] : store_.entries)
    {
        if (value.lapses)
        {
            sooner(*value.lapses);
        }
    }
    return next;
}

} // namespace dotterelrouter::standins
