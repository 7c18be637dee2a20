// Load for the measurement: callers that send requests at a steady rate, and
// backend servers that answer each at once. Each runs on a thread of its own.
#pragma once

#include "dotterelrouter/codec/codec.hpp"
#include "dotterelrouter/runtime/runtime.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <netinet/in.h>
#include <span>
#include <vector>

namespace dotterelrouter::measure
{

inline constexpr endpoint any_loopback_port{INADDR_LOOPBACK, 0};
inline constexpr auto load_tick = std::chrono::milliseconds{1};

/// What the load asks for.
struct load_settings
{
    std::size_t rate = 20'000; ///< Requests a second.
    std::size_t flows = 64;    ///< Callers, each with a port.
    std::size_t payload = 256; ///< Bytes of each request and answer.
    duration length = std::chrono::seconds{4};
};

/// Ends a loop at a time, so that its thread can be joined.
class loop_limit
{
public:
    loop_limit(event_loop& loop, steady_time end) : loop_(loop)
    {
        alarm_.wake_at(end);
    }

    void on_timer()
    {
        loop_.stop(0);
    }

private:
    event_loop& loop_;
    timer<loop_limit> alarm_{loop_, *this};
};

/// Backend servers that answer each request at once.
class echo_servers
{
public:
    explicit echo_servers(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            ports_.push_back(std::make_unique<udp_port<echo_servers>>(
                loop_, any_loopback_port, *this));
        }
    }

    /// Where the servers are.
    [[nodiscard]] std::vector<endpoint> local() const
    {
        std::vector<endpoint> result;
        for (auto const& port : ports_)
        {
            result.push_back(port->local());
        }
        return result;
    }

    void run(steady_time end)
    {
        loop_limit const limit{loop_, end};
        loop_.run();
    }

    void on_datagram(datagram const& received)
    {
        auto const packet = codec_.decode(received.bytes);
        if (!packet || !std::holds_alternative<request_packet>(*packet))
        {
            return;
        }
        auto const& request = std::get<request_packet>(*packet);
        answer_packet answer;
        answer.key = request.key;
        answer.attempt = request.attempt;
        answer.payload = request.payload;
        port_at(received.to).send(received.from, codec_.encode(answer));
    }

private:
    udp_port<echo_servers>& port_at(endpoint where)
    {
        return **std::ranges::find(ports_,
                                   where,
                                   [](auto const& port)
                                   {
                                       return port->local();
                                   });
    }

    event_loop loop_;
    packet_codec codec_;
    std::vector<std::unique_ptr<udp_port<echo_servers>>> ports_;
};

/// Callers that send to one balancer at a steady rate.
class steady_callers
{
public:
    steady_callers(load_settings settings, endpoint service_address)
        : settings_(settings), service_address_(service_address),
          payload_(settings.payload)
    {
        for (std::size_t i = 0; i < settings.flows; ++i)
        {
            ports_.push_back(std::make_unique<udp_port<steady_callers>>(
                loop_, any_loopback_port, *this));
        }
    }

    /// Where the callers are.
    [[nodiscard]] std::vector<endpoint> local() const
    {
        std::vector<endpoint> result;
        for (auto const& port : ports_)
        {
            result.push_back(port->local());
        }
        return result;
    }

    void run(endpoint balancer, steady_time end)
    {
        balancer_ = balancer;
        loop_limit const limit{loop_, end};
        started_ = std::chrono::steady_clock::now();
        pace_.wake_at(started_);
        loop_.run();
    }

    /// Sends what is due by now.
    void on_timer()
    {
        auto const now = std::chrono::steady_clock::now();
        auto const elapsed = std::chrono::duration<double>(now - started_);
        auto const due = static_cast<std::uint64_t>(
            elapsed.count() * static_cast<double>(settings_.rate));
        while (sent_ < due)
        {
            send_one();
        }
        pace_.wake_at(now + load_tick);
    }

    void on_datagram(datagram const& received)
    {
        auto const packet = codec_.decode(received.bytes);
        if (packet && std::holds_alternative<answer_packet>(*packet))
        {
            ++answered_;
        }
    }

    [[nodiscard]] std::uint64_t answered() const
    {
        return answered_;
    }

private:
    void send_one()
    {
        auto& port = *ports_[sent_ % ports_.size()];
        auto const now = system_clock_source{}.now();
        request_packet request;
        request.key = {{port.local(), service_address_}, {++sent_}};
        request.issued = now.wall;
        request.deadline = now.wall + std::chrono::seconds{2};
        request.payload = payload_;
        port.send(balancer_, codec_.encode(request));
    }

    load_settings settings_;
    endpoint service_address_;
    endpoint balancer_;
    std::vector<std::byte> payload_;
    event_loop loop_;
    packet_codec codec_;
    timer<steady_callers> pace_{loop_, *this};
    std::vector<std::unique_ptr<udp_port<steady_callers>>> ports_;
    steady_time started_;
    std::uint64_t sent_ = 0;
    std::atomic<std::uint64_t> answered_ = 0;
};

} // namespace dotterelrouter::measure
