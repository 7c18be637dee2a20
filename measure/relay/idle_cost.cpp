// What a fleet of idle balancers costs: control bytes and processor time of
// each, over loopback and for some seconds:
//
//     build/measure/relay/idle_cost --balancers 8 --seconds 20
//
// Each balancer is the product's process on threads of its own, with a
// platform that answers within the process. Bytes are those of the messages,
// without the framing of ZeroMQ and TCP.
#include "instant_platform.hpp"

#include "dotterelrouter/balancer/balancer.hpp"
#include "dotterelrouter/runtime/internal/balancer_process.hpp"

#include <cxxopts.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace dotterelrouter::measure
{
namespace
{

constexpr std::uint32_t first_ip = 0x7f000101;
constexpr std::uint16_t control_port = 17000;
constexpr std::uint16_t data_port = 17001;
constexpr std::size_t data_centres = 4;

/// Sums over all balancers.
struct fleet_totals
{
    double control_bytes = 0;    ///< Sent.
    double control_messages = 0; ///< Sent.
    double members = 0;
    double held_rights = 0;
    double processor_seconds = 0; ///< Of the whole process.
};

/// One balancer on a thread of its own.
class running_balancer
{
public:
    explicit running_balancer(std::uint32_t number)
        : settings_(settings_of(number)), state_(state_of(settings_)),
          process_(settings_, self_of(settings_).id, state_, clock_),
          thread_(
              [this]
              {
                  process_.run();
              })
    {
    }

    ~running_balancer()
    {
        thread_.join();
    }

    running_balancer(running_balancer const&) = delete;
    running_balancer& operator=(running_balancer const&) = delete;

    static balancer_process_settings settings_of(std::uint32_t number)
    {
        balancer_process_settings settings;
        settings.control = {first_ip + number, control_port};
        settings.data = {first_ip + number, data_port};
        settings.admin = {first_ip + number, 0};
        settings.platform = {first_ip, 1};
        settings.data_centre = "dc-" + std::to_string(number % data_centres);
        settings.seed = number + 1;
        settings.log_level = "error";
        return settings;
    }

    static member_record self_of(balancer_process_settings const& settings)
    {
        member_record self;
        self.id = {settings.control, 1};
        self.data = settings.data;
        self.data_centre = {id_from_name(settings.data_centre)};
        return self;
    }

    [[nodiscard]] endpoint admin() const
    {
        return process_.admin();
    }

private:
    using process = internal::balancer_process<balancer,
                                               instant_platform,
                                               system_clock_source,
                                               packet_codec>;

    static balancer_settings state_of(balancer_process_settings const& settings)
    {
        return balancer_builder{}
            .self(self_of(settings))
            .seed(settings.seed)
            .slots(settings.slots)
            .build();
    }

    balancer_process_settings settings_;
    system_clock_source clock_;
    balancer state_;
    process process_;
    std::thread thread_;
};

/// The text behind `path` of an admin endpoint.
std::string get(endpoint where, std::string_view path)
{
    auto const client = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(where.ip);
    address.sin_port = htons(where.port);
    std::string all;
    if (::connect(client,
                  reinterpret_cast<sockaddr const*>(&address),
                  sizeof(address)) == 0)
    {
        auto const request = "GET " + std::string{path} +
                             " HTTP/1.1\r\nConnection: close\r\n\r\n";
        auto size = ::send(client, request.data(), request.size(), 0);
        std::array<char, 4096> part{};
        while (size > 0)
        {
            size = ::recv(client, part.data(), part.size(), 0);
            all.append(part.data(),
                       static_cast<std::size_t>(std::max(size, ssize_t{0})));
        }
    }
    ::close(client);
    return all;
}

/// The value of a metric on a page; 0 if it is not there.
double value_of(std::string_view page, std::string_view metric)
{
    auto const line = "\ndotterelrouter_" + std::string{metric} + " ";
    auto const at = page.find(line);
    return at == std::string_view::npos
               ? 0
               : std::atof(page.substr(at + line.size()).data());
}

using fleet = std::vector<std::unique_ptr<running_balancer>>;

fleet_totals totals_of(std::span<std::unique_ptr<running_balancer> const> all)
{
    fleet_totals sum;
    for (auto const& one : all)
    {
        auto const page = get(one->admin(), "/metrics");
        sum.control_bytes += value_of(page, "control_sent_bytes_total");
        sum.control_messages += value_of(page, "control_messages_sent_total");
        sum.members += value_of(page, "members");
        sum.held_rights += value_of(page, "held_rights");
    }
    rusage used{};
    ::getrusage(RUSAGE_SELF, &used);
    constexpr double micro = 1e-6;
    sum.processor_seconds =
        static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) +
        micro *
            static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec);
    return sum;
}

std::shared_ptr<configuration const> idle_configuration()
{
    configuration_builder builder;
    builder.epoch({1});
    work_kind lookup;
    lookup.name = "lookup";
    lookup.share_percent = 100;
    builder.kind(lookup);
    server_declaration server;
    server.name = "server-1";
    server.service = "catalogue";
    server.where = {first_ip, 1};
    server.data_centre = "dc-0";
    builder.server(server);
    builder.address({{first_ip, 2}, "catalogue", "lookup"});
    return builder.build();
}

void serve_platform(std::uint32_t balancers)
{
    auto& content = served_content();
    content.config = idle_configuration();
    for (std::uint32_t i = 0; i < balancers; ++i)
    {
        auto const self =
            running_balancer::self_of(running_balancer::settings_of(i));
        content.vms.push_back(
            {self.id.control, self.data, self.data_centre, false});
    }
}

void report(fleet_totals const& before,
            fleet_totals const& after,
            double balancers,
            double seconds)
{
    auto const each = balancers * seconds;
    constexpr double percent = 100;
    std::printf(
        "%3.0f balancers: each sends %.0f control bytes/s in %.1f messages/s "
        "and uses %.2f%% of a CPU\n"
        "              each sees %.1f members and holds %.1f rights\n",
        balancers,
        (after.control_bytes - before.control_bytes) / each,
        (after.control_messages - before.control_messages) / each,
        percent * (after.processor_seconds - before.processor_seconds) / each,
        after.members / balancers,
        after.held_rights / balancers);
}

int run(int argc, char** argv)
{
    cxxopts::Options options("idle_cost", "Cost of idle balancers.");
    options.add_options()("balancers",
                          "how many",
                          cxxopts::value<std::uint32_t>()->default_value("8"))(
        "settle",
        "seconds before measuring",
        cxxopts::value<unsigned>()->default_value("30"))(
        "seconds",
        "measured time",
        cxxopts::value<unsigned>()->default_value("20"));
    auto const given = options.parse(argc, argv);
    auto const balancers = given["balancers"].as<std::uint32_t>();
    auto const seconds = given["seconds"].as<unsigned>();
    log_output const output{log_level::error};
    serve_platform(balancers);
    fleet all;
    for (std::uint32_t i = 0; i < balancers; ++i)
    {
        all.push_back(std::make_unique<running_balancer>(i));
    }
    std::this_thread::sleep_for(
        std::chrono::seconds{given["settle"].as<unsigned>()});
    auto const before = totals_of(all);
    std::this_thread::sleep_for(std::chrono::seconds{seconds});
    report(before, totals_of(all), balancers, seconds);
    std::fflush(stdout);
    std::quick_exit(EXIT_SUCCESS);
}

} // namespace
} // namespace dotterelrouter::measure

int main(int argc, char** argv)
{
    try
    {
        return dotterelrouter::measure::run(argc, argv);
    }
    catch (std::exception const& error)
    {
        std::fprintf(stderr, "idle_cost: %s\n", error.what());
        return EXIT_FAILURE;
    }
}
