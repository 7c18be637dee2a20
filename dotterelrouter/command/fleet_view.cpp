#include "dotterelrouter/command/internal/fleet_view.hpp"

#include "dotterelrouter/command/command.hpp"

#include <algorithm>
#include <utility>

namespace dotterelrouter
{

fleet_view::fleet_view(view_settings settings) : settings_(std::move(settings))
{
    report_.wanted = settings_.wanted;
}

void fleet_view::reduce(view_event const& happened,
                        instant /*now*/,
                        view_effects& out)
{
    std::visit(
        [&](auto const& one)
        {
            on(one, out);
        },
        happened);
}

void fleet_view::on(command_started /*started*/, view_effects& out)
{
    out.emplace_back(read_manifest{});
}

void fleet_view::on(manifest_read const& read, view_effects& out)
{
    report_.declared = read.value ? read.value->epoch : epoch_number{};
    ask_vms(out);
}

void fleet_view::on(platform_unavailable const& failed, view_effects& out)
{
    if (failed.what == platform_read::manifest)
    {
        ask_vms(out);
        return;
    }
    out.emplace_back(print_text{
        "the platform does not answer; name the VMs with --vms\n", true});
    out.emplace_back(exit_command{exit_failure});
}

void fleet_view::on(vm_list_read const& read, view_effects& out)
{
    for (auto const& vm : read.vms)
    {
        settings_.vms.push_back(vm.control.ip);
    }
    if (!settings_.vms.empty())
    {
        ask_vms(out);
        return;
    }
    out.emplace_back(print_text{"the VM list is empty\n", true});
    out.emplace_back(exit_command{exit_failure});
}

void fleet_view::ask_vms(view_effects& out)
{
    if (settings_.vms.empty())
    {
        out.emplace_back(read_vm_list{});
        return;
    }
    awaited_ = settings_.vms.size();
    for (auto const vm : settings_.vms)
    {
        if (settings_.wanted == view_kind::timeline)
        {
            out.emplace_back(read_timeline{vm});
        }
        else
        {
            out.emplace_back(read_status{vm});
        }
    }
}

void fleet_view::on(status_read const& read, view_effects& out)
{
    if (read.page)
    {
        report_.balancers.push_back(read);
    }
    else
    {
        report_.silent.push_back(read.vm);
    }
    answered(out);
}

void fleet_view::on(timeline_read const& read, view_effects& out)
{
    if (read.entries)
    {
        report_.entries.insert(
            report_.entries.end(), read.entries->begin(), read.entries->end());
    }
    else
    {
        report_.silent.push_back(read.vm);
    }
    answered(out);
}

void fleet_view::answered(view_effects& out)
{
    if (--awaited_ > 0)
    {
        return;
    }
    std::ranges::sort(report_.balancers, {}, &status_read::vm);
    std::ranges::sort(report_.silent);
    std::ranges::stable_sort(report_.entries, {}, &timeline_entry::time_ns);
    out.emplace_back(print_report{report_});
    out.emplace_back(exit_command{all_well() ? exit_success : exit_failure});
}

bool fleet_view::all_well() const
{
    auto const differs = [this](status_read const& read)
    {
        return report_.declared && read.page->epoch != report_.declared->value;
    };
    return report_.silent.empty() &&
           (settings_.wanted != view_kind::show ||
            std::ranges::none_of(report_.balancers, differs));
}

} // namespace dotterelrouter
