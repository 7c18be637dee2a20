#include "dotterelrouter/command/internal/fleet_view.hpp"

#include "dotterelrouter/command/command.hpp"

#include <algorithm>
#include <utility>

namespace dotterelrouter
{

fleet_view::fleet_view(fleet_view_settings settings)
    : settings_(std::move(settings))
{
    report_.kind = settings_.kind;
}

void fleet_view::reduce(fleet_view_event const& next_event,
                        instant /*now*/,
                        fleet_view_effects& out)
{
    std::visit(
        [&](auto const& concrete_event)
        {
            on(concrete_event, out);
        },
        next_event);
}

void fleet_view::on(command_started /*started*/, fleet_view_effects& out)
{
    out.emplace_back(read_manifest{});
}

void fleet_view::on(manifest_read const& read, fleet_view_effects& out)
{
    report_.declared_epoch = read.value ? read.value->epoch : epoch_number{};
    query_balancers(out);
}

void fleet_view::on(platform_unavailable const& failure,
                    fleet_view_effects& out)
{
    if (failure.failed_read == platform_read::manifest)
    {
        query_balancers(out);
        return;
    }
    out.emplace_back(print_text{
        "the platform did not answer; specify the VMs with --vms\n", true});
    out.emplace_back(exit_command{exit_failure});
}

void fleet_view::on(vm_list_read const& read, fleet_view_effects& out)
{
    for (auto const& vm : read.vms)
    {
        settings_.vms.push_back(vm.control.ip);
    }
    if (!settings_.vms.empty())
    {
        query_balancers(out);
        return;
    }
    out.emplace_back(print_text{"the platform's VM list is empty\n", true});
    out.emplace_back(exit_command{exit_failure});
}

void fleet_view::query_balancers(fleet_view_effects& out)
{
    if (settings_.vms.empty())
    {
        out.emplace_back(read_vm_list{});
        return;
    }
    pending_query_count_ = settings_.vms.size();
    for (auto const vm_ip : settings_.vms)
    {
        if (settings_.kind == report_kind::timeline)
        {
            out.emplace_back(read_timeline{vm_ip});
        }
        else
        {
            out.emplace_back(read_status{vm_ip});
        }
    }
}

void fleet_view::on(status_read const& read, fleet_view_effects& out)
{
    if (read.page)
    {
        report_.balancers.push_back(read);
    }
    else
    {
        report_.silent_vms.push_back(read.vm_ip);
    }
    on_query_ended(out);
}

void fleet_view::on(timeline_read const& read, fleet_view_effects& out)
{
    if (read.entries)
    {
        report_.entries.insert(
            report_.entries.end(), read.entries->begin(), read.entries->end());
    }
    else
    {
        report_.silent_vms.push_back(read.vm_ip);
    }
    on_query_ended(out);
}

void fleet_view::on_query_ended(fleet_view_effects& out)
{
    if (--pending_query_count_ > 0)
    {
        return;
    }
    std::ranges::sort(report_.balancers, {}, &status_read::vm_ip);
    std::ranges::sort(report_.silent_vms);
    std::ranges::stable_sort(report_.entries, {}, &timeline_entry::time_ns);
    out.emplace_back(print_report{report_});
    out.emplace_back(
        exit_command{is_fleet_healthy() ? exit_success : exit_failure});
}

bool fleet_view::is_fleet_healthy() const
{
    auto const has_other_epoch = [this](status_read const& read)
    {
        return report_.declared_epoch &&
               read.page->epoch != report_.declared_epoch->value;
    };
    return report_.silent_vms.empty() &&
           (settings_.kind != report_kind::show ||
            std::ranges::none_of(report_.balancers, has_other_epoch));
}

} // namespace dotterelrouter
