// Compares the CPU time per packet of one balancer with that of a bare UDP
// relay, over loopback:
//
//     build/measure/relay/relay_cost --rate 20000 --seconds 4
//
// Both run at the same time under the same load. A request and its response
// count as two packets; each is received and sent once. The balancer is the
// production balancer process on a thread of its own, with a platform inside
// the process.
#include "bare_relay.hpp"
#include "instant_platform.hpp"
#include "load.hpp"

#include "dotterelrouter/balancer/balancer.hpp"
#include "dotterelrouter/runtime/internal/balancer_process.hpp"

#include <cxxopts.hpp>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <exception>
#include <pthread.h>
#include <string>
#include <thread>

namespace dotterelrouter::measure
{
namespace
{

constexpr auto warm_up = std::chrono::seconds{3};
/// Time for which the load continues after the measured time.
constexpr auto load_overrun = std::chrono::milliseconds{500};
constexpr double packets_per_request = 2;
constexpr std::size_t server_count = 4;
constexpr endpoint service_address{0x0a0000fe, 443};
constexpr std::uint32_t balancer_ip = 0x7f000042;
constexpr std::uint16_t control_port = 17000;
constexpr std::uint16_t data_port = 17001;

/// The cost of one subject, the balancer or the relay, under the load.
struct cost
{
    double responses_per_second = 0;   ///< Responses that reached the callers.
    double nanoseconds_per_packet = 0; ///< CPU time.
    double cpu_fraction = 0;           ///< Fraction of one CPU that was used.
};

double thread_cpu_seconds(std::thread& thread)
{
    clockid_t clock{};
    pthread_getcpuclockid(thread.native_handle(), &clock);
    timespec spent{};
    clock_gettime(clock, &spent);
    constexpr double seconds_per_nanosecond = 1e-9;
    return static_cast<double>(spent.tv_sec) +
           seconds_per_nanosecond * static_cast<double>(spent.tv_nsec);
}

/// Waits for the warm-up and for the measured time, and reads the CPU time of
/// the subject's thread and the number of responses before and after the
/// latter.
cost measure_subject(std::thread& subject,
                     steady_callers const& callers,
                     load_settings const& settings)
{
    std::this_thread::sleep_for(warm_up);
    auto const cpu_before = thread_cpu_seconds(subject);
    auto const responses_before = callers.response_count();
    std::this_thread::sleep_for(settings.measured_time);
    auto const cpu_used = thread_cpu_seconds(subject) - cpu_before;
    auto const responses =
        static_cast<double>(callers.response_count() - responses_before);
    auto const seconds =
        std::chrono::duration<double>(settings.measured_time).count();
    constexpr double nanoseconds_per_second = 1e9;
    return {responses / seconds,
            nanoseconds_per_second * cpu_used /
                (responses * packets_per_request),
            cpu_used / seconds};
}

/// Runs the subject under the load and measures it. `run` gets the end time of
/// the load; it returns by itself then, or when `stop` is called after that.
template <class Run, class Stop>
cost measure(load_settings const& settings,
             steady_callers& callers,
             echo_servers& echo,
             endpoint subject_endpoint,
             Run run,
             Stop stop)
{
    auto const end_time = std::chrono::steady_clock::now() + warm_up +
                          settings.measured_time + load_overrun;
    std::thread subject{run, end_time};
    pthread_setname_np(subject.native_handle(), "subject");
    std::thread server_thread{[&echo, end_time]
                              {
                                  echo.run(end_time);
                              }};
    std::thread caller_thread{[&callers, subject_endpoint, end_time]
                              {
                                  callers.run(subject_endpoint, end_time);
                              }};
    auto const result = measure_subject(subject, callers, settings);
    caller_thread.join();
    server_thread.join();
    stop();
    subject.join();
    return result;
}

cost measure_relay(load_settings const& settings)
{
    echo_servers echo{server_count};
    steady_callers callers{settings, service_address};
    bare_relay relay{echo.local(), callers.local()};
    return measure(
        settings,
        callers,
        echo,
        relay.local(),
        [&relay](steady_time end_time)
        {
            relay.run(end_time);
        },
        [] {});
}

std::shared_ptr<configuration const>
make_configuration(std::span<endpoint const> server_endpoints)
{
    configuration_builder builder;
    builder.epoch({1});
    work_kind lookup;
    lookup.name = "lookup";
    lookup.share_percent = 100;
    lookup.default_deadline = std::chrono::seconds{2};
    builder.kind(lookup);
    for (auto const server_endpoint : server_endpoints)
    {
        server_declaration server;
        server.name = "server-" + std::to_string(server_endpoint.port);
        server.service = "catalogue";
        server.address = server_endpoint;
        server.data_centre = "dub-a";
        constexpr std::uint16_t slots = 1000;
        server.slots = slots;
        builder.server(server);
    }
    builder.address({service_address, "catalogue", "lookup"});
    return builder.build();
}

balancer_process_settings process_settings()
{
    balancer_process_settings settings;
    settings.control_endpoint = {balancer_ip, control_port};
    settings.data_endpoint = {balancer_ip, data_port};
    settings.admin_endpoint = {balancer_ip, 0};
    settings.platform_endpoint = {balancer_ip, 1};
    settings.data_centre = "dub-a";
    settings.seed = 1;
    settings.log_level = "error";
    return settings;
}

cost measure_balancer(load_settings const& settings)
{
    echo_servers echo{server_count};
    steady_callers callers{settings, service_address};
    auto const process = process_settings();
    system_clock_source clock;
    member_record self;
    self.id = {process.control_endpoint, 1};
    self.data = process.data_endpoint;
    self.data_centre = {id_from_name(process.data_centre)};
    shared_platform_content().config = make_configuration(echo.local());
    shared_platform_content().vms = {{process.control_endpoint,
                                      process.data_endpoint,
                                      self.data_centre,
                                      false}};
    balancer production_balancer{balancer_builder{}
                                     .self(self)
                                     .seed(process.seed)
                                     .slots(process.slot_count)
                                     .build()};
    internal::balancer_process<balancer,
                               instant_platform,
                               system_clock_source,
                               packet_codec>
        subject{process, self.id, production_balancer, clock};
    return measure(
        settings,
        callers,
        echo,
        process.data_endpoint,
        [&subject](steady_time)
        {
            subject.run();
        },
        []
        {
            // The second signal stops the process without draining.
            std::raise(SIGTERM);
            std::raise(SIGTERM);
        });
}

void print(char const* subject, cost const& measured)
{
    std::printf("%-9s %9.0f answers/s %7.0f ns/packet %5.1f%% of a CPU\n",
                subject,
                measured.responses_per_second,
                measured.nanoseconds_per_packet,
                100 * measured.cpu_fraction);
}

/// Measures both at the same time, so that other load on the machine affects
/// both.
void compare(load_settings const& settings)
{
    cost relay_cost;
    std::thread relay_thread{[&relay_cost, &settings]
                             {
                                 relay_cost = measure_relay(settings);
                             }};
    auto const balancer_cost = measure_balancer(settings);
    relay_thread.join();
    print("relay", relay_cost);
    print("balancer", balancer_cost);
    std::printf("ratio     %.2f\n",
                balancer_cost.nanoseconds_per_packet /
                    relay_cost.nanoseconds_per_packet);
}

int run(int argc, char** argv)
{
    cxxopts::Options options(
        "relay_cost",
        "Compares the CPU time per packet of a balancer and a bare relay.");
    options.add_options()(
        "rate", "requests per second", cxxopts::value<std::size_t>())(
        "flows", "number of callers", cxxopts::value<std::size_t>())(
        "payload",
        "payload bytes of each request and answer",
        cxxopts::value<std::size_t>())("seconds",
                                       "duration of the measurement in seconds",
                                       cxxopts::value<unsigned>())(
        "only",
        "measure only this subject: relay or balancer",
        cxxopts::value<std::string>());
    auto const arguments = options.parse(argc, argv);
    load_settings settings;
    settings.requests_per_second = arguments.count("rate")
                                       ? arguments["rate"].as<std::size_t>()
                                       : settings.requests_per_second;
    settings.caller_count = arguments.count("flows")
                                ? arguments["flows"].as<std::size_t>()
                                : settings.caller_count;
    settings.payload_bytes = arguments.count("payload")
                                 ? arguments["payload"].as<std::size_t>()
                                 : settings.payload_bytes;
    if (arguments.count("seconds"))
    {
        settings.measured_time =
            std::chrono::seconds{arguments["seconds"].as<unsigned>()};
    }
    auto const subject =
        arguments.count("only") ? arguments["only"].as<std::string>() : "";
    if (subject == "relay")
    {
        print("relay", measure_relay(settings));
        return EXIT_SUCCESS;
    }
    if (subject == "balancer")
    {
        print("balancer", measure_balancer(settings));
        return EXIT_SUCCESS;
    }
    compare(settings);
    return EXIT_SUCCESS;
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
        std::fprintf(stderr, "relay_cost: %s\n", error.what());
        return EXIT_FAILURE;
    }
}
