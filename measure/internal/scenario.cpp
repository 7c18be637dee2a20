#include "measure/internal/scenario.hpp"

namespace dotterelrouter::measure
{

using namespace std::chrono_literals;

deployment dublin()
{
    return {.name = "dublin",
            .balancers = 7,
            .slots = 3,
            .services = {{"catalogue", 14}, {"gallery", 4}},
            .kinds = {{.name = "fitting",
                       .service = "catalogue",
                       .urgency = 0,
                       .share_percent = 40,
                       .service_time = 15ms,
                       .think_time = 500ms,
                       .requests_per_flow = 8,
                       .deadline = 2s,
                       .share_of_service_load = 0.3},
                      {.name = "lookup",
                       .service = "catalogue",
                       .urgency = 1,
                       .share_percent = 60,
                       .service_time = 8ms,
                       .think_time = 0s,
                       .requests_per_flow = 1,
                       .deadline = 1s,
                       .share_of_service_load = 0.7},
                      {.name = "lookbook",
                       .service = "gallery",
                       .urgency = 2,
                       .share_percent = 100,
                       .service_time = 40ms,
                       .think_time = 20ms,
                       .requests_per_flow = 40,
                       .deadline = 5s,
                       .share_of_service_load = 1}}};
}

deployment quetzaltenango()
{
    return {.name = "quetzaltenango",
            .balancers = 7,
            .slots = 2,
            .services = {{"settlement", 14}, {"statements", 4}},
            .kinds = {{.name = "confirmation",
                       .service = "settlement",
                       .urgency = 0,
                       .share_percent = 60,
                       .service_time = 12ms,
                       .think_time = 300ms,
                       .requests_per_flow = 20,
                       .deadline = 2s,
                       .share_of_service_load = 0.5},
                      {.name = "position",
                       .service = "settlement",
                       .urgency = 1,
                       .share_percent = 40,
                       .service_time = 8ms,
                       .think_time = 300ms,
                       .requests_per_flow = 10,
                       .deadline = 1s,
                       .share_of_service_load = 0.5},
                      {.name = "statement",
                       .service = "statements",
                       .urgency = 2,
                       .share_percent = 100,
                       .service_time = 60ms,
                       .think_time = 20ms,
                       .requests_per_flow = 40,
                       .deadline = 5s,
                       .share_of_service_load = 1}}};
}

std::shared_ptr<configuration const>
make_configuration(deployment const& system)
{
    configuration_builder builder;
    builder.epoch(epoch_number{1});
    std::uint16_t port = 1;
    for (auto const& service : system.services)
    {
        for (std::uint16_t number = 0; number < service.servers; ++number)
        {
            builder.server({.name = service.name + std::to_string(number),
                            .service = service.name,
                            .address = {1, port++},
                            .data_centre = "a",
                            .slots = system.slots,
                            .connections = system.connections});
        }
    }
    for (auto const& kind : system.kinds)
    {
        builder.kind({.id = {},
                      .name = kind.name,
                      .urgency = kind.urgency,
                      .share_percent = kind.share_percent});
        builder.address({.address = {2, port++},
                         .service = kind.service,
                         .kind = kind.name});
    }
    return builder.build();
}

} // namespace dotterelrouter::measure
