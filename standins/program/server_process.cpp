#include "standins/program/subcommands.hpp"

#include "dotterelrouter/codec/codec.hpp"
#include "dotterelrouter/runtime/runtime.hpp"
#include "standins/program/text.hpp"
#include "standins/server/server.hpp"

#include <cxxopts.hpp>

#include <memory>
#include <utility>

namespace dotterelrouter::standins
{
namespace
{

/// What all servers of a process share.
struct server_process_parts
{
    event_loop loop;
    system_clock_source clock;
    packet_codec codec;
    std::size_t running = 0; ///< Servers that have not finished.
};

/// One backend server.
class hosted_server
{
public:
    hosted_server(server_settings settings, server_process_parts& parts)
        : parts_(parts), state_(std::move(settings)),
          port_(parts.loop, state_.settings().where, *this)
    {
        ++parts_.running;
    }

    void drain()
    {
        host_.deliver(drain_requested{});
    }

    void on_datagram(datagram const& received)
    {
        auto const packet = parts_.codec.decode(received.bytes);
        if (!packet)
        {
            return;
        }
        if (auto const* request = std::get_if<request_packet>(&*packet))
        {
            host_.deliver(work_received{received.from, *request});
        }
    }

    void on_timer()
    {
        host_.deliver(timer_fired{});
    }

    void carry_out(send_part const& wanted)
    {
        port_.send(wanted.to, parts_.codec.encode(wanted.packet));
    }

    void carry_out(record_run const& wanted)
    {
        json_line{"run"}
            .add("server", state_.settings().name)
            .add_request(wanted.key)
            .add("run", wanted.run)
            .add("new_flow", wanted.new_flow)
            .print();
    }

    void carry_out(record_misrouted const& wanted)
    {
        json_line{"misrouted"}
            .add("server", state_.settings().name)
            .add_request(wanted.key)
            .print();
    }

    void carry_out(wake_at const& wanted)
    {
        alarm_.wake_at(wanted.when);
    }

    void carry_out(finish const& /*wanted*/)
    {
        if (finished_)
        {
            return;
        }
        finished_ = true;
        json_line{"finished"}.add("server", state_.settings().name).print();
        if (--parts_.running == 0)
        {
            parts_.loop.stop(0);
        }
    }

private:
    using host_type = reducer_host<server,
                                   server_event,
                                   server_effect,
                                   hosted_server,
                                   system_clock_source>;

    server_process_parts& parts_;
    server state_;
    host_type host_{state_, *this, parts_.clock};
    timer<hosted_server> alarm_{parts_.loop, *this};
    udp_port<hosted_server> port_;
    bool finished_ = false;
};

class server_process
{
public:
    explicit server_process(std::span<server_settings const> servers)
    {
        for (auto const& one : servers)
        {
            servers_.push_back(std::make_unique<hosted_server>(one, parts_));
        }
    }

    int run()
    {
        return parts_.loop.run();
    }

    void on_shutdown_signal(shutdown_kind kind)
    {
        if (kind == shutdown_kind::at_once)
        {
            parts_.loop.stop(1);
            return;
        }
        for (auto const& one : servers_)
        {
            one->drain();
        }
    }

private:
    server_process_parts parts_;
    std::vector<std::unique_ptr<hosted_server>> servers_;
    shutdown_signals<server_process> signals_{parts_.loop, *this};
};

/// Fields address, ms, parts and size.
work_profile parse_profile(std::string_view text)
{
    named_fields fields{text};
    work_profile profile;
    profile.service_address = parse_endpoint(fields.take("address"));
    profile.service_time = fields.take_ms("ms", profile.service_time);
    profile.parts =
        static_cast<std::uint16_t>(fields.take_number("parts", profile.parts));
    profile.part_size = static_cast<std::size_t>(
        fields.take_number("size", static_cast<double>(profile.part_size)));
    fields.finish();
    return profile;
}

report_mode parse_report_mode(std::string_view text)
{
    if (text == "truthful")
    {
        return report_mode::truthful;
    }
    if (text == "lagging")
    {
        return report_mode::lagging;
    }
    if (text == "lying")
    {
        return report_mode::lying;
    }
    throw flag_error("not a report mode: " + std::string{text});
}

/// Fields name and where over the common settings; each server has a seed of
/// its own.
server_settings parse_server(std::string_view text, server_settings common)
{
    named_fields fields{text};
    common.name = fields.take("name");
    common.where = parse_endpoint(fields.take("where"));
    common.seed = mix(common.seed + hash_of(common.where));
    fields.finish();
    return common;
}

server_settings common_settings(cxxopts::ParseResult const& flags)
{
    server_settings settings;
    settings.slots =
        parse_number<std::uint16_t>(flags["slots"].as<std::string>());
    settings.queue_limit =
        parse_number<std::size_t>(flags["queue"].as<std::string>());
    settings.connections =
        parse_number<std::size_t>(flags["connections"].as<std::string>());
    settings.cold_period = std::chrono::milliseconds{
        parse_number<std::uint32_t>(flags["cold-ms"].as<std::string>())};
    settings.cold_factor =
        parse_number<double>(flags["cold-factor"].as<std::string>());
    settings.reports = parse_report_mode(flags["reports"].as<std::string>());
    settings.seed =
        parse_number<std::uint64_t>(flags["seed"].as<std::string>());
    for (auto const& one : split_text(flags["work"].as<std::string>(), ';'))
    {
        settings.profiles.push_back(parse_profile(one));
    }
    return settings;
}

} // namespace

int run_servers(int argc, char const* const* argv)
{
    cxxopts::Options options{"server"};
    auto add = options.add_options();
    add("server",
        "name=N,where=ip:port; several are separated by ';'",
        cxxopts::value<std::string>());
    add("work",
        "address=ip:port,ms=N,parts=N,size=N; several, separated by ';'",
        cxxopts::value<std::string>());
    add("slots", "", cxxopts::value<std::string>()->default_value("3"));
    add("queue", "", cxxopts::value<std::string>()->default_value("6"));
    add("connections",
        "open flows",
        cxxopts::value<std::string>()->default_value("2000"));
    add("cold-ms", "", cxxopts::value<std::string>()->default_value("0"));
    add("cold-factor",
        "service time at the start over warm",
        cxxopts::value<std::string>()->default_value("1"));
    add("reports",
        "truthful, lagging or lying",
        cxxopts::value<std::string>()->default_value("truthful"));
    add("seed", "", cxxopts::value<std::string>()->default_value("1"));
    auto const flags = options.parse(argc, argv);
    auto const common = common_settings(flags);
    std::vector<server_settings> servers;
    for (auto const& one : split_text(flags["server"].as<std::string>(), ';'))
    {
        servers.push_back(parse_server(one, common));
    }
    server_process process{servers};
    return process.run();
}

} // namespace dotterelrouter::standins
