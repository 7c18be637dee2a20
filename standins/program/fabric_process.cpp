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

/// Between two looks at the file of balancers.
constexpr duration file_poll_interval = std::chrono::milliseconds{50};

std::string read_file(std::string_view path)
{
    std::ifstream in{std::string{path}};
    return {std::istreambuf_iterator<char>{in}, {}};
}

/// A line is "ip:port" and, after a blank, fields loss, duplicate, delay_ms
/// and cut, separated by commas.
fabric_link parse_link(std::string_view line)
{
    auto const blank = line.find(' ');
    auto const rest =
        blank == std::string_view::npos ? "" : line.substr(blank + 1);
    named_fields fields{rest};
    fabric_link link;
    link.data = parse_endpoint(line.substr(0, blank));
    link.loss = fields.take_number("loss", 0);
    link.duplicate = fields.take_number("duplicate", 0);
    link.max_delay = fields.take_ms("delay_ms", {});
    link.cut = fields.take_number("cut", 0) > 0;
    fields.finish();
    return link;
}

std::vector<fabric_link> parse_links(std::string_view text)
{
    std::vector<fabric_link> links;
    for (auto const& line : split_text(text, '\n'))
    {
        if (!line.empty())
        {
            links.push_back(parse_link(line));
        }
    }
    return links;
}

class fabric_process
{
public:
    fabric_process(std::span<endpoint const> addresses,
                   std::string_view balancers,
                   std::uint64_t seed)
        : path_(balancers), state_(seed), out_(loop_, {}, *this)
    {
        for (auto const address : addresses)
        {
            in_.push_back(std::make_unique<port_type>(loop_, address, *this));
        }
        file_.on_timer();
    }

    int run()
    {
        return loop_.run();
    }

    void on_datagram(datagram const& received)
    {
        host_.deliver(datagram_sprayed{received.bytes});
    }

    void on_timer()
    {
        host_.deliver(timer_fired{});
    }

    void on_shutdown_signal(shutdown_kind /*kind*/)
    {
        loop_.stop(0);
    }

    void carry_out(forward_datagram const& wanted)
    {
        out_.send(wanted.to, wanted.bytes);
    }

    void carry_out(wake_at const& wanted)
    {
        alarm_.wake_at(wanted.when);
    }

private:
    using port_type = udp_port<fabric_process>;
    using host_type = reducer_host<fabric,
                                   fabric_event,
                                   fabric_effect,
                                   fabric_process,
                                   system_clock_source>;

    /// Reads the file again and again; tells what has changed.
    struct file_reader
    {
        fabric_process& process;
        std::string last;
        timer<file_reader> alarm{process.loop_, *this};

        void on_timer()
        {
            auto text = read_file(process.path_);
            if (text != last)
            {
                last = std::move(text);
                auto const links = parse_links(last);
                process.host_.deliver(links_read{links});
            }
            alarm.wake_at(process.clock_.now().steady + file_poll_interval);
        }
    };

    event_loop loop_;
    system_clock_source clock_;
    std::string path_;
    fabric state_;
    host_type host_{state_, *this, clock_};
    timer<fabric_process> alarm_{loop_, *this};
    shutdown_signals<fabric_process> signals_{loop_, *this};
    file_reader file_{*this, {}};
    port_type out_;
    std::vector<std::unique_ptr<port_type>> in_;
};

} // namespace

int run_fabric(int argc, char const* const* argv)
{
    cxxopts::Options options{"fabric"};
    auto add = options.add_options();
    add("address",
        "service address ip:port; may be repeated",
        cxxopts::value<std::vector<std::string>>());
    add("balancers",
        "file of balancers' data endpoints, read again when changed",
        cxxopts::value<std::string>());
    add("seed", "", cxxopts::value<std::string>()->default_value("1"));
    auto const flags = options.parse(argc, argv);
    std::vector<endpoint> addresses;
    for (auto const& text : flags["address"].as<std::vector<std::string>>())
    {
        addresses.push_back(parse_endpoint(text));
    }
    fabric_process process{
        addresses,
        flags["balancers"].as<std::string>(),
        parse_number<std::uint64_t>(flags["seed"].as<std::string>())};
    return process.run();
}

} // namespace dotterelrouter::standins
