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
constexpr std::uint16_t link_port = 8170;
/// Addresses of a site: forwarders from 1, then these.
constexpr std::uint32_t caller_address = 0x1001;
constexpr std::uint32_t first_server_address = 0x2001;
constexpr std::uint32_t first_link_address = 0x3001;

byte_view bytes_of(std::string_view text)
{
    return {reinterpret_cast<std::byte const*>(text.data()), text.size()};
}

std::string_view text_of(byte_view bytes)
{
    return {reinterpret_cast<char const*>(bytes.data()), bytes.size()};
}

class soak_process
{
public:
    explicit soak_process(soak_settings settings)
        : site_({.seed_count = 3, .data_centre_count = 2}),
          store_(site_.store_endpoint()), model_(settings, addresses(settings)),
          children_(settings.forwarders)
    {
        for (std::size_t one = 0; one < settings.servers; ++one)
        {
            servers_.push_back(std::make_unique<udp_port<server_sockets>>(
                loop_, server_at(one), server_sockets_));
        }
        for (forwarder_index one = 0; one < settings.forwarders; ++one)
        {
            auto const at = endpoint{
                site_.ip(first_link_address + static_cast<std::uint32_t>(one)),
                link_port};
            links_.push_back(std::make_unique<store_proxy>(
                loop_, at, site_.store_endpoint()));
            site_.set_store_endpoint(number_of(one), at);
            site_.write_settings(number_of(one));
        }
    }

    soak_report run()
    {
        timer_.wake_at(steady_time{});
        loop_.run();
        children_.clear();
        auto report = model_.report();
        for (forwarder_index one = 0; one < links_.size(); ++one)
        {
            if (site_.log_text(number_of(one)).find("invariant_broken") !=
                std::string::npos)
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
        for (forwarder_index one = 0; one < children_.size(); ++one)
        {
            auto& child = children_[one];
            if (child && !child->is_running())
            {
                auto const code = child->wait(0ms).value_or(0);
                child.reset();
                host_.deliver(process_ended{one, code});
            }
        }
        host_.deliver(soak_tick{});
        timer_.wake_at(clock_.now().steady + tick_interval);
    }

    void on_datagram(datagram const& received)
    {
        host_.deliver(caller_received{text_of(received.bytes)});
    }

    void carry_out(send_packet const& wanted)
    {
        callers_.send({site_.ip(number_of(wanted.to)), packet_port},
                      bytes_of(wanted.bytes));
    }

    void carry_out(probe_readiness const& wanted)
    {
        http_request request;
        request.to = {site_.ip(number_of(wanted.forwarder)), readiness_port};
        request.path = "/v1/readiness";
        request.timeout = probe_timeout;
        probes_.start(request,
                      new open_probe{*this, wanted.forwarder},
                      &soak_process::on_probed);
    }

    void carry_out(start_process const& wanted)
    {
        children_[wanted.forwarder].emplace(
            site_.start_with_existing_settings(number_of(wanted.forwarder)));
    }

    void carry_out(signal_process const& wanted)
    {
        if (auto const& child = children_[wanted.forwarder])
        {
            child->send_signal(wanted.number);
        }
    }

    void carry_out(set_link const& wanted)
    {
        links_[wanted.forwarder]->set(wanted.state);
    }

    void carry_out(write_key const& wanted)
    {
        if (wanted.value.empty())
        {
            store_.remove(wanted.key);
            return;
        }
        store_.put(wanted.key, wanted.value);
    }

    void carry_out(set_store_away const& wanted)
    {
        store_.set_away(wanted.away);
    }

    void carry_out(forget_history const& /*wanted*/)
    {
        store_.forget_history();
    }

    void carry_out(end_run const& /*wanted*/)
    {
        loop_.stop(0);
    }

private:
    /// Passes on what backend servers receive.
    struct server_sockets
    {
        soak_process& owner;

        void on_datagram(datagram const& received) const
        {
            auto const first = owner.site_.ip(1);
            owner.host_.deliver(server_received{received.to,
                                                received.from.ip - first,
                                                text_of(received.bytes)});
        }
    };

    struct open_probe
    {
        soak_process& owner;
        forwarder_index forwarder;
    };

    static void on_probed(void* context, http_response const& answer)
    {
        constexpr int ok = 200;
        std::unique_ptr<open_probe> const ended{
            static_cast<open_probe*>(context)};
        auto const ready =
            answer.result == http_result::answered && answer.status == ok;
        ended->owner.loop_.guard(
            [&]
            {
                ended->owner.host_.deliver(
                    probe_ended{ended->forwarder, ready});
            });
    }

    static std::uint32_t number_of(forwarder_index one)
    {
        return static_cast<std::uint32_t>(one) + 1;
    }

    [[nodiscard]] endpoint server_at(std::size_t one) const
    {
        return {
            site_.ip(first_server_address + static_cast<std::uint32_t>(one)),
            server_port};
    }

    [[nodiscard]] soak_addresses addresses(soak_settings settings) const
    {
        soak_addresses all{.callers = {site_.ip(caller_address), packet_port},
                           .servers = {}};
        for (std::size_t one = 0; one < settings.servers; ++one)
        {
            all.servers.push_back(server_at(one));
        }
        return all;
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
    http_client probes_{loop_.base(), {}};
    timer<soak_process> timer_{loop_, *this};
    udp_port<soak_process> callers_{
        loop_, {site_.ip(caller_address), packet_port}, *this};
    server_sockets server_sockets_{*this};
    std::vector<std::unique_ptr<udp_port<server_sockets>>> servers_{};
    std::vector<std::unique_ptr<store_proxy>> links_{};
    std::vector<std::optional<child_process>> children_;
};

} // namespace

soak_report run_soak(soak_settings settings)
{
    soak_process process{settings};
    return process.run();
}

} // namespace dotterelrouter::testing
