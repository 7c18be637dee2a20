// Measures the cost of a fleet of idle balancers, over loopback: control bytes
// sent and CPU time used by each balancer:
//
//     build/measure/relay/idle_cost --balancers 8 --seconds 20
//
// Each balancer is the production balancer process on threads of its own, with
// a platform inside the process. Bytes are those of the messages, without the
// framing of ZeroMQ and TCP.
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

/// Address of the first balancer. Each further one has the next address.
constexpr std::uint32_t base_ip = 0x7f000101;
constexpr std::uint16_t control_port = 17000;
constexpr std::uint16_t data_port = 17001;
constexpr std::size_t data_centre_count = 4;

/// Sums over all balancers.
struct fleet_totals
{
    double control_bytes = 0;    ///< Sent.
    double control_messages = 0; ///< Sent.
    double members = 0;
    double held_leases = 0;
    double cpu_seconds = 0; ///< CPU time of the whole process.
};

/// A balancer whose event loop runs on a thread of its own.
class running_balancer
{
public:
    explicit running_balancer(std::uint32_t index)
        : settings_(settings_of(index)),
          balancer_(balancer_settings_of(settings_)),
          process_(settings_, self_of(settings_).id, balancer_, clock_),
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

    static balancer_process_settings settings_of(std::uint32_t index)
    {
        balancer_process_settings settings;
        settings.control_endpoint = {base_ip + index, control_port};
        settings.data_endpoint = {base_ip + index, data_port};
        settings.admin_endpoint = {base_ip + index, 0};
        settings.platform_endpoint = {base_ip, 1};
        settings.data_centre =
            "dc-" + std::to_string(index % data_centre_count);
        settings.seed = index + 1;
        settings.log_level = "error";
        return settings;
    }

    static member_record self_of(balancer_process_settings const& settings)
    {
        member_record self;
        self.id = {settings.control_endpoint, 1};
        self.data = settings.data_endpoint;
        self.data_centre = {id_from_name(settings.data_centre)};
        return self;
    }

    [[nodiscard]] endpoint admin() const
    {
        return process_.admin_endpoint();
    }

private:
    using process = internal::balancer_process<balancer,
                                               instant_platform,
                                               system_clock_source,
                                               packet_codec>;

    static balancer_settings
    balancer_settings_of(balancer_process_settings const& settings)
    {
        return balancer_builder{}
            .self(self_of(settings))
            .seed(settings.seed)
            .slots(settings.slot_count)
            .build();
    }

    balancer_process_settings settings_;
    system_clock_source clock_;
    balancer balancer_;
    process process_;
    std::thread thread_;
};

/// Requests `path` from an admin endpoint. Returns the whole response with its
/// headers, or an empty string if the connection fails.
std::string http_get(endpoint server, std::string_view path)
{
    auto const socket_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(server.ip);
    address.sin_port = htons(server.port);
    std::string response;
    if (::connect(socket_fd,
                  reinterpret_cast<sockaddr const*>(&address),
                  sizeof(address)) == 0)
    {
        auto const request = "GET " + std::string{path} +
                             " HTTP/1.1\r\nConnection: close\r\n\r\n";
        auto size = ::send(socket_fd, request.data(), request.size(), 0);
        std::array<char, 4096> buffer{};
        while (size > 0)
        {
            size = ::recv(socket_fd, buffer.data(), buffer.size(), 0);
            response.append(
                buffer.data(),
                static_cast<std::size_t>(std::max(size, ssize_t{0})));
        }
    }
    ::close(socket_fd);
    return response;
}

/// Returns the value of a metric without labels on a page, or 0 if the page
/// does not have it. `page` must be part of a null-terminated string.
double metric_value(std::string_view page, std::string_view metric)
{
    auto const prefix = "\ndotterelrouter_" + std::string{metric} + " ";
    auto const position = page.find(prefix);
    return position == std::string_view::npos
               ? 0
               : std::atof(page.substr(position + prefix.size()).data());
}

using fleet = std::vector<std::unique_ptr<running_balancer>>;

fleet_totals
totals_of(std::span<std::unique_ptr<running_balancer> const> balancers)
{
    fleet_totals totals;
    for (auto const& balancer : balancers)
    {
        auto const page = http_get(balancer->admin(), "/metrics");
        totals.control_bytes += metric_value(page, "control_sent_bytes_total");
        totals.control_messages +=
            metric_value(page, "control_messages_sent_total");
        totals.members += metric_value(page, "members");
        totals.held_leases += metric_value(page, "held_rights");
    }
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    constexpr double seconds_per_microsecond = 1e-6;
    totals.cpu_seconds =
        static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
        seconds_per_microsecond * static_cast<double>(usage.ru_utime.tv_usec +
                                                      usage.ru_stime.tv_usec);
    return totals;
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
    server.address = {base_ip, 1};
    server.data_centre = "dc-0";
    builder.server(server);
    builder.address({{base_ip, 2}, "catalogue", "lookup"});
    return builder.build();
}

void set_platform_content(std::uint32_t balancers)
{
    auto& content = shared_platform_content();
    content.config = idle_configuration();
    for (std::uint32_t index = 0; index < balancers; ++index)
    {
        auto const self =
            running_balancer::self_of(running_balancer::settings_of(index));
        content.vms.push_back(
            {self.id.control, self.data, self.data_centre, false});
    }
}

void print_report(fleet_totals const& before,
                  fleet_totals const& after,
                  double balancers,
                  double seconds)
{
    auto const balancer_seconds = balancers * seconds;
    constexpr double percent = 100;
    std::printf(
        "%3.0f balancers: each sends %.0f control bytes/s in %.1f messages/s "
        "and uses %.2f%% of a CPU\n"
        "              each sees %.1f members and holds %.1f leases\n",
        balancers,
        (after.control_bytes - before.control_bytes) / balancer_seconds,
        (after.control_messages - before.control_messages) / balancer_seconds,
        percent * (after.cpu_seconds - before.cpu_seconds) / balancer_seconds,
        after.members / balancers,
        after.held_leases / balancers);
}

int run(int argc, char** argv)
{
    cxxopts::Options options(
        "idle_cost",
        "Measures the control traffic and CPU time of idle balancers.");
    options.add_options()("balancers",
                          "number of balancers",
                          cxxopts::value<std::uint32_t>()->default_value("8"))(
        "settle",
        "seconds to wait before the measurement",
        cxxopts::value<unsigned>()->default_value("30"))(
        "seconds",
        "duration of the measurement in seconds",
        cxxopts::value<unsigned>()->default_value("20"));
    auto const arguments = options.parse(argc, argv);
    auto const balancers = arguments["balancers"].as<std::uint32_t>();
    auto const seconds = arguments["seconds"].as<unsigned>();
    log_output const output{log_level::error};
    set_platform_content(balancers);
    fleet running;
    for (std::uint32_t index = 0; index < balancers; ++index)
    {
        running.push_back(std::make_unique<running_balancer>(index));
    }
    std::this_thread::sleep_for(
        std::chrono::seconds{arguments["settle"].as<unsigned>()});
    auto const before = totals_of(running);
    std::this_thread::sleep_for(std::chrono::seconds{seconds});
    print_report(before, totals_of(running), balancers, seconds);
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
