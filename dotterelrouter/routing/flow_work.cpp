#include "dotterelrouter/routing/internal/flow_work.hpp"

#include <algorithm>
#include <cmath>

namespace dotterelrouter
{
namespace
{

using seconds = std::chrono::duration<double>;

/// Time over which the work of a kind is averaged.
constexpr seconds kind_memory = std::chrono::seconds{5};
/// Time over which what was sent to a server counts.
constexpr seconds server_memory = std::chrono::milliseconds{200};
/// Work of an open flow of a kind that did none yet, in slots.
constexpr double unknown_work = 1e-3;
/// Time of a request of a kind that had none yet, in seconds.
constexpr double unknown_time = 0.01;
constexpr double time_rate = 0.02;

double decayed(double sum, steady_time from, steady_time now, seconds memory)
{
    return sum * std::exp(-seconds{now - from} / memory);
}

} // namespace

flow_work::kind_work& flow_work::of_kind(kind_id kind)
{
    if (kind.value >= kinds_.size())
    {
        kinds_.resize(std::size_t{kind.value} + 1);
    }
    return kinds_[kind.value];
}

flow_work::server_work& flow_work::of_server(server_id server, kind_id kind)
{
    auto& work = servers_[server];
    if (kind.value >= work.open.size())
    {
        work.open.resize(std::size_t{kind.value} + 1);
    }
    return work;
}

void flow_work::on_opened(server_id server, kind_id kind)
{
    ++of_kind(kind).open;
    ++of_server(server, kind).open[kind.value];
}

void flow_work::on_ended(server_id server, kind_id kind)
{
    auto& open = of_server(server, kind).open[kind.value];
    if (open > 0)
    {
        --open;
        --of_kind(kind).open;
    }
}

void flow_work::on_work(kind_id kind, duration time, steady_time now)
{
    auto& work = of_kind(kind);
    auto const taken = seconds{time}.count();
    work.recent = taken + decayed(work.recent, work.decayed, now, kind_memory);
    work.decayed = now;
    work.usual_time +=
        work.usual_time == 0 ? taken : time_rate * (taken - work.usual_time);
}

void flow_work::on_sent(server_id server, kind_id kind, steady_time now)
{
    auto const usual = of_kind(kind).usual_time;
    auto& work = of_server(server, kind);
    work.recent = decayed(work.recent, work.decayed, now, server_memory) +
                  (usual > 0 ? usual : unknown_time);
    work.decayed = now;
}

double flow_work::recent(server_id server, steady_time now) const
{
    auto const found = servers_.find(server);
    if (found == servers_.end())
    {
        return 0;
    }
    auto const& work = found->second;
    return decayed(work.recent, work.decayed, now, server_memory) /
           server_memory.count();
}

double flow_work::expected(server_id server) const
{
    auto const found = servers_.find(server);
    if (found == servers_.end())
    {
        return 0;
    }
    auto const& open = found->second.open;
    double sum = 0;
    for (std::size_t kind = 0; kind < open.size(); ++kind)
    {
        auto const& work = kinds_[kind];
        auto const each =
            work.open > 0 ? work.recent / kind_memory.count() / work.open : 0;
        sum += open[kind] * std::max(each, unknown_work);
    }
    return sum;
}

} // namespace dotterelrouter
