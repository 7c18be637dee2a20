#include "standins/program/subcommands.hpp"

#include "dotterelrouter/runtime/runtime.hpp"
#include "standins/fabric/fabric.hpp"
#include "standins/program/text.hpp"

#include <cxxopts.hpp>

#include <fstream>
#include <iterator>
#include <memory>
#include <utility>

namespace dotterelrouter::standins
{
namespace
{

/// Time between two reads of the file of balancers.
constexpr duration links_file_poll_interval = std::chrono::milliseconds{50};

/// Content of a file; empty if the file can't be read.
std::string read_file(std::string_view path)
{
    std::ifstream file{std::string{path}};
    return {std::istreambuf_iterator<char>{file}, {}};
}

/// Parses "ip:port", optionally followed by a space and fields separated by
/// commas: loss and duplicate (probabilities), delay_ms (maximum delay) and
/// cut (1 cuts the link). Throws flag_error.
fabric_link parse_link(std::string_view line)
{
    auto const space_position = line.find(' ');
    auto const field_text = space_position == std::string_view::npos
                                ? ""
                                : line.substr(space_position + 1);
    named_fields fields{field_text};
    fabric_link link;
    link.data_endpoint = parse_endpoint(line.substr(0, space_position));
    link.loss_probability = fields.take_number("loss", 0);
    link.duplicate_probability = fields.take_number("duplicate", 0);
    link.max_delay = fields.take_ms("delay_ms", {});
    link.is_cut = fields.take_number("cut", 0) > 0;
    fields.require_all_taken();
    return link;
}

/// Parses one link a line; empty lines are ignored. Throws flag_error.
std::vector<fabric_link> parse_links(std::string_view content)
{
    std::vector<fabric_link> links;
    for (auto const& line : split_text(content, '\n'))
    {
        if (!line.empty())
        {
            links.push_back(parse_link(line));
        }
    }
    return links;
}

/// Runs the fabric's reducer on an event loop. Receives datagrams on the
/// service addresses and forwards them to the balancers.
class fabric_process
{
public:
    /// Opens a socket for each service address and reads the file of
    /// balancers. Throws runtime_error or flag_error.
    fabric_process(std::span<endpoint const> service_addresses,
                   std::string_view balancers_path,
                   std::uint64_t seed)
        : balancers_path_(balancers_path), state_(seed),
          balancer_port_(loop_, {}, *this)
    {
        for (auto const service_address : service_addresses)
        {
            service_ports_.push_back(
                std::make_unique<port_type>(loop_, service_address, *this));
        }
        links_file_.on_timer();
    }

    int run()
    {
        return loop_.run();
    }

    void on_datagram(datagram const& received)
    {
        host_.deliver(datagram_received{received.bytes});
    }

    void on_timer()
    {
        host_.deliver(timer_fired{});
    }

    void on_shutdown_signal(shutdown_kind /*kind*/)
    {
        loop_.stop(0);
    }

    void execute(forward_datagram const& effect)
    {
        balancer_port_.send(effect.destination, effect.bytes);
    }

    void execute(set_timer const& effect)
    {
        timer_.set_deadline(effect.deadline);
    }

private:
    using port_type = udp_port<fabric_process>;
    using host_type = reducer_host<fabric,
                                   fabric_event,
                                   fabric_effect,
                                   fabric_process,
                                   system_clock_source>;

    /// Polls the file of balancers and delivers links_changed if its content
    /// has changed.
    struct links_file_watcher
    {
        fabric_process& process;
        std::string last_content;
        timer<links_file_watcher> poll_timer{process.loop_, *this};

        void on_timer()
        {
            auto content = read_file(process.balancers_path_);
            if (content != last_content)
            {
                last_content = std::move(content);
                auto const links = parse_links(last_content);
                process.host_.deliver(links_changed{links});
            }
            poll_timer.set_deadline(process.clock_.now().steady +
                                    links_file_poll_interval);
        }
    };

    event_loop loop_;
    system_clock_source clock_;
    std::string balancers_path_;
    fabric state_;
    host_type host_{state_, *this, clock_};
    timer<fabric_process> timer_{loop_, *this};
    shutdown_signals<fabric_process> signals_{loop_, *this};
    links_file_watcher links_file_{*this, {}};
    port_type balancer_port_;
    std::vector<std::unique_ptr<port_type>> service_ports_;
};

} // namespace

int run_fabric(int argc, char const* const* argv)
{
    cxxopts::Options options{"fabric"};
    auto add_option = options.add_options();
    add_option(
        "address",
        "service address to receive datagrams on, ip:port; may be repeated",
        cxxopts::value<std::vector<std::string>>());
    add_option("balancers",
               "file with one balancer a line, as \"ip:port\" or "
               "\"ip:port loss=P,duplicate=P,delay_ms=N,cut=0|1\"; changes "
               "take effect while the program runs",
               cxxopts::value<std::string>());
    add_option("seed",
               "seed of the random numbers",
               cxxopts::value<std::string>()->default_value("1"));
    auto const flags = options.parse(argc, argv);
    std::vector<endpoint> service_addresses;
    for (auto const& text : flags["address"].as<std::vector<std::string>>())
    {
        service_addresses.push_back(parse_endpoint(text));
    }
    fabric_process process{
        service_addresses,
        flags["balancers"].as<std::string>(),
        parse_number<std::uint64_t>(flags["seed"].as<std::string>())};
    return process.run();
}

} // namespace dotterelrouter::standins
