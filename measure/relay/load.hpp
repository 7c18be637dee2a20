// Load generator of relay_cost: callers that send requests at a constant rate,
// and backend servers that answer each request at once. The callers and the
// servers each run an event loop on a thread of their own.
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
inline constexpr auto send_interval = std::chrono::milliseconds{1};

/// The load that the callers generate.
struct load_settings
{
    std::size_t requests_per_second = 20'000; ///< Of all callers together.
    std::size_t caller_count = 64;   ///< Each has one port and one flow.
    std::size_t payload_bytes = 256; ///< Of each request and response.
    duration measured_time = std::chrono::seconds{4};
};

/// Stops an event loop at a given time, so that its thread can be joined.
class loop_deadline
{
public:
    loop_deadline(event_loop& loop, steady_time end_time) : loop_(loop)
    {
        deadline_timer_.set_deadline(end_time);
    }

    void on_timer()
    {
        loop_.stop(0);
    }

private:
    event_loop& loop_;
    timer<loop_deadline> deadline_timer_{loop_, *this};
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

    /// Returns the endpoints of the servers.
    [[nodiscard]] std::vector<endpoint> local() const
    {
        std::vector<endpoint> endpoints;
        for (auto const& port : ports_)
        {
            endpoints.push_back(port->local_endpoint());
        }
        return endpoints;
    }

    void run(steady_time end_time)
    {
        loop_deadline const deadline_guard{loop_, end_time};
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
        response_packet response;
        response.key = request.key;
        response.attempt = request.attempt;
        response.payload = request.payload;
        port_at(received.to).send(received.from, codec_.encode(response));
    }

private:
    udp_port<echo_servers>& port_at(endpoint local_endpoint)
    {
        return **std::ranges::find(ports_,
                                   local_endpoint,
                                   [](auto const& port)
                                   {
                                       return port->local_endpoint();
                                   });
    }

    event_loop loop_;
    packet_codec codec_;
    std::vector<std::unique_ptr<udp_port<echo_servers>>> ports_;
};

/// Callers that send requests to one balancer, or relay, at a constant rate.
class steady_callers
{
public:
    steady_callers(load_settings settings, endpoint service_address)
        : settings_(settings), service_address_(service_address),
          payload_(settings.payload_bytes)
    {
        for (std::size_t i = 0; i < settings.caller_count; ++i)
        {
            ports_.push_back(std::make_unique<udp_port<steady_callers>>(
                loop_, any_loopback_port, *this));
        }
    }

    /// Returns the endpoints of the callers.
    [[nodiscard]] std::vector<endpoint> local() const
    {
        std::vector<endpoint> endpoints;
        for (auto const& port : ports_)
        {
            endpoints.push_back(port->local_endpoint());
        }
        return endpoints;
    }

    void run(endpoint balancer, steady_time end_time)
    {
        balancer_endpoint_ = balancer;
        loop_deadline const deadline_guard{loop_, end_time};
        start_time_ = std::chrono::steady_clock::now();
        send_timer_.set_deadline(start_time_);
        loop_.run();
    }

    /// Sends the requests that are due by now at the configured rate.
    void on_timer()
    {
        auto const now = std::chrono::steady_clock::now();
        auto const elapsed = std::chrono::duration<double>(now - start_time_);
        auto const due = static_cast<std::uint64_t>(
            elapsed.count() *
            static_cast<double>(settings_.requests_per_second));
        while (sent_requests_ < due)
        {
            send_next_request();
        }
        send_timer_.set_deadline(now + send_interval);
    }

    void on_datagram(datagram const& received)
    {
        auto const packet = codec_.decode(received.bytes);
        if (packet && std::holds_alternative<response_packet>(*packet))
        {
            ++response_count_;
        }
    }

    /// Returns the number of responses received. Safe to call from any thread.
    [[nodiscard]] std::uint64_t response_count() const
    {
        return response_count_;
    }

private:
    void send_next_request()
    {
        auto& port = *ports_[sent_requests_ % ports_.size()];
        auto const now = system_clock_source{}.now();
        request_packet request;
        request.key = {{port.local_endpoint(), service_address_},
                       {++sent_requests_}};
        request.issued = now.wall;
        request.deadline = now.wall + std::chrono::seconds{2};
        request.payload = payload_;
        port.send(balancer_endpoint_, codec_.encode(request));
    }

    load_settings settings_;
    endpoint service_address_;
    endpoint balancer_endpoint_;
    std::vector<std::byte> payload_;
    event_loop loop_;
    packet_codec codec_;
    timer<steady_callers> send_timer_{loop_, *this};
    std::vector<std::unique_ptr<udp_port<steady_callers>>> ports_;
    steady_time start_time_;
    std::uint64_t sent_requests_ = 0;
    std::atomic<std::uint64_t> response_count_ = 0;
};

} // namespace dotterelrouter::measure
