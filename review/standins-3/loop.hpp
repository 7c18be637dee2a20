// Event loop, sockets and text helpers of the stand-ins for the scripts of
// this review. One thread; all times are those of the steady clock.
#pragma once

#include <arpa/inet.h>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review
{

using clock_type = std::chrono::steady_clock;
using time_type = clock_type::time_point;
using std::chrono::milliseconds;

/// Calls handlers of readable descriptors and of timers.
class event_loop
{
public:
    void watch(int descriptor, std::function<void()> handler)
    {
        handlers_[descriptor] = std::move(handler);
    }

    void forget(int descriptor)
    {
        handlers_.erase(descriptor);
    }

    void after(milliseconds delay, std::function<void()> action)
    {
        timers_.emplace(clock_type::now() + delay, std::move(action));
    }

    /// Runs until `is_done` or for `limit`; returns whether it was done.
    bool run(std::function<bool()> const& is_done, milliseconds limit)
    {
        auto const end = clock_type::now() + limit;
        while (!is_done())
        {
            if (clock_type::now() >= end)
            {
                return false;
            }
            run_timers();
            poll_once(end);
        }
        return true;
    }

    void run_for(milliseconds period)
    {
        run(
            []
            {
                return false;
            },
            period);
    }

private:
    void run_timers()
    {
        while (!timers_.empty() && timers_.begin()->first <= clock_type::now())
        {
            auto const action = std::move(timers_.begin()->second);
            timers_.erase(timers_.begin());
            action();
        }
    }

    void poll_once(time_type end)
    {
        auto const next =
            timers_.empty() ? end : std::min(end, timers_.begin()->first);
        auto const wait = std::chrono::ceil<milliseconds>(
            std::max(next - clock_type::now(), clock_type::duration::zero()));
        std::vector<pollfd> descriptors;
        for (auto const& [descriptor, handler] : handlers_)
        {
            descriptors.push_back({descriptor, POLLIN, 0});
        }
        if (::poll(descriptors.data(),
                   descriptors.size(),
                   static_cast<int>(wait.count())) <= 0)
        {
            return;
        }
        for (auto const& ready : descriptors)
        {
            auto const found = handlers_.find(ready.fd);
            if (ready.revents != 0 && found != handlers_.end())
            {
                auto const handler = found->second;
                handler();
            }
        }
    }

    std::map<int, std::function<void()>> handlers_;
    std::multimap<time_type, std::function<void()>> timers_;
};

/// Writes lines with the time since the start to a file and to the output.
class recorder
{
public:
    explicit recorder(std::string const& path)
        : file_(std::fopen(path.c_str(), "w")), start_(clock_type::now())
    {
        if (file_ == nullptr)
        {
            throw std::runtime_error("can't write " + path);
        }
    }

    recorder(recorder const&) = delete;
    recorder& operator=(recorder const&) = delete;

    ~recorder()
    {
        std::fclose(file_);
    }

    void line(std::string const& text)
    {
        std::chrono::duration<double> const time = clock_type::now() - start_;
        std::fprintf(file_, "%8.3f s  %s\n", time.count(), text.c_str());
        std::fflush(file_);
        std::printf("%8.3f s  %s\n", time.count(), text.c_str());
        std::fflush(stdout);
    }

private:
    std::FILE* file_;
    time_type start_;
};

inline sockaddr_in to_address(std::string const& ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline std::string ip_text(std::uint32_t ip)
{
    in_addr const address{htonl(ip)};
    char text[INET_ADDRSTRLEN] = {};
    ::inet_ntop(AF_INET, &address, text, sizeof(text));
    return text;
}

inline std::uint32_t ip_number(std::string const& text)
{
    return ntohl(to_address(text, 0).sin_addr.s_addr);
}

/// Opens a socket that is bound to an address. Throws if that is taken.
inline int bound_socket(int type, std::string const& ip, std::uint16_t port)
{
    auto const descriptor = ::socket(AF_INET, type | SOCK_NONBLOCK, 0);
    int const on = 1;
    if (type == SOCK_STREAM)
    {
        ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    }
    auto const address = to_address(ip, port);
    auto const result = ::bind(descriptor,
                               reinterpret_cast<sockaddr const*>(&address),
                               sizeof(address));
    if (descriptor < 0 || result != 0 ||
        (type == SOCK_STREAM && ::listen(descriptor, 512) != 0))
    {
        throw std::runtime_error("can't bind " + ip + ":" +
                                 std::to_string(port));
    }
    return descriptor;
}

/// A UDP socket whose datagrams go to a handler.
class udp_socket
{
public:
    using handler_type =
        std::function<void(std::string const& bytes, std::string const& from)>;

    udp_socket(event_loop& loop,
               std::string const& ip,
               std::uint16_t port,
               handler_type handler)
        : descriptor_(bound_socket(SOCK_DGRAM, ip, port)),
          handler_(std::move(handler))
    {
        loop.watch(descriptor_,
                   [this]
                   {
                       receive();
                   });
    }

    void send(std::string const& bytes,
              std::string const& ip,
              std::uint16_t port) const
    {
        auto const address = to_address(ip, port);
        ::sendto(descriptor_,
                 bytes.data(),
                 bytes.size(),
                 0,
                 reinterpret_cast<sockaddr const*>(&address),
                 sizeof(address));
    }

private:
    void receive()
    {
        char buffer[65536];
        sockaddr_in from{};
        socklen_t size = sizeof(from);
        auto const count = ::recvfrom(descriptor_,
                                      buffer,
                                      sizeof(buffer),
                                      0,
                                      reinterpret_cast<sockaddr*>(&from),
                                      &size);
        if (count > 0)
        {
            handler_(std::string(buffer, static_cast<std::size_t>(count)),
                     ip_text(ntohl(from.sin_addr.s_addr)));
        }
    }

    int descriptor_;
    handler_type handler_;
};

} // namespace review
