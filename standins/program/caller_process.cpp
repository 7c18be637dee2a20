#include "standins/program/subcommands.hpp"

#include "dotterelrouter/codec/codec.hpp"
#include "dotterelrouter/runtime/runtime.hpp"
#include "standins/caller/caller.hpp"
#include "standins/program/text.hpp"

#include <cxxopts.hpp>

#include <memory>
#include <unordered_map>
#include <utility>

namespace dotterelrouter::standins
{
namespace
{

/// Number of local endpoints for each concurrent flow. The surplus delays the
/// reuse of an endpoint for another flow.
constexpr std::size_t endpoints_per_concurrent_flow = 3;
/// Settings with small batches, as a socket serves one flow at a time.
constexpr udp_port_settings socket_settings{.max_batch_size = 8,
                                            .max_datagrams_per_iteration = 64,
                                            .max_datagram_size = 1472,
                                            .kernel_buffer_size = 1 << 20};

double to_milliseconds(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

/// Prints the statistics of one plan.
void print_summary(call_statistics const& statistics)
{
    json_line line{"summary"};
    line.add("plan", statistics.name).add("issued", statistics.issued);
    for (std::size_t index = 0; index < call_outcome_count; ++index)
    {
        line.add(to_string(static_cast<call_outcome>(index)),
                 statistics.outcomes[index]);
    }
    line.add("wrong", statistics.wrong)
        .add("contradicted", statistics.contradicted)
        .add("retransmissions", statistics.retransmissions)
        .add("flows_opened", statistics.flows_opened)
        .add("flows_moved", statistics.flows_moved)
        .add("p50_ms", to_milliseconds(percentile(statistics.latencies, 50)))
        .add("p99_ms", to_milliseconds(percentile(statistics.latencies, 99)))
        .print();
}

/// Runs the callers' reducer on an event loop, with one UDP socket for each
/// local endpoint.
class caller_process
{
public:
    /// Opens a UDP socket at `ip` for each endpoint that the plans need. Throws
    /// runtime_error if that fails.
    caller_process(caller_settings settings, std::uint32_t ip)
        : state_(open_ports(std::move(settings), ip))
    {
    }

    int run()
    {
        host_.deliver(start_issuing{});
        return loop_.run();
    }

    void on_datagram(datagram const& received)
    {
        auto const packet = codec_.decode(received.bytes);
        if (!packet)
        {
            return;
        }
        if (auto const* response = std::get_if<response_packet>(&*packet))
        {
            host_.deliver(response_arrived{received.to, *response});
        }
        if (auto const* refusal = std::get_if<refusal_packet>(&*packet))
        {
            host_.deliver(refusal_arrived{received.to, *refusal});
        }
    }

    void on_timer()
    {
        host_.deliver(timer_fired{});
    }

    void on_shutdown_signal(shutdown_kind kind)
    {
        if (kind == shutdown_kind::immediate)
        {
            loop_.stop(1);
            return;
        }
        host_.deliver(stop_issuing{});
    }

    void execute(send_caller_packet const& effect)
    {
        auto const& flow = effect.packet.key.flow;
        auto const bytes = codec_.encode(effect.packet);
        udp_ports_.at(flow.caller)->send(flow.service_address, bytes);
    }

    void execute(record_call_result const& effect)
    {
        json_line{"call"}
            .add("plan", state_.settings().plans[effect.plan].name)
            .add_request(effect.key)
            .add("outcome", to_string(effect.outcome))
            .add("reason", to_string(effect.last_reason))
            .add("latency_ms", to_milliseconds(effect.latency))
            .print();
    }

    void execute(record_anomaly const& effect)
    {
        json_line{"anomaly"}
            .add_request(effect.key)
            .add("what", effect.description)
            .print();
    }

    void execute(set_timer const& effect)
    {
        timer_.set_deadline(effect.deadline);
    }

    void execute(exit_process const& /*effect*/)
    {
        for (auto const& statistics : state_.statistics())
        {
            print_summary(statistics);
        }
        loop_.stop(0);
    }

private:
    using port_type = udp_port<caller_process>;
    using host_type = reducer_host<caller,
                                   caller_event,
                                   caller_effect,
                                   caller_process,
                                   system_clock_source>;

    /// Opens the sockets, and adds their endpoints to the settings.
    caller_settings open_ports(caller_settings settings, std::uint32_t ip)
    {
        std::size_t port_count = 0;
        for (auto const& plan : settings.plans)
        {
            port_count += plan.concurrent_flows * endpoints_per_concurrent_flow;
        }
        while (udp_ports_.size() < port_count)
        {
            auto port = std::make_unique<port_type>(
                loop_, endpoint{ip, 0}, *this, socket_settings);
            settings.endpoints.push_back(port->local_endpoint());
            udp_ports_.emplace(port->local_endpoint(), std::move(port));
        }
        return settings;
    }

    event_loop loop_;
    system_clock_source clock_;
    packet_codec codec_;
    std::unordered_map<endpoint, std::unique_ptr<port_type>> udp_ports_;
    caller state_;
    host_type host_{state_, *this, clock_};
    timer<caller_process> timer_{loop_, *this};
    shutdown_signals<caller_process> signals_{loop_, *this};
};

/// Parses the fields name, address, idempotent (0 or 1), rate (requests per
/// second), flows (concurrent flows), per_flow (maximum requests of a flow),
/// deadline_ms (timeout) and size (payload bytes of a request). All but name
/// and address are optional. Throws flag_error.
work_plan parse_plan(std::string_view text)
{
    auto const to_size = [](double value)
    {
        return static_cast<std::size_t>(value);
    };
    named_fields fields{text};
    work_plan plan;
    plan.name = fields.take("name");
    plan.service_address = parse_endpoint(fields.take("address"));
    plan.idempotent = fields.take_number("idempotent", 1) > 0;
    plan.requests_per_second =
        fields.take_number("rate", plan.requests_per_second);
    plan.concurrent_flows = to_size(fields.take_number("flows", 10));
    plan.max_requests_per_flow = to_size(fields.take_number("per_flow", 20));
    plan.timeout = fields.take_ms("deadline_ms", plan.timeout);
    plan.request_payload_size = to_size(fields.take_number("size", 100));
    fields.require_all_taken();
    if (plan.concurrent_flows == 0 || plan.requests_per_second <= 0)
    {
        throw flag_error("expected flows and rate greater than 0 in plan " +
                         plan.name);
    }
    return plan;
}

/// Value of a flag that is a number of milliseconds. Throws flag_error or an
/// exception of cxxopts.
std::chrono::milliseconds flag_ms(cxxopts::ParseResult const& flags,
                                  char const* name)
{
    return std::chrono::milliseconds{
        parse_number<std::uint32_t>(flags[name].as<std::string>())};
}

} // namespace

int run_callers(int argc, char const* const* argv)
{
    cxxopts::Options options{"caller"};
    auto add_option = options.add_options();
    add_option("ip",
               "local IPv4 address of the callers",
               cxxopts::value<std::string>());
    add_option(
        "plan",
        "workloads, as "
        "name=N,address=ip:port,idempotent=0|1,rate=N,flows=N,per_flow=N,"
        "deadline_ms=N,size=N; separated by ';'",
        cxxopts::value<std::string>());
    add_option(
        "run-ms",
        "time from the start during which requests are issued, in milliseconds",
        cxxopts::value<std::string>()->default_value("10000"));
    add_option("retransmit-ms",
               "time without progress before a retransmission, in milliseconds",
               cxxopts::value<std::string>()->default_value("500"));
    add_option("patience-ms",
               "time to wait for answers after the deadline, in milliseconds",
               cxxopts::value<std::string>()->default_value("4000"));
    add_option("seed",
               "seed of the random numbers",
               cxxopts::value<std::string>()->default_value("1"));
    auto const flags = options.parse(argc, argv);
    caller_settings settings;
    for (auto const& entry : split_text(flags["plan"].as<std::string>(), ';'))
    {
        settings.plans.push_back(parse_plan(entry));
    }
    settings.issue_duration = flag_ms(flags, "run-ms");
    settings.retransmit_interval = flag_ms(flags, "retransmit-ms");
    settings.response_grace_period = flag_ms(flags, "patience-ms");
    settings.seed =
        parse_number<std::uint64_t>(flags["seed"].as<std::string>());
    caller_process process{std::move(settings),
                           parse_ip(flags["ip"].as<std::string>())};
    return process.run();
}

} // namespace dotterelrouter::standins
