// Gathers what is declared and what each balancer says, for show, status and
// timeline. A reducer over its own events.
//
//     fleet_view state({.wanted = view_kind::status});
//     state.reduce(command_started{}, now, out); // out: read_vm_list{}
#pragma once

#include "dotterelrouter/command/internal/apply.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dotterelrouter
{

enum class view_kind : std::uint8_t
{
    show,
    status,
    timeline
};

struct view_settings
{
    view_kind wanted = view_kind::show;
    std::vector<std::uint32_t> vms; ///< Asked in place of the VM list.
};

/// What one balancer says of itself.
struct balancer_page
{
    std::uint64_t epoch = 0; ///< In force; 0: none yet.
    std::string data_centre;
    std::uint64_t members = 0;
    std::uint64_t owned_slots = 0;
    std::uint64_t held_rights = 0;
    std::uint64_t requests = 0;
    std::uint64_t flows = 0;
    bool leaving = false;
    bool platform_answers = false;
};

/// One record of a balancer's time line.
struct timeline_entry
{
    std::int64_t time_ns = 0; ///< Wall clock.
    std::string process;
    std::string step;
    std::uint64_t subject = 0;
    std::uint64_t cause = 0;
    std::string detail;
};

/// A balancer's answer; nothing if it gave none.
struct status_read
{
    std::uint32_t vm = 0;
    std::optional<balancer_page> page;
};

struct timeline_read
{
    std::uint32_t vm = 0;
    std::optional<std::vector<timeline_entry>> entries;
};

using view_event = std::variant<command_started,
                                manifest_read,
                                vm_list_read,
                                platform_unavailable,
                                status_read,
                                timeline_read>;

/// Ask a balancer for its status.
struct read_status
{
    std::uint32_t vm = 0;
};

/// Ask a balancer for its time line.
struct read_timeline
{
    std::uint32_t vm = 0;
};

/// All that was gathered.
struct fleet_report
{
    view_kind wanted = view_kind::show;
    std::optional<epoch_number> declared; ///< Nothing: the platform is silent.
    std::vector<status_read> balancers;
    std::vector<timeline_entry> entries; ///< By time.
    std::vector<std::uint32_t> silent;   ///< VMs that gave no answer.
};

struct print_report
{
    fleet_report report;
};

using view_effect = std::variant<read_manifest,
                                 read_vm_list,
                                 read_status,
                                 read_timeline,
                                 print_report,
                                 print_text,
                                 exit_command>;
using view_effects = std::vector<view_effect>;

/// The reducer. Exits with exit_failed if a balancer gave no answer, or if
/// `show` finds one whose epoch is not the declared one.
class fleet_view
{
public:
    explicit fleet_view(view_settings settings);

    void reduce(view_event const& happened, instant now, view_effects& out);

private:
    void on(command_started, view_effects& out);
    void on(manifest_read const& read, view_effects& out);
    void on(vm_list_read const& read, view_effects& out);
    void on(platform_unavailable const& failed, view_effects& out);
    void on(status_read const& read, view_effects& out);
    void on(timeline_read const& read, view_effects& out);

    void ask_vms(view_effects& out);
    void answered(view_effects& out);
    [[nodiscard]] bool all_well() const;

    view_settings settings_;
    fleet_report report_;
    std::size_t awaited_ = 0; ///< Answers of balancers still to come.
};

static_assert(reducer<fleet_view, view_event, view_effect>);

/// Page of /status; nothing if it is malformed.
std::optional<balancer_page> parse_status(std::string_view body);
/// Page of /timeline; nothing if it is malformed.
std::optional<std::vector<timeline_entry>>
parse_timeline(std::string_view body);
/// The report as lines for people.
std::string to_text(fleet_report const& report);
/// The report as JSON.
std::string to_json(fleet_report const& report);

} // namespace dotterelrouter
