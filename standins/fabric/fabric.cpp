#include "standins/fabric/fabric.hpp"

#include <utility>

namespace dotterelrouter::standins
{

fabric::fabric(std::uint64_t seed) : random_(seed)
{
}

void fabric::reduce(fabric_event const& happened,
                    instant now,
                    std::vector<fabric_effect>& out)
{
    released_.clear();
    std::visit(
        [this, now, &out](auto const& one)
        {
            on(one, now, out);
        },
        happened);
}

void fabric::on(links_read const& event,
                instant /*now*/,
                std::vector<fabric_effect>& /*out*/)
{
    links_.assign(event.links.begin(), event.links.end());
}

void fabric::on(datagram_sprayed const& event,
                instant now,
                std::vector<fabric_effect>& out)
{
    if (links_.empty())
    {
        return;
    }
    auto const& link = links_[random_() % links_.size()];
    if (link.cut || happens(link.loss))
    {
        return;
    }
    send_over(link, event.bytes, now, out);
    if (happens(link.duplicate))
    {
        send_over(link, event.bytes, now, out);
    }
}

void fabric::on(timer_fired const& /*event*/,
                instant now,
                std::vector<fabric_effect>& out)
{
    auto const end = held_.upper_bound(now.steady);
    for (auto at = held_.begin(); at != end; ++at)
    {
        released_.push_back(std::move(at->second));
    }
    held_.erase(held_.begin(), end);
    for (auto const& one : released_)
    {
        out.emplace_back(forward_datagram{one.to, one.bytes});
    }
    if (!held_.empty())
    {
        out.emplace_back(wake_at{held_.begin()->first});
    }
}

void fabric::send_over(fabric_link const& link,
                       byte_view bytes,
                       instant now,
                       std::vector<fabric_effect>& out)
{
    if (link.max_delay <= duration::zero())
    {
        out.emplace_back(forward_datagram{link.data, bytes});
        return;
    }
    std::uniform_int_distribution<duration::rep> delays{0,
                                                        link.max_delay.count()};
    auto const when = now.steady + duration{delays(random_)};
    held_.emplace(when, held_datagram{link.data, {bytes.begin(), bytes.end()}});
    out.emplace_back(wake_at{held_.begin()->first});
}

bool fabric::happens(double probability)
{
    return std::bernoulli_distribution{probability}(random_);
}

} // namespace dotterelrouter::standins
