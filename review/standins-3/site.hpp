// Stand-ins of the platform's store, of backend servers, of a client and of the
// links between two forwarders. They behave as the platform's pages say; where
// a page is silent, like a sound store, server or client.
#pragma once

#include "packets.hpp"

#include <algorithm>
#include <array>
#include <memory>
#include <set>

namespace review
{

constexpr std::uint16_t packet_port = 8172;
constexpr std::uint16_t readiness_port = 8167;
constexpr std::uint16_t control_port = 8166;
constexpr std::uint16_t internal_port = 7720;
constexpr std::uint16_t store_port = 8169;
constexpr std::uint16_t server_port = 9001;

inline std::string to_base64(std::string const& in)
{
    constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghij"
                                        "klmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3)
    {
        std::string part = in.substr(i, 3);
        auto const missing = 3 - part.size();
        part.append(missing, '\0');
        auto const value = get(part, 0, 3);
        for (unsigned k = 0; k < 4; ++k)
        {
            out += k > 3 - missing ? '=' : digits[value >> (18 - 6 * k) & 63U];
        }
    }
    return out;
}

/// The platform's store: reads of ranges and watches. The operator and the
/// servers write through `put`.
class store
{
public:
    store(event_loop& loop, std::string const& ip)
        : loop_(loop), listener_(bound_socket(SOCK_STREAM, ip, store_port))
    {
        loop_.watch(listener_,
                    [this]
                    {
                        accept_call();
                    });
    }

    void put(std::string const& key, std::string const& value)
    {
        ++revision_;
        auto const created =
            items_.contains(key) ? items_.at(key).created : revision_;
        items_[key] = {revision_,
                       created,
                       R"({"Key":")" + key + R"(","Value":")" +
                           to_base64(value) + R"(","Revision":)" +
                           std::to_string(revision_) +
                           R"(,"CreatedRevision":)" + std::to_string(created) +
                           R"(,"Lease":0})"};
        events_.emplace_back(revision_, items_[key].text);
        for (auto const& watch : std::exchange(watches_, {}))
        {
            respond(watch.first, events_after(watch.second));
        }
    }

private:
    struct item
    {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::string text{};
    };

    void accept_call()
    {
        auto const call = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK);
        if (call < 0)
        {
            return;
        }
        requests_[call].clear();
        loop_.watch(call,
                    [this, call]
                    {
                        read_call(call);
                    });
    }

    void read_call(int call)
    {
        char buffer[4096];
        auto const count = ::recv(call, buffer, sizeof(buffer), 0);
        if (count <= 0)
        {
            end_call(call);
            return;
        }
        auto& request = requests_[call];
        request.append(buffer, static_cast<std::size_t>(count));
        if (request.find("\r\n\r\n") != std::string::npos)
        {
            answer(call, std::exchange(request, {}));
        }
    }

    void answer(int call, std::string const& request)
    {
        if (request.starts_with("GET /v1/kv-range"))
        {
            std::string list;
            for (auto const& [key, entry] : items_)
            {
                list += (list.empty() ? "" : ",") + entry.text;
            }
            respond(call,
                    R"({"items":[)" + list + R"(],"HasMore":false,)" +
                        at_revision());
            return;
        }
        auto const after = number_after(request, "after=");
        if (after < revision_)
        {
            respond(call, events_after(after));
            return;
        }
        watches_[call] = after;
        loop_.after(milliseconds{number_after(request, "WaitMs=")},
                    [this, call, after]
                    {
                        if (watches_.erase(call) > 0)
                        {
                            respond(call, events_after(after));
                        }
                    });
    }

    static std::uint64_t number_after(std::string const& text,
                                      std::string_view name)
    {
        auto const found = text.find(name);
        return found == std::string::npos
                   ? 0
                   : std::strtoull(
                         text.c_str() + found + name.size(), nullptr, 10);
    }

    [[nodiscard]] std::string at_revision() const
    {
        return R"("AtRevision":)" + std::to_string(revision_) + "}";
    }

    [[nodiscard]] std::string events_after(std::uint64_t after) const
    {
        std::string list;
        for (auto const& [revision, text] : events_)
        {
            if (revision > after)
            {
                list += (list.empty() ? "" : ",") + text;
            }
        }
        return R"({"events":[)" + list + "]," + at_revision();
    }

    void respond(int call, std::string const& body)
    {
        auto const text =
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            "Store-Era: 1\r\nConnection: close\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body;
        ::send(call, text.data(), text.size(), MSG_NOSIGNAL);
        ::shutdown(call, SHUT_WR);
    }

    void end_call(int call)
    {
        loop_.forget(call);
        watches_.erase(call);
        requests_.erase(call);
        ::close(call);
    }

    event_loop& loop_;
    int listener_;
    std::uint64_t revision_ = 0;
    std::map<std::string, item> items_;
    std::vector<std::pair<std::uint64_t, std::string>> events_;
    std::map<int, std::uint64_t> watches_;
    std::map<int, std::string> requests_;
};

/// The ends of a flow, as a server sees them.
using flow_id = std::array<std::uint32_t, 4>;

inline flow_id id_of(flow_packet const& packet)
{
    return {packet.src, packet.sport, packet.dst, packet.dport};
}

/// A backend server that answers each request with a few bytes at once.
class server
{
public:
    /// `number` are the hex digits of the identifier, as one number.
    server(event_loop& loop,
           recorder& record,
           std::string name,
           std::uint64_t number,
           std::string const& ip)
        : loop_(loop), record_(record), name_(std::move(name)), number_(number),
          ip_(ip), socket_(loop,
                           ip,
                           server_port,
                           [this](std::string const& bytes, std::string const&)
                           {
                               receive(bytes);
                           })
    {
    }

    /// The next handshake is lost on its way to the client, as a datagram may
    /// be. It is sent again after 200 ms.
    void lose_next_handshake()
    {
        loses_handshake_ = true;
    }

    /// Number of bytes of each answer; at most 16 packets, which are sent at
    /// once.
    void set_answer_size(std::size_t size)
    {
        answer_size_ = size;
    }

    /// From now on handshakes are sent that much later: the server is slow, as
    /// it is for some seconds after its start.
    void delay_handshakes(milliseconds delay)
    {
        handshake_delay_ = delay;
    }

    void keep_handshakes()
    {
        loses_handshake_ = false;
    }

    [[nodiscard]] std::string const& ip() const
    {
        return ip_;
    }

    [[nodiscard]] std::string const& name() const
    {
        return name_;
    }

    /// Whether it has the first packet of a flow from this port.
    [[nodiscard]] bool has_flow(std::uint16_t port) const
    {
        return std::ranges::any_of(flows_,
                                   [port](auto const& known)
                                   {
                                       return known.first[1] == port;
                                   });
    }

    /// Number of requests that were run.
    [[nodiscard]] int runs() const
    {
        return run_count_;
    }

private:
    struct flow
    {
        flow_packet first{};
        std::uint32_t sequence = 0;
        std::uint32_t echo = 0;
        std::uint32_t received = 0;
        std::uint32_t sent = 0;
        bool is_open = false;
        std::string last_answer{};
    };

    void receive(std::string const& bytes)
    {
        auto const packet = bytes.size() < 8
                                ? std::nullopt
                                : decode(std::string_view{bytes}.substr(8));
        auto const intended = bytes.size() < 8 ? 0 : get(bytes, 0, 8);
        if (!packet || (intended != 0 && intended != number_))
        {
            return;
        }
        if ((packet->flags & syn_flag) != 0)
        {
            on_first_packet(*packet);
            return;
        }
        on_later_packet(*packet);
    }

    void on_first_packet(flow_packet const& packet)
    {
        auto const id = id_of(packet);
        auto found = flows_.find(id);
        if (found == flows_.end() || found->second.first.seq != packet.seq)
        {
            flows_[id] = {.first = packet,
                          .sequence = next_sequence_ += 0x10000001U,
                          .echo = packet.echo,
                          .received = packet.seq + 1};
            record_.line(name_ + " has the first packet of flow " +
                         std::to_string(packet.sport));
            resend_handshake(id, packet.seq, milliseconds{200}, 8);
            if (std::exchange(loses_handshake_, false))
            {
                record_.line(name_ + "'s handshake is lost");
                return;
            }
        }
        loop_.after(handshake_delay_,
                    [this, id]
                    {
                        send(flows_.at(id), syn_flag | ack_flag, {});
                    });
    }

    void resend_handshake(flow_id const& id,
                          std::uint32_t sequence,
                          milliseconds delay,
                          int remaining)
    {
        loop_.after(
            delay,
            [this, id, sequence, delay, remaining]
            {
                auto const found = flows_.find(id);
                if (found == flows_.end() || found->second.is_open ||
                    found->second.first.seq != sequence || remaining == 0)
                {
                    return;
                }
                send(found->second, syn_flag | ack_flag, {});
                resend_handshake(id,
                                 sequence,
                                 std::min(2 * delay, milliseconds{1600}),
                                 remaining - 1);
            });
    }

    void on_later_packet(flow_packet const& packet)
    {
        auto const found = flows_.find(id_of(packet));
        auto const acknowledged =
            found == flows_.end() ? 0 : packet.ack - found->second.sequence;
        auto const is_held = found != flows_.end() && acknowledged > 0 &&
                             acknowledged <= found->second.sent + 1;
        if (!is_held)
        {
            if ((packet.flags & rst_flag) == 0)
            {
                send_reset(packet);
            }
            return;
        }
        auto& known = found->second;
        known.echo = packet.echo;
        if (!std::exchange(known.is_open, true))
        {
            record_.line("flow " + std::to_string(packet.sport) +
                         " is open at " + name_);
        }
        if (packet.data.empty())
        {
            return;
        }
        if (packet.seq == known.received)
        {
            run(known, packet);
        }
        send_answer(known);
    }

    void run(flow& known, flow_packet const& packet)
    {
        known.received += static_cast<std::uint32_t>(packet.data.size());
        ++run_count_;
        constexpr std::string_view id_header = "X-Request-Id: ";
        auto const start = packet.data.find(id_header) + id_header.size();
        record_.line(
            name_ + " runs request " +
            packet.data.substr(start, packet.data.find('\r', start) - start));
        constexpr std::string_view head = "HTTP/1.1 200 OK\r\n"
                                          "Content-Length: 14000\r\n\r\n";
        known.last_answer = head;
        known.last_answer.resize(answer_size_, 'x');
        known.sent += static_cast<std::uint32_t>(known.last_answer.size());
    }

    /// Sends the packets of the last answer, again if they were sent before.
    void send_answer(flow& known)
    {
        constexpr std::size_t max_packet_size = 1200;
        auto const end = known.sent;
        known.sent -= static_cast<std::uint32_t>(known.last_answer.size());
        for (std::size_t offset = 0; offset < known.last_answer.size();
             offset += max_packet_size)
        {
            send(known,
                 ack_flag,
                 known.last_answer.substr(offset, max_packet_size));
            known.sent += max_packet_size;
        }
        known.sent = end;
    }

    void send_reset(flow_packet const& packet)
    {
        record_.line(name_ + " gets a packet of flow " +
                     std::to_string(packet.sport) +
                     ", which it does not hold, and resets it");
        flow_packet const reset{.echo = packet.echo,
                                .flags = rst_flag,
                                .dport = packet.sport,
                                .sport = packet.dport,
                                .src = packet.dst,
                                .dst = packet.src,
                                .seq = packet.ack};
        socket_.send(encode(reset), ip_text(packet.src), packet_port);
    }

    void send(flow const& known, std::uint8_t flags, std::string const& data)
    {
        auto const is_handshake = (flags & syn_flag) != 0;
        flow_packet const packet{.echo = known.echo,
                                 .flags = flags,
                                 .dport = known.first.sport,
                                 .sport = known.first.dport,
                                 .src = known.first.dst,
                                 .dst = known.first.src,
                                 .seq = known.sequence +
                                        (is_handshake ? 0 : 1 + known.sent),
                                 .ack = known.received,
                                 .data = data};
        socket_.send(encode(packet), ip_text(known.first.src), packet_port);
    }

    event_loop& loop_;
    recorder& record_;
    std::string name_;
    std::uint64_t number_;
    std::string ip_;
    udp_socket socket_;
    std::map<flow_id, flow> flows_;
    std::uint32_t next_sequence_ = 0x20000000U;
    bool loses_handshake_ = false;
    milliseconds handshake_delay_{0};
    int run_count_ = 0;
    std::size_t answer_size_ = 100;
};

/// A client with flows that it keeps open for several requests.
class client
{
public:
    struct flow
    {
        std::uint16_t port = 0;
        std::uint32_t sequence = 0;
        std::uint32_t echo = 0;
        std::uint32_t received = 0;
        bool is_open = false;
        std::string server_ip{}; ///< Whose handshake was acknowledged.
        int answers = 0;
        std::size_t bytes = 0;   ///< Of the answer that is being received.
        std::string forwarder{}; ///< Where its last packet was sent.
        std::string reset_by{};  ///< Address of the sender of a reset.
    };

    /// `service_ip` is the address of the platform that the client opens flows
    /// to; nothing is sent there but through forwarders.
    client(event_loop& loop,
           recorder& record,
           std::string const& ip,
           std::string service_ip)
        : loop_(loop), record_(record), ip_(ip),
          service_ip_(std::move(service_ip)),
          socket_(loop,
                  ip,
                  packet_port,
                  [this](std::string const& bytes, std::string const& from)
                  {
                      receive(bytes, from);
                  })
    {
    }

    /// Number of flows that were begun.
    [[nodiscard]] std::size_t flow_count() const
    {
        return flows_.size();
    }

    /// Number of bytes of each answer.
    void set_answer_size(std::size_t size)
    {
        answer_size_ = size;
    }

    /// Sends the first packet of a new flow through a forwarder.
    flow& begin(std::string const& forwarder)
    {
        auto& begun = flows_[next_port_];
        begun = {.port = next_port_++, .sequence = 0x51000000U};
        begun.sequence += 0x10101U * begun.port;
        send(forwarder, begun, syn_flag, begun.sequence, 0, {});
        return begun;
    }

    /// Acknowledges the handshake of a flow that `is_open`.
    void acknowledge_handshake(std::string const& forwarder, flow& opened)
    {
        ++opened.sequence;
        record_.line("client acknowledges the handshake from " +
                     opened.server_ip + " for flow " +
                     std::to_string(opened.port));
        acknowledge(forwarder, opened);
    }

    /// Opens a flow through a forwarder, with two copies of the first packet
    /// if they are needed. Returns null if that failed.
    flow* open(std::string const& forwarder)
    {
        auto& opened = begin(forwarder);
        auto const has_ended = [&opened]
        {
            return opened.is_open || !opened.reset_by.empty();
        };
        loop_.run(has_ended, milliseconds{200});
        for (std::uint32_t copy = 1; copy < 3 && !has_ended(); ++copy)
        {
            send(forwarder, opened, syn_flag, opened.sequence, copy, {});
            loop_.run(has_ended, milliseconds{400 * copy});
        }
        if (!opened.is_open)
        {
            record_.line("flow " + std::to_string(opened.port) +
                         " did not open");
            return nullptr;
        }
        acknowledge_handshake(forwarder, opened);
        return &opened;
    }

    /// Sends a request, or sends it again.
    void send_request(std::string const& forwarder,
                      flow& open_flow,
                      std::string const& id)
    {
        open_flow.forwarder = forwarder;
        record_.line("client sends request " + id + " on flow " +
                     std::to_string(open_flow.port) + " to the forwarder " +
                     forwarder);
        send(forwarder,
             open_flow,
             ack_flag,
             open_flow.sequence,
             open_flow.received,
             text_of(id));
    }

    /// Ends a request that may have been answered, and returns whether it was.
    bool end_request(std::string const& forwarder,
                     flow& open_flow,
                     std::string const& id,
                     int earlier_answers)
    {
        if (open_flow.answers == earlier_answers)
        {
            record_.line("request " + id + ": " +
                         (open_flow.reset_by.empty()
                              ? std::string{"no answer"}
                              : "reset by " + open_flow.reset_by));
            return false;
        }
        open_flow.sequence += static_cast<std::uint32_t>(text_of(id).size());
        acknowledge(forwarder, open_flow);
        record_.line("request " + id + ": answered");
        return true;
    }

    /// Sends a request through a forwarder, and returns whether it was
    /// answered within 1.4 s.
    bool request(std::string const& forwarder,
                 flow& open_flow,
                 std::string const& id)
    {
        auto const answers = open_flow.answers;
        auto const has_ended = [&]
        {
            return open_flow.answers > answers || !open_flow.reset_by.empty();
        };
        for (int interval = 200; interval <= 800 && !has_ended(); interval *= 2)
        {
            send_request(forwarder, open_flow, id);
            loop_.run(has_ended, milliseconds{interval});
        }
        return end_request(forwarder, open_flow, id, answers);
    }

private:
    static std::string text_of(std::string const& id)
    {
        return "GET /lookup HTTP/1.1\r\nHost: site\r\nX-Request-Id: " + id +
               "\r\n\r\n";
    }

    void acknowledge(std::string const& forwarder, flow const& open_flow)
    {
        send(forwarder,
             open_flow,
             ack_flag,
             open_flow.sequence,
             open_flow.received,
             {});
    }

    void send(std::string const& forwarder,
              flow const& sender,
              std::uint8_t flags,
              std::uint32_t sequence,
              std::uint32_t acknowledgement,
              std::string const& data)
    {
        flow_packet const packet{.echo = sender.echo,
                                 .flags = flags,
                                 .dport = 8080,
                                 .sport = sender.port,
                                 .src = ip_number(ip_),
                                 .dst = ip_number(service_ip_),
                                 .seq = sequence,
                                 .ack = acknowledgement,
                                 .data = data};
        socket_.send(encode(packet), forwarder, packet_port);
    }

    void receive(std::string const& bytes, std::string const& from)
    {
        auto const packet = decode(bytes);
        auto const found = packet ? flows_.find(packet->dport) : flows_.end();
        if (found == flows_.end())
        {
            return;
        }
        auto& known = found->second;
        if ((packet->flags & rst_flag) != 0)
        {
            known.reset_by = from;
            return;
        }
        known.echo = packet->echo;
        if ((packet->flags & syn_flag) != 0)
        {
            if (!std::exchange(known.is_open, true))
            {
                known.server_ip = from;
                known.received = packet->seq + 1;
            }
        }
        else if (!packet->data.empty() && packet->seq == known.received)
        {
            known.received += static_cast<std::uint32_t>(packet->data.size());
            known.bytes += packet->data.size();
            if (known.bytes >= answer_size_)
            {
                known.bytes = 0;
                ++known.answers;
            }
            else if (known.bytes / packet->data.size() % 2 == 0)
            {
                acknowledge(known.forwarder, known);
            }
        }
    }

    event_loop& loop_;
    recorder& record_;
    std::string ip_;
    std::string service_ip_;
    udp_socket socket_;
    std::map<std::uint16_t, flow> flows_;
    std::uint16_t next_port_ = 40001;
    std::size_t answer_size_ = 100;
};

/// Passes on the TCP connections that one forwarder opens to another one, until
/// it is cut. Connections are then silent.
class tcp_proxy
{
public:
    tcp_proxy(event_loop& loop, std::string const& ip, std::string target)
        : loop_(loop), target_(std::move(target)),
          listener_(bound_socket(SOCK_STREAM, ip, control_port))
    {
        loop_.watch(listener_,
                    [this]
                    {
                        accept_connection();
                    });
    }

    void cut()
    {
        is_cut_ = true;
    }

private:
    void accept_connection()
    {
        auto const inner = ::accept(listener_, nullptr, nullptr);
        if (inner < 0 || is_cut_)
        {
            return;
        }
        auto const outer = ::socket(AF_INET, SOCK_STREAM, 0);
        auto const address = to_address(target_, control_port);
        if (::connect(outer,
                      reinterpret_cast<sockaddr const*>(&address),
                      sizeof(address)) != 0)
        {
            ::close(inner);
            ::close(outer);
            return;
        }
        pass_on(inner, outer);
        pass_on(outer, inner);
    }

    void pass_on(int from, int to)
    {
        loop_.watch(from,
                    [this, from, to]
                    {
                        char buffer[65536];
                        auto const count =
                            ::recv(from, buffer, sizeof(buffer), 0);
                        if (is_cut_)
                        {
                            loop_.forget(from);
                        }
                        else if (count <= 0)
                        {
                            loop_.forget(from);
                            ::shutdown(to, SHUT_WR);
                        }
                        else
                        {
                            ::send(to,
                                   buffer,
                                   static_cast<std::size_t>(count),
                                   MSG_NOSIGNAL);
                        }
                    });
    }

    event_loop& loop_;
    std::string target_;
    int listener_;
    bool is_cut_ = false;
};

/// The link between two forwarders that know each other by the addresses of
/// this proxy only. It passes on what they send each other, or nothing once it
/// is cut.
class forwarder_link
{
public:
    /// `first_seen_as` is the address under which the second forwarder knows
    /// the first one, and the other way round.
    forwarder_link(event_loop& loop,
                   std::string const& first,
                   std::string const& first_seen_as,
                   std::string const& second,
                   std::string const& second_seen_as)
        : towards_first_(loop,
                         second_seen_as,
                         internal_port,
                         [this, first, second](std::string const& bytes,
                                               std::string const& from)
                         {
                             if (!is_cut_ && from == first)
                             {
                                 towards_second_.send(
                                     bytes, second, internal_port);
                             }
                         }),
          towards_second_(loop,
                          first_seen_as,
                          internal_port,
                          [this, first, second](std::string const& bytes,
                                                std::string const& from)
                          {
                              if (!is_cut_ && from == second)
                              {
                                  towards_first_.send(
                                      bytes, first, internal_port);
                              }
                          }),
          calls_of_first_(loop, second_seen_as, second),
          calls_of_second_(loop, first_seen_as, first)
    {
    }

    void cut()
    {
        is_cut_ = true;
        calls_of_first_.cut();
        calls_of_second_.cut();
    }

private:
    bool is_cut_ = false;
    udp_socket towards_first_;  ///< Sends to the first forwarder.
    udp_socket towards_second_; ///< Sends to the second forwarder.
    tcp_proxy calls_of_first_;
    tcp_proxy calls_of_second_;
};

/// A configuration with one route, to the service `catalogue`.
inline std::string route_table(std::string const& service_ip)
{
    return R"({"Version":3,"Routes":[{"Host":")" + service_ip +
           R"(","Prefix":"/8080/","Service":"catalogue","Kind":"safe","TimeoutMs":2000,)"
           R"("TargetLatencyMs":300,"Priority":1}],"Services":[{"Name":)"
           R"("catalogue","HealthCheckPath":"/health"}],)"
           R"("Limits":{"IdleTimeoutMs":30000}})";
}

/// The entry of a server that is ready. The software's version may be missing.
inline std::string entry_of(std::string const& ip,
                            std::string const& service = "catalogue",
                            bool has_version = true)
{
    return R"({"Service":")" + service + R"(","Address":")" + ip + ":" +
           std::to_string(server_port) + R"(","Zone":"zone-a",)" +
           (has_version ? R"("Version":"7",)" : "") +
           R"("Slots":3,"State":"ready","ColdRemainingMs":0,"Sequence":1,)"
           R"("born":1796000000000})";
}

/// Whether a forwarder tells the routers that it is ready.
inline bool is_ready(std::string const& ip)
{
    auto const call = ::socket(AF_INET, SOCK_STREAM, 0);
    auto const address = to_address(ip, readiness_port);
    std::string_view const request =
        "GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    char buffer[64] = {};
    auto const is_connected =
        ::connect(call,
                  reinterpret_cast<sockaddr const*>(&address),
                  sizeof(address)) == 0;
    auto const is_answered =
        is_connected &&
        ::send(call, request.data(), request.size(), MSG_NOSIGNAL) > 0 &&
        ::recv(call, buffer, sizeof(buffer) - 1, 0) > 0;
    ::close(call);
    return is_answered &&
           std::string_view{buffer}.find(" 200 ") != std::string_view::npos;
}

/// Waits up to ten seconds until all these forwarders are ready. A check
/// blocks, so the loop runs in between.
inline bool wait_until_ready(event_loop& loop,
                             std::vector<std::string> const& forwarders)
{
    for (int i = 0; i < 100; ++i)
    {
        loop.run_for(milliseconds{100});
        if (std::ranges::all_of(forwarders, is_ready))
        {
            return true;
        }
    }
    return false;
}

} // namespace review
