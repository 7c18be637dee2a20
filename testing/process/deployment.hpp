// A complete deployment on loopback addresses: platform, balancers in two data
// centres, backend servers, fabric and callers, each kind in processes of its
// own.
//
//     deployment site;
//     site.start_callers(std::chrono::seconds{5});
//     site.balancer(2).send_signal(SIGKILL);
//     site.wait_for_callers();
//     auto const found = site.audit_requests();
//
// All addresses share a random second octet of 127.0.0.0/8, so that parallel
// runs rarely collide. All processes are killed when the object is destroyed.
#pragma once

#include "testing/process/child_process.hpp"
#include "testing/process/ledger.hpp"
#include "testing/process/network_reservation.hpp"

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dotterelrouter::testing
{

/// Number of a balancer, from 1; also the last octet of its VM's address.
using balancer_number = std::uint8_t;

/// Status that a balancer reports on its admin address.
struct balancer_report
{
    std::uint64_t epoch = 0; ///< Of its configuration.
    std::size_t members = 0;
    std::size_t held_leases = 0;
};

/// The system under test. A member that changes it throws std::runtime_error if
/// the change fails or takes too long.
class deployment
{
public:
    /// Number of slots of the ownership table.
    static constexpr std::size_t slot_count = 64;
    /// Number of balancers that the constructor starts; numbered from 1.
    static constexpr balancer_number initial_balancer_count = 4;
    static constexpr int catalogue_server_count = 4;
    static constexpr int gallery_server_count = 2;

    /// Starts everything but callers and waits until the balancers hold the
    /// leases on all slots.
    deployment();

    /// Starts a balancer, or restarts one whose process has exited, at the same
    /// address.
    void start_balancer(balancer_number number);
    [[nodiscard]] child_process& balancer(balancer_number number);
    /// Reads the status of a balancer; nullopt if it does not respond.
    [[nodiscard]] std::optional<balancer_report>
    fetch_report(balancer_number number) const;

    /// Sets the balancers over which the fabric distributes packets.
    void set_fabric_balancers(std::span<balancer_number const> numbers);
    /// Sets the VMs in the platform's list.
    void set_platform_vms(std::span<balancer_number const> numbers);
    /// Starts or ends an outage in which the platform does not respond.
    void set_platform_outage(bool outage);
    /// Writes the configuration under the next epoch. The server named
    /// `draining_server`, if any, is marked as draining.
    void apply_configuration(std::string_view draining_server = {});

    /// Starts callers of all plans, which issue requests for `run_duration` and
    /// retransmit a request every `retransmit_interval`.
    void start_callers(duration run_duration,
                       duration retransmit_interval = std::chrono::milliseconds{
                           500});
    /// Waits until every request has an outcome and the callers exit. Throws
    /// std::runtime_error if that takes too long.
    void wait_for_callers();

    [[nodiscard]] std::vector<run_record> runs() const;
    [[nodiscard]] std::vector<call_record> calls() const;
    [[nodiscard]] std::vector<summary_record> summaries() const;
    /// Number of requests that reached a server that they are not for.
    [[nodiscard]] std::size_t misrouted_count() const;
    /// Audits all runs and calls so far; see `audit`.
    [[nodiscard]] audit_result audit_requests() const;

private:
    [[nodiscard]] std::string ip_text(int third, int fourth) const;
    [[nodiscard]] endpoint
    make_endpoint(int third, int fourth, std::uint16_t port) const;
    [[nodiscard]] std::string file_path(std::string_view name) const;
    [[nodiscard]] std::string work_profile(std::string_view service) const;
    void start_process(std::string_view name,
                       std::span<std::string const> arguments);
    void start_servers(std::string_view service, int third, int count);
    void start_fabric();
    void wait_for_leases() const;

    network_reservation network_;
    std::string directory_;
    std::uint64_t epoch_ = 0;
    std::map<std::string, child_process, std::less<>> processes_;
};

} // namespace dotterelrouter::testing
