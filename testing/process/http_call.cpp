#include "testing/process/http_call.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>

namespace dotterelrouter::testing
{
namespace
{

constexpr time_t step_limit_seconds = 2;
constexpr std::size_t read_size = 16384;

/// A socket that is closed with its owner.
class tcp_socket
{
public:
    tcp_socket() : descriptor_(socket(AF_INET, SOCK_STREAM, 0))
    {
        timeval const limit{step_limit_seconds, 0};
        setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        setsockopt(descriptor_, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    }

    tcp_socket(tcp_socket const&) = delete;
    tcp_socket& operator=(tcp_socket const&) = delete;

    ~tcp_socket()
    {
        close(descriptor_);
    }

    [[nodiscard]] bool connect_to(endpoint where) const
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(where.port);
        address.sin_addr.s_addr = htonl(where.ip);
        auto const* const raw = reinterpret_cast<sockaddr*>(&address);
        return connect(descriptor_, raw, sizeof(address)) == 0;
    }

    [[nodiscard]] bool send_all(std::string_view text) const
    {
        while (!text.empty())
        {
            auto const sent =
                send(descriptor_, text.data(), text.size(), MSG_NOSIGNAL);
            if (sent <= 0)
            {
                return false;
            }
            text.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    /// All bytes until the other side closes.
    [[nodiscard]] std::string receive_all() const
    {
        std::string text;
        std::array<char, read_size> buffer{};
        while (true)
        {
            auto const got = recv(descriptor_, buffer.data(), read_size, 0);
            if (got <= 0)
            {
                return text;
            }
            text.append(buffer.data(), static_cast<std::size_t>(got));
        }
    }

private:
    int descriptor_;
};

} // namespace

std::optional<std::string> http_call(std::string_view method,
                                     endpoint where,
                                     std::string_view path,
                                     std::string_view body)
{
    tcp_socket const connection;
    std::string request{method};
    request.append(" ").append(path);
    request.append(" HTTP/1.1\r\nHost: test\r\nConnection: close\r\n");
    request.append("Content-Length: ").append(std::to_string(body.size()));
    request.append("\r\n\r\n").append(body);
    if (!connection.connect_to(where) || !connection.send_all(request))
    {
        return std::nullopt;
    }
    auto const response = connection.receive_all();
    auto const end = response.find("\r\n\r\n");
    if (!response.starts_with("HTTP/1.1 2") || end == std::string::npos)
    {
        return std::nullopt;
    }
    return response.substr(end + 4);
}

} // namespace dotterelrouter::testing
