// Processor time of one balancer a packet against a bare UDP relay, over
// loopback and for some seconds:
//
//     build/measure/relay/relay_cost --rate 20000 --seconds 4
//
// Both run at the same time under the same load: a request and its answer are
// two packets in and two out. The balancer is the product's process on a thread
// of its own, with a platform that answers within the process.
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
constexpr auto load_margin = std::chrono::milliseconds{500};
constexpr double packets_a_request = 2;
constexpr std::size_t servers = 4;
constexpr endpoint service_address{0x0a0000fe, 443};
constexpr std::uint32_t balancer_ip = 0x7f000042;
constexpr std::uint16_t control_port = 17000;
constexpr std::uint16_t data_port = 17001;

/// Costs of one subject under the load.
struct cost
{
    double answered = 0;    ///< Requests answered a second.
    double nanoseconds = 0; ///< Processor time a packet.
    double processor = 0;   ///< Part of one processor that was busy.
};

double thread_seconds(std::thread& thread)
{
    clockid_t clock{};
    pthread_getcpuclockid(thread.native_handle(), &clock);
    timespec spent{};
    clock_gettime(clock, &spent);
    constexpr double nano = 1e-9;
    return static_cast<double>(spent.tv_sec) +
           nano * static_cast<double>(spent.tv_nsec);
}

/// Reads the subject's thread before and after the measured time.
cost observe(std::thread& subject,
             steady_callers const& callers,
             load_settings const& settings)
{
    std::this_thread::sleep_for(warm_up);
    auto const busy = thread_seconds(subject);
    auto const answered = callers.answered();
    std::this_thread::sleep_for(settings.length);
    auto const busy_for = thread_seconds(subject) - busy;
    auto const done = static_cast<double>(callers.answered() - answered);
    auto const length = std::chrono::duration<double>(settings.length).count();
    constexpr double nano = 1e9;
    return {done / length,
            nano * busy_for / (done * packets_a_request),
            busy_for / length};
}

/// Loads `subject`, whose `run` ends by itself or by `stop`.
template <class Run, class Stop>
cost measure(load_settings const& settings,
             steady_callers& callers,
             echo_servers& echo,
             endpoint where,
             Run run,
             Stop stop)
{
    auto const end = std::chrono::steady_clock::now() + warm_up +
                     settings.length + load_margin;
    std::thread subject{run, end};
    pthread_setname_np(subject.native_handle(), "subject");
    std::thread serving{[&echo, end]
                        {
                            echo.run(end);
                        }};
    std::thread calling{[&callers, where, end]
                        {
                            callers.run(where, end);
                        }};
    auto const result = observe(subject, callers, settings);
    calling.join();
    serving.join();
    stop();
    subject.join();
    return result;
}

cost measure_relay(load_settings const& settings)
{
    echo_servers echo{servers};
    steady_callers callers{settings, service_address};
    bare_relay relay{echo.local(), callers.local()};
    return measure(
        settings,
        callers,
        echo,
        relay.local(),
        [&relay](steady_time end)
        {
            relay.run(end);
        },
        [] {});
}

std::shared_ptr<configuration const>
bench_configuration(std::span<endpoint const> where)
{
    configuration_builder builder;
    builder.epoch({1});
    work_kind lookup;
    lookup.name = "lookup";
    lookup.share_percent = 100;
    lookup.default_deadline = std::chrono::seconds{2};
    builder.kind(lookup);
    for (auto const server : where)
    {
        server_declaration declared;
        declared.name = "server-" + std::to_string(server.port);
        declared.service = "catalogue";
        declared.where = server;
        declared.data_centre = "dub-a";
        constexpr std::uint16_t slots = 1000;
        declared.slots = slots;
        builder.server(declared);
    }
    builder.address({service_address, "catalogue", "lookup"});
    return builder.build();
}

balancer_process_settings process_settings()
{
    balancer_process_settings settings;
    settings.control = {balancer_ip, control_port};
    settings.data = {balancer_ip, data_port};
    settings.admin = {balancer_ip, 0};
    settings.platform = {balancer_ip, 1};
    settings.data_centre = "dub-a";
    settings.seed = 1;
    settings.log_level = "error";
    return settings;
}

cost measure_balancer(load_settings const& settings)
{
    echo_servers echo{servers};
    steady_callers callers{settings, service_address};
    auto const process = process_settings();
    system_clock_source clock;
    member_record self;
    self.id = {process.control, 1};
    self.data = process.data;
    self.data_centre = {id_from_name(process.data_centre)};
    served_content().config = bench_configuration(echo.local());
    served_content().vms = {
        {process.control, process.data, self.data_centre, false}};
    balancer state{balancer_builder{}
                       .self(self)
                       .seed(process.seed)
                       .slots(process.slots)
                       .build()};
    internal::balancer_process<balancer,
                               instant_platform,
                               system_clock_source,
                               packet_codec>
        subject{process, self.id, state, clock};
    return measure(
        settings,
        callers,
        echo,
        process.data,
        [&subject](steady_time)
        {
            subject.run();
        },
        []
        {
            std::raise(SIGTERM);
            std::raise(SIGTERM);
        });
}

void print(char const* subject, cost const& seen)
{
    std::printf("%-9s %9.0f answers/s %7.0f ns/packet %5.1f%% of a CPU\n",
                subject,
                seen.answered,
                seen.nanoseconds,
                100 * seen.processor);
}

/// Measures both at the same time, so that what else the machine does weighs
/// on both.
void compare(load_settings const& settings)
{
    cost relay;
    std::thread relaying{[&relay, &settings]
                         {
                             relay = measure_relay(settings);
                         }};
    auto const balanced = measure_balancer(settings);
    relaying.join();
    print("relay", relay);
    print("balancer", balanced);
    std::printf("ratio     %.2f\n", balanced.nanoseconds / relay.nanoseconds);
}

int run(int argc, char** argv)
{
    cxxopts::Options options("relay_cost", "Cost of a balancer a packet.");
    options.add_options()(
        "rate", "requests a second", cxxopts::value<std::size_t>())(
        "flows", "callers", cxxopts::value<std::size_t>())(
        "payload", "bytes", cxxopts::value<std::size_t>())(
        "seconds", "measured time", cxxopts::value<unsigned>())(
        "only", "relay or balancer", cxxopts::value<std::string>());
    auto const given = options.parse(argc, argv);
    load_settings settings;
    settings.rate =
        given.count("rate") ? given["rate"].as<std::size_t>() : settings.rate;
    settings.flows = given.count("flows") ? given["flows"].as<std::size_t>()
                                          : settings.flows;
    settings.payload = given.count("payload")
                           ? given["payload"].as<std::size_t>()
                           : settings.payload;
    if (given.count("seconds"))
    {
        settings.length = std::chrono::seconds{given["seconds"].as<unsigned>()};
    }
    auto const only =
        given.count("only") ? given["only"].as<std::string>() : "";
    if (only == "relay")
    {
        print("relay", measure_relay(settings));
        return EXIT_SUCCESS;
    }
    if (only == "balancer")
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
