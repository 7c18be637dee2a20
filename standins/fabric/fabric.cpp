#include "standins/fabric/fabric.hpp"

#include <utility>

namespace dotterelrouter::standins
{

fabric::fabric(std::uint64_t seed) : random_(seed)
{
}

void fabric::reduce(fabric_event const& next_event,
                    instant now,
                    std::vector<fabric_effect>& out)
{
    released_.clear();
    std::visit(
        [this, now, &out](auto const& concrete_event)
        {
            on(concrete_event, now, out);
        },
        next_event);
}

void fabric::on(links_changed const& event,
                instant /*now*/,
                std::vector<fabric_effect>& /*out*/)
{
    links_.assign(event.links.begin(), event.links.end());
}

void fabric::on(datagram_received const& event,
                instant now,
                std::vector<fabric_effect>& out)
{
    if (links_.empty())
    {
        return;
    }
    auto const& link = links_[random_() % links_.size()];
    if (link.is_cut || draw_bool(link.loss_probability))
    {
        return;
    }
    send_over_link(link, event.bytes, now, out);
    if (draw_bool(link.duplicate_probability))
    {
        send_over_link(link, event.bytes, now, out);
    }
}

void fabric::on(timer_fired const& /*event*/,
                instant now,
                std::vector<fabric_effect>& out)
{
    auto const due_end = delayed_.upper_bound(now.steady);
    for (auto due = delayed_.begin(); due != due_end; ++due)
    {
        released_.push_back(std::move(due->second));
    }
    delayed_.erase(delayed_.begin(), due_end);
    for (auto const& datagram : released_)
    {
        out.emplace_back(
            forward_datagram{datagram.destination, datagram.bytes});
    }
    if (!delayed_.empty())
    {
        out.emplace_back(set_timer{delayed_.begin()->first});
    }
}

void fabric::send_over_link(fabric_link const& link,
                            byte_view bytes,
                            instant now,
                            std::vector<fabric_effect>& out)
{
    if (link.max_delay <= duration::zero())
    {
        out.emplace_back(forward_datagram{link.data_endpoint, bytes});
        return;
    }
    std::uniform_int_distribution<duration::rep> delay_distribution{
        0, link.max_delay.count()};
    auto const send_time = now.steady + duration{delay_distribution(random_)};
    delayed_.emplace(
        send_time,
        delayed_datagram{link.data_endpoint, {bytes.begin(), bytes.end()}});
    out.emplace_back(set_timer{delayed_.begin()->first});
}

bool fabric::draw_bool(double probability)
{
    return std::bernoulli_distribution{probability}(random_);
}

} // namespace dotterelrouter::standins
