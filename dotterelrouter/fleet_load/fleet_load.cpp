#include "dotterelrouter/fleet_load/fleet_load.hpp"

namespace dotterelrouter
{

fleet_load::fleet_load(fleet_load_settings settings) : settings_(settings)
{
}

void fleet_load::on_arrival(std::string_view /*service*/,
                            bool /*is_most_urgent*/,
                            instant /*now*/)
{
}

void fleet_load::on_unanswered(observed_server const& /*server*/,
                               instant /*now*/)
{
}

void fleet_load::on_response(observed_server const& /*server*/,
                             duration /*response_time*/,
                             duration /*target*/,
                             instant /*now*/)
{
}

void fleet_load::on_requests_in_progress(
    std::span<requests_at_server const> /*requests*/, instant /*now*/)
{
}

void fleet_load::set_local_forwarders(std::size_t /*count*/)
{
}

bool fleet_load::on_report(endpoint /*from*/,
                           forwarder_load_report const& /*report*/,
                           std::span<observed_server const> /*servers*/,
                           instant /*now*/)
{
    return false;
}

forwarder_load_report fleet_load::make_report(instant /*now*/)
{
    return {};
}

forwarder_load_report fleet_load::make_data_centre_report(instant /*now*/)
{
    return {};
}

void fleet_load::data_centre_loads(std::string_view /*service*/,
                                   instant /*now*/,
                                   std::vector<data_centre_load>& out) const
{
    out.assign(1, {.data_centre = settings_.data_centre});
}

double fleet_load::relative_speed(server_id /*server*/, instant /*now*/) const
{
    return 1;
}

double fleet_load::busy_slots(server_id /*server*/, instant /*now*/) const
{
    return 0;
}

std::size_t fleet_load::recent_reporters(instant /*now*/) const
{
    return 0;
}

} // namespace dotterelrouter
