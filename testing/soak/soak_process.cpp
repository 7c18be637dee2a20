#include "testing/soak/soak_process.hpp"

#include "dotterelrouter/http/http.hpp"
#include "dotterelrouter/runtime/runtime.hpp"
#include "standins/store/store.hpp"
#include "testing/process/child_process.hpp"
#include "testing/process/forwarder_site.hpp"

#include <csignal>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dotterelrouter::testing
{
namespace
{

using namespace std::chrono_literals;

constexpr duration tick_interval = 3ms;
constexpr duration probe_timeout = 400ms;
constexpr std::uint16_t server_port = 8080;
/// Port of the proxies between forwarders and the store.
constexpr std::uint16_t link_port = 8170;
/// Host numbers in the network of the site. Forwarders have those from 1.
constexpr std::uint32_t caller_host_number = 0x1001;
constexpr std::uint32_t first_server_host_number = 0x2001;
constexpr std::uint32_t first_link_host_number = 0x3001;

byte_view as_bytes(std::string_view text)
{
    return {reinterpret_cast<std::byte const*>(text.data()), text.size()};
}

std::string_view as_text(byte_view bytes)
{
    return {reinterpret_cast<char const*>(bytes.data()), bytes.size()};
}

class soak_process
{
public:
    explicit soak_process(soak_settings settings)
        : site_({.seed_count = 3, .data_centre_count = 2}),
          store_(site_.store_endpoint()),
          model_(settings, make_addresses(settings)),
          processes_(settings.forwarder_count)
    {
        for (std::size_t server = 0; server < settings.server_count; ++server)
        {
            server_sockets_.push_back(
                std::make_unique<udp_port<server_receiver>>(
                    loop_, server_endpoint(server), server_receiver_));
        }
        for (forwarder_index forwarder = 0;
             forwarder < settings.forwarder_count;
             ++forwarder)
        {
            auto const link_endpoint =
                endpoint{site_.ip(first_link_host_number +
                                  static_cast<std::uint32_t>(forwarder)),
                         link_port};
            store_links_.push_back(std::make_unique<store_proxy>(
                loop_, link_endpoint, site_.store_endpoint()));
            site_.set_store_endpoint(forwarder_number(forwarder),
                                     link_endpoint);
            site_.write_settings(forwarder_number(forwarder));
        }
    }

    soak_report run()
    {
        timer_.set_deadline(steady_time{});
        loop_.run();
        processes_.clear();
        auto report = model_.report();
        for (forwarder_index forwarder = 0; forwarder < store_links_.size();
             ++forwarder)
        {
            if (site_.log_text(forwarder_number(forwarder))
                    .find("invariant_broken") != std::string::npos)
            {
                report.violations.emplace_back("a forwarder logged a broken "
                                               "invariant");
            }
        }
        if (!report.violations.empty())
        {
            report.violations.push_back("logs: " + site_.keep_files());
        }
        return report;
    }

    void on_timer()
    {
        for (forwarder_index forwarder = 0; forwarder < processes_.size();
             ++forwarder)
        {
            auto& process = processes_[forwarder];
            if (process && !process->is_running())
            {
                auto const exit_status = process->wait(0ms).value_or(0);
                process.reset();
                host_.deliver(process_exited{forwarder, exit_status});
            }
        }
        host_.deliver(soak_tick{});
        timer_.set_deadline(clock_.now().steady + tick_interval);
    }

    void on_datagram(datagram const& received)
    {
        host_.deliver(caller_received{as_text(received.bytes)});
    }

    void execute(send_packet const& requested_effect)
    {
        caller_socket_.send(
            {site_.ip(forwarder_number(requested_effect.forwarder)),
             packet_port},
            as_bytes(requested_effect.bytes));
    }

    void execute(probe_readiness const& requested_effect)
    {
        http_request request;
        request.destination = {
            site_.ip(forwarder_number(requested_effect.forwarder)),
            readiness_port};
        request.path = "/v1/readiness";
        request.timeout = probe_timeout;
        probe_client_.start(
            request,
            new pending_probe{*this, requested_effect.forwarder},
            &soak_process::on_probe_completed);
    }

    void execute(start_process const& requested_effect)
    {
        processes_[requested_effect.forwarder].emplace(
            site_.start_with_existing_settings(
                forwarder_number(requested_effect.forwarder)));
    }

    void execute(signal_process const& requested_effect)
    {
        if (auto const& process = processes_[requested_effect.forwarder])
        {
            process->send_signal(requested_effect.signal_number);
        }
    }

    void execute(set_store_link const& requested_effect)
    {
        store_links_[requested_effect.forwarder]->set(requested_effect.state);
    }

    void execute(write_store_key const& requested_effect)
    {
        if (requested_effect.value.empty())
        {
            store_.remove(requested_effect.key);
            return;
        }
        store_.put(requested_effect.key, requested_effect.value);
    }

    void execute(set_store_outage const& requested_effect)
    {
        store_.set_unavailable(requested_effect.is_unavailable);
    }

    void execute(roll_back_store const& requested_effect)
    {
        store_.roll_back(requested_effect.age);
    }

    void execute(compact_store_history const& /*requested_effect*/)
    {
        store_.compact_history();
    }

    void execute(end_run const& /*requested_effect*/)
    {
        loop_.stop(0);
    }

private:
    /// Delivers the datagrams that backend servers receive.
    struct server_receiver
    {
        soak_process& owner;

        void on_datagram(datagram const& received) const
        {
            auto const first_forwarder_ip = owner.site_.ip(1);
            owner.host_.deliver(
                server_received{received.to,
                                received.from.ip - first_forwarder_ip,
                                as_text(received.bytes)});
        }
    };

    struct pending_probe
    {
        soak_process& owner;
        forwarder_index forwarder;
    };

    static void on_probe_completed(void* context, http_response const& response)
    {
        constexpr int http_ok = 200;
        std::unique_ptr<pending_probe> const completed_probe{
            static_cast<pending_probe*>(context)};
        auto const is_ready = response.result == http_result::answered &&
                              response.status == http_ok;
        completed_probe->owner.loop_.guard(
            [&]
            {
                completed_probe->owner.host_.deliver(
                    probe_completed{completed_probe->forwarder, is_ready});
            });
    }

    static std::uint32_t forwarder_number(forwarder_index forwarder)
    {
        return static_cast<std::uint32_t>(forwarder) + 1;
    }

    [[nodiscard]] endpoint server_endpoint(std::size_t server) const
    {
        return {site_.ip(first_server_host_number +
                         static_cast<std::uint32_t>(server)),
                server_port};
    }

    [[nodiscard]] soak_addresses make_addresses(soak_settings settings) const
    {
        soak_addresses result{
            .caller = {site_.ip(caller_host_number), packet_port},
            .servers = {}};
        for (std::size_t server = 0; server < settings.server_count; ++server)
        {
            result.servers.push_back(server_endpoint(server));
        }
        return result;
    }

    forwarder_site site_;
    standins::standin_store store_;
    event_loop loop_;
    system_clock_source clock_;
    soak_model model_;
    reducer_host<soak_model,
                 soak_event,
                 soak_effect,
                 soak_process,
                 system_clock_source>
        host_{model_, *this, clock_};
    http_client probe_client_{loop_.base(), {}};
    timer<soak_process> timer_{loop_, *this};
    udp_port<soak_process> caller_socket_{
        loop_, {site_.ip(caller_host_number), packet_port}, *this};
    server_receiver server_receiver_{*this};
    std::vector<std::unique_ptr<udp_port<server_receiver>>> server_sockets_{};
    std::vector<std::unique_ptr<store_proxy>> store_links_{};
    std::vector<std::optional<child_process>> processes_;
};

} // namespace

soak_report run_soak(soak_settings settings)
{
    soak_process process{settings};
    return process.run();
}

} // namespace dotterelrouter::testing
