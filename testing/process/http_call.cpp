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

constexpr time_t io_timeout_seconds = 2;
constexpr std::size_t receive_buffer_size = 16384;

/// A TCP socket that is closed with its owner.
class tcp_socket
{
public:
    tcp_socket() : descriptor_(socket(AF_INET, SOCK_STREAM, 0))
    {
        timeval const timeout{io_timeout_seconds, 0};
        setsockopt(
            descriptor_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
        setsockopt(
            descriptor_, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    }

    tcp_socket(tcp_socket const&) = delete;
    tcp_socket& operator=(tcp_socket const&) = delete;

    ~tcp_socket()
    {
        close(descriptor_);
    }

    [[nodiscard]] bool connect_to(endpoint server) const
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(server.port);
        address.sin_addr.s_addr = htonl(server.ip);
        auto const* const socket_address =
            reinterpret_cast<sockaddr*>(&address);
        return connect(descriptor_, socket_address, sizeof(address)) == 0;
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

    /// Receives until the peer closes the connection, an error or a timeout.
    [[nodiscard]] std::string receive_all() const
    {
        std::string text;
        std::array<char, receive_buffer_size> buffer{};
        while (true)
        {
            auto const received =
                recv(descriptor_, buffer.data(), receive_buffer_size, 0);
            if (received <= 0)
            {
                return text;
            }
            text.append(buffer.data(), static_cast<std::size_t>(received));
        }
    }

private:
    int descriptor_;
};

} // namespace

std::optional<std::string> http_call(std::string_view method,
                                     endpoint server,
                                     std::string_view path,
                                     std::string_view body)
{
    tcp_socket const connection;
    std::string request{method};
    request.append(" ").append(path);
    request.append(" HTTP/1.1\r\nHost: test\r\nConnection: close\r\n");
    request.append("Content-Length: ").append(std::to_string(body.size()));
    request.append("\r\n\r\n").append(body);
    if (!connection.connect_to(server) || !connection.send_all(request))
    {
        return std::nullopt;
    }
    auto const response = connection.receive_all();
    auto const header_end = response.find("\r\n\r\n");
    if (!response.starts_with("HTTP/1.1 2") || header_end == std::string::npos)
    {
        return std::nullopt;
    }
    return response.substr(header_end + 4);
}

} // namespace dotterelrouter::testing
