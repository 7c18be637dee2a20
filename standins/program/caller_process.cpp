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

/// Endpoints for each flow that is open at once.
constexpr std::size_t endpoints_per_flow = 3;
/// A caller's socket gets few datagrams at once.
constexpr udp_port_settings socket_settings{
    .batch = 8, .turn = 64, .datagram_size = 1472, .kernel_buffer = 1 << 20};

double milliseconds_of(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

void print_summary(call_tally const& tally)
{
    json_line line{"summary"};
    line.add("plan", tally.name).add("issued", tally.issued);
    for (std::size_t index = 0; index < call_outcome_count; ++index)
    {
        line.add(to_string(static_cast<call_outcome>(index)),
                 tally.outcomes[index]);
    }
    line.add("wrong", tally.wrong)
        .add("contradicted", tally.contradicted)
        .add("retransmissions", tally.retransmissions)
        .add("flows_opened", tally.flows_opened)
        .add("flows_moved", tally.flows_moved)
        .add("p50_ms", milliseconds_of(percentile(tally.latencies, 50)))
        .add("p99_ms", milliseconds_of(percentile(tally.latencies, 99)))
        .print();
}

class caller_process
{
public:
    /// Opens the sockets that the plans need, at `ip`.
    caller_process(caller_settings settings, std::uint32_t ip)
        : state_(with_endpoints(std::move(settings), ip))
    {
    }

    int run()
    {
        host_.deliver(start_calling{});
        return loop_.run();
    }

    void on_datagram(datagram const& received)
    {
        auto const packet = codec_.decode(received.bytes);
        if (!packet)
        {
            return;
        }
        if (auto const* answer = std::get_if<answer_packet>(&*packet))
        {
            host_.deliver(answer_arrived{received.to, *answer});
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
        if (kind == shutdown_kind::at_once)
        {
            loop_.stop(1);
            return;
        }
        host_.deliver(stop_calling{});
    }

    void carry_out(send_call const& wanted)
    {
        auto const& flow = wanted.packet.key.flow;
        auto const bytes = codec_.encode(wanted.packet);
        ports_.at(flow.caller)->send(flow.service_address, bytes);
    }

    void carry_out(record_call const& wanted)
    {
        json_line{"call"}
            .add("plan", state_.settings().plans[wanted.plan].name)
            .add_request(wanted.key)
            .add("outcome", to_string(wanted.outcome))
            .add("reason", to_string(wanted.why))
            .add("latency_ms", milliseconds_of(wanted.latency))
            .print();
    }

    void carry_out(record_anomaly const& wanted)
    {
        json_line{"anomaly"}
            .add_request(wanted.key)
            .add("what", wanted.what)
            .print();
    }

    void carry_out(wake_at const& wanted)
    {
        alarm_.wake_at(wanted.when);
    }

    void carry_out(finish const& /*wanted*/)
    {
        for (auto const& tally : state_.tallies())
        {
            print_summary(tally);
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

    caller_settings with_endpoints(caller_settings settings, std::uint32_t ip)
    {
        std::size_t wanted = 0;
        for (auto const& plan : settings.plans)
        {
            wanted += plan.flows * endpoints_per_flow;
        }
        while (ports_.size() < wanted)
        {
            auto port = std::make_unique<port_type>(
                loop_, endpoint{ip, 0}, *this, socket_settings);
            settings.endpoints.push_back(port->local());
            ports_.emplace(port->local(), std::move(port));
        }
        return settings;
    }

    event_loop loop_;
    system_clock_source clock_;
    packet_codec codec_;
    std::unordered_map<endpoint, std::unique_ptr<port_type>> ports_;
    caller state_;
    host_type host_{state_, *this, clock_};
    timer<caller_process> alarm_{loop_, *this};
    shutdown_signals<caller_process> signals_{loop_, *this};
};

/// Fields name, address, idempotent (0 or 1), rate, flows, per_flow,
/// deadline_ms and size.
work_plan parse_plan(std::string_view text)
{
    auto const count = [](double value)
    {
        return static_cast<std::size_t>(value);
    };
    named_fields fields{text};
    work_plan plan;
    plan.name = fields.take("name");
    plan.service_address = parse_endpoint(fields.take("address"));
    plan.idempotent = fields.take_number("idempotent", 1) > 0;
    plan.rate = fields.take_number("rate", plan.rate);
    plan.flows = count(fields.take_number("flows", 10));
    plan.requests_per_flow = count(fields.take_number("per_flow", 20));
    plan.deadline = fields.take_ms("deadline_ms", plan.deadline);
    plan.request_size = count(fields.take_number("size", 100));
    fields.finish();
    if (plan.flows == 0 || plan.rate <= 0)
    {
        throw flag_error("plan without flows or rate: " + plan.name);
    }
    return plan;
}

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
    auto add = options.add_options();
    add("ip", "own address", cxxopts::value<std::string>());
    add("plan",
        "name=N,address=ip:port,idempotent=0|1,rate=N,flows=N,per_flow=N,"
        "deadline_ms=N,size=N; several are separated by ';'",
        cxxopts::value<std::string>());
    add("run-ms", "", cxxopts::value<std::string>()->default_value("10000"));
    add("retransmit-ms",
        "",
        cxxopts::value<std::string>()->default_value("500"));
    add("patience-ms",
        "wait after the deadline",
        cxxopts::value<std::string>()->default_value("4000"));
    add("seed", "", cxxopts::value<std::string>()->default_value("1"));
    auto const flags = options.parse(argc, argv);
    caller_settings settings;
    for (auto const& one : split_text(flags["plan"].as<std::string>(), ';'))
    {
        settings.plans.push_back(parse_plan(one));
    }
    settings.run_for = flag_ms(flags, "run-ms");
    settings.retransmit_after = flag_ms(flags, "retransmit-ms");
    settings.patience = flag_ms(flags, "patience-ms");
    settings.seed =
        parse_number<std::uint64_t>(flags["seed"].as<std::string>());
    caller_process process{std::move(settings),
                           parse_ip(flags["ip"].as<std::string>())};
    return process.run();
}

} // namespace dotterelrouter::standins
