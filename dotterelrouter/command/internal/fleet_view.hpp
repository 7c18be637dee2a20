// Collects the declared epoch and the status or the timeline of each balancer
// for the subcommands show, status and timeline. A reducer over its own events.
//
//     fleet_view state({.kind = report_kind::status, .vms = {}});
//     state.reduce(command_started{}, now, out); // out: read_manifest{}
#pragma once

#include "dotterelrouter/command/internal/apply.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dotterelrouter
{

/// The subcommand that the report is made for.
enum class report_kind : std::uint8_t
{
    show,
    status,
    timeline
};

struct fleet_view_settings
{
    report_kind kind = report_kind::show;
    /// IPs of the VMs to query. If empty, the platform's VM list is used.
    std::vector<std::uint32_t> vms;
};

/// Status of one balancer, as it reports it on /status.
struct balancer_status_page
{
    /// Epoch of the configuration in force; 0 if there is none yet.
    std::uint64_t epoch = 0;
    std::string data_centre;
    std::uint64_t member_count = 0; ///< Live members, itself included.
    std::uint64_t owned_slot_count = 0;
    std::uint64_t held_lease_count = 0; ///< Owned slots with a valid lease.
    std::uint64_t request_count = 0;    ///< In progress.
    std::uint64_t flow_count = 0;       ///< Open flows.
    bool is_draining = false;
    bool is_platform_reachable = false;
};

/// One record of a balancer's timeline.
struct timeline_entry
{
    std::int64_t time_ns = 0; ///< Wall clock, since the Unix epoch.
    std::string process;
    std::string type; ///< Name of the event; JSON member "step".
    std::uint64_t subject = 0;
    std::uint64_t cause = 0;
    std::string detail;
};

/// The query of a balancer's status has ended.
struct status_read
{
    std::uint32_t vm_ip = 0;
    /// Empty if there was no valid response.
    std::optional<balancer_status_page> page;
};

/// The query of a balancer's timeline has ended.
struct timeline_read
{
    std::uint32_t vm_ip = 0;
    /// Empty if there was no valid response.
    std::optional<std::vector<timeline_entry>> entries;
};

using fleet_view_event = std::variant<command_started,
                                      manifest_read,
                                      vm_list_read,
                                      platform_unavailable,
                                      status_read,
                                      timeline_read>;

/// Queries the status of a balancer; `status_read` reports the result.
struct read_status
{
    std::uint32_t vm_ip = 0;
};

/// Queries the timeline of a balancer; `timeline_read` reports the result.
struct read_timeline
{
    std::uint32_t vm_ip = 0;
};

/// Everything that was collected.
struct fleet_report
{
    report_kind kind = report_kind::show;
    /// Empty if the platform did not respond; 0 if nothing is declared yet.
    std::optional<epoch_number> declared_epoch;
    std::vector<status_read> balancers;  ///< With a page, ordered by IP.
    std::vector<timeline_entry> entries; ///< Ordered by time.
    /// IPs of the VMs that sent no valid response.
    std::vector<std::uint32_t> silent_vms;
};

/// Prints the report to standard output, as text or JSON.
struct print_report
{
    fleet_report report;
};

using fleet_view_effect = std::variant<read_manifest,
                                       read_vm_list,
                                       read_status,
                                       read_timeline,
                                       print_report,
                                       print_text,
                                       exit_command>;
using fleet_view_effects = std::vector<fleet_view_effect>;

/// Reducer of the subcommands show, status and timeline. The exit code is
/// exit_failure if a balancer sent no valid response, or if `show` finds a
/// balancer whose epoch differs from the declared one.
class fleet_view
{
public:
    explicit fleet_view(fleet_view_settings settings);

    void reduce(fleet_view_event const& next_event,
                instant now,
                fleet_view_effects& out);

private:
    void on(command_started, fleet_view_effects& out);
    void on(manifest_read const& read, fleet_view_effects& out);
    void on(vm_list_read const& read, fleet_view_effects& out);
    void on(platform_unavailable const& failure, fleet_view_effects& out);
    void on(status_read const& read, fleet_view_effects& out);
    void on(timeline_read const& read, fleet_view_effects& out);

    /// Queries every balancer, or first the VM list if no VMs are known.
    void query_balancers(fleet_view_effects& out);
    /// Prints the report after the last pending query.
    void on_query_ended(fleet_view_effects& out);
    [[nodiscard]] bool is_fleet_healthy() const;

    fleet_view_settings settings_;
    fleet_report report_;
    std::size_t pending_query_count_ = 0; ///< Queries of balancers.
};

static_assert(reducer<fleet_view, fleet_view_event, fleet_view_effect>);

/// Parses the JSON of /status. Returns nothing if it is malformed.
std::optional<balancer_status_page> parse_status(std::string_view body);
/// Parses the JSON of /timeline. Returns nothing if it is malformed.
std::optional<std::vector<timeline_entry>>
parse_timeline(std::string_view body);
/// Formats the report as lines of text.
std::string to_text(fleet_report const& report);
/// Formats the report as one line of JSON.
std::string to_json(fleet_report const& report);

} // namespace dotterelrouter
