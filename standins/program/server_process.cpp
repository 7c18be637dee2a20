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

/// Resources that all servers of the process share.
struct shared_resources
{
    event_loop loop;
    system_clock_source clock;
    packet_codec codec;
    /// Servers that have not finished; the last one to finish stops the loop.
    std::size_t unfinished_servers = 0;
};

/// Runs the reducer of one backend server on the shared event loop.
class hosted_server
{
public:
    hosted_server(server_settings settings, shared_resources& resources)
        : resources_(resources), state_(std::move(settings)),
          port_(resources.loop, state_.settings().local_endpoint, *this)
    {
        ++resources_.unfinished_servers;
    }

    void drain()
    {
        host_.deliver(drain_requested{});
    }

    void on_datagram(datagram const& received)
    {
        auto const packet = resources_.codec.decode(received.bytes);
        if (!packet)
        {
            return;
        }
        if (auto const* request = std::get_if<request_packet>(&*packet))
        {
            host_.deliver(packet_received{received.from, *request});
        }
    }

    void on_timer()
    {
        host_.deliver(timer_fired{});
    }

    void execute(send_response_packet const& effect)
    {
        port_.send(effect.balancer, resources_.codec.encode(effect.packet));
    }

    void execute(record_run const& effect)
    {
        json_line{"run"}
            .add("server", state_.settings().name)
            .add_request(effect.key)
            .add("run", effect.run_number)
            .add("new_flow", effect.is_new_flow)
            .print();
    }

    void execute(record_misrouted const& effect)
    {
        json_line{"misrouted"}
            .add("server", state_.settings().name)
            .add_request(effect.key)
            .print();
    }

    void execute(set_timer const& effect)
    {
        timer_.set_deadline(effect.deadline);
    }

    void execute(exit_process const& /*effect*/)
    {
        if (finished_)
        {
            return;
        }
        finished_ = true;
        json_line{"finished"}.add("server", state_.settings().name).print();
        if (--resources_.unfinished_servers == 0)
        {
            resources_.loop.stop(0);
        }
    }

private:
    using host_type = reducer_host<server,
                                   server_event,
                                   server_effect,
                                   hosted_server,
                                   system_clock_source>;

    shared_resources& resources_;
    server state_;
    host_type host_{state_, *this, resources_.clock};
    timer<hosted_server> timer_{resources_.loop, *this};
    udp_port<hosted_server> port_;
    bool finished_ = false;
};

/// Runs one or more backend servers on one event loop. The first shutdown
/// signal drains all servers, a further one stops the process at once.
class server_process
{
public:
    explicit server_process(std::span<server_settings const> servers)
    {
        for (auto const& entry : servers)
        {
            servers_.push_back(
                std::make_unique<hosted_server>(entry, resources_));
        }
    }

    int run()
    {
        return resources_.loop.run();
    }

    void on_shutdown_signal(shutdown_kind kind)
    {
        if (kind == shutdown_kind::immediate)
        {
            resources_.loop.stop(1);
            return;
        }
        for (auto const& entry : servers_)
        {
            entry->drain();
        }
    }

private:
    shared_resources resources_;
    std::vector<std::unique_ptr<hosted_server>> servers_;
    shutdown_signals<server_process> signals_{resources_.loop, *this};
};

/// Parses the fields address, ms (mean service time), parts and size (payload
/// size of a part, in bytes). All but address are optional. Throws flag_error.
work_profile parse_profile(std::string_view text)
{
    named_fields fields{text};
    work_profile profile;
    profile.service_address = parse_endpoint(fields.take("address"));
    profile.mean_service_time = fields.take_ms("ms", profile.mean_service_time);
    profile.part_count = static_cast<std::uint16_t>(
        fields.take_number("parts", profile.part_count));
    profile.part_size = static_cast<std::size_t>(
        fields.take_number("size", static_cast<double>(profile.part_size)));
    fields.require_all_taken();
    return profile;
}

/// Throws flag_error if the text is not the name of a mode.
load_report_mode parse_load_report_mode(std::string_view text)
{
    if (text == "truthful")
    {
        return load_report_mode::truthful;
    }
    if (text == "lagging")
    {
        return load_report_mode::lagging;
    }
    if (text == "lying")
    {
        return load_report_mode::lying;
    }
    throw flag_error(
        "unknown load report mode, expected truthful, lagging or lying: " +
        std::string{text});
}

/// Parses the fields name and where (local endpoint) and adds them to the
/// common settings. Each server gets its own seed, derived from the common
/// seed and its endpoint. Throws flag_error.
server_settings parse_server(std::string_view text, server_settings settings)
{
    named_fields fields{text};
    settings.name = fields.take("name");
    settings.local_endpoint = parse_endpoint(fields.take("where"));
    settings.seed = mix(settings.seed + hash_of(settings.local_endpoint));
    fields.require_all_taken();
    return settings;
}

/// Settings from the flags that apply to all servers. Throws flag_error or an
/// exception of cxxopts.
server_settings parse_common_settings(cxxopts::ParseResult const& flags)
{
    server_settings settings;
    settings.max_running_requests =
        parse_number<std::uint16_t>(flags["slots"].as<std::string>());
    settings.max_queued_requests =
        parse_number<std::size_t>(flags["queue"].as<std::string>());
    settings.max_open_flows =
        parse_number<std::size_t>(flags["connections"].as<std::string>());
    settings.cold_period = std::chrono::milliseconds{
        parse_number<std::uint32_t>(flags["cold-ms"].as<std::string>())};
    settings.cold_factor =
        parse_number<double>(flags["cold-factor"].as<std::string>());
    settings.load_reporting =
        parse_load_report_mode(flags["reports"].as<std::string>());
    settings.seed =
        parse_number<std::uint64_t>(flags["seed"].as<std::string>());
    for (auto const& entry : split_text(flags["work"].as<std::string>(), ';'))
    {
        settings.profiles.push_back(parse_profile(entry));
    }
    return settings;
}

} // namespace

int run_servers(int argc, char const* const* argv)
{
    cxxopts::Options options{"server"};
    auto add_option = options.add_options();
    add_option("server",
               "servers to run, as name=N,where=ip:port; separated by ';'",
               cxxopts::value<std::string>());
    add_option("work",
               "service addresses to serve, as "
               "address=ip:port,ms=N,parts=N,size=N with the mean service "
               "time, parts of an answer and bytes of a part; separated by ';'",
               cxxopts::value<std::string>());
    add_option("slots",
               "maximum number of running requests of a server",
               cxxopts::value<std::string>()->default_value("3"));
    add_option("queue",
               "maximum number of queued requests of a server",
               cxxopts::value<std::string>()->default_value("6"));
    add_option("connections",
               "maximum number of open flows of a server",
               cxxopts::value<std::string>()->default_value("2000"));
    add_option("cold-ms",
               "time from the start until a server is warm, in milliseconds",
               cxxopts::value<std::string>()->default_value("0"));
    add_option(
        "cold-factor",
        "service time at the start divided by the service time when warm",
        cxxopts::value<std::string>()->default_value("1"));
    add_option("reports",
               "how a server reports its load: truthful, lagging or lying",
               cxxopts::value<std::string>()->default_value("truthful"));
    add_option("seed",
               "seed of the random numbers",
               cxxopts::value<std::string>()->default_value("1"));
    auto const flags = options.parse(argc, argv);
    auto const common = parse_common_settings(flags);
    std::vector<server_settings> servers;
    for (auto const& entry : split_text(flags["server"].as<std::string>(), ';'))
    {
        servers.push_back(parse_server(entry, common));
    }
    server_process process{servers};
    return process.run();
}

} // namespace dotterelrouter::standins
