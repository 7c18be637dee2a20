// Flows of clients after another writer has written an entry of a server from
// which a field is missing. Starts when the forwarders are started; see
// review/14.
#include "site.hpp"

#include <exception>

namespace review
{
namespace
{

constexpr int flow_count = 20;

int run(std::string const& network, bool has_trouble, std::string const& path)
{
    event_loop loop;
    recorder record(path);
    auto const at = [&](int host)
    {
        return network + "." + std::to_string(host);
    };
    store platform(loop, at(241));
    server catalogue(loop, record, "i-a000000001", 0xa000000001U, at(221));
    server gallery(loop, record, "i-b000000001", 0xb000000001U, at(222));
    client caller(loop, record, at(231), at(251));
    auto const gallery_key = "servers/" + gallery.name();
    platform.put("op/config", route_table(at(251)));
    platform.put("servers/" + catalogue.name(),
                 entry_of(catalogue.ip(), "catalogue", true));
    platform.put(gallery_key, entry_of(gallery.ip(), "gallery", true));
    if (!wait_until_ready(loop, {at(1), at(2)}))
    {
        record.line("the forwarders are not ready");
        return 2;
    }
    record.line("both forwarders are ready");
    loop.run_for(milliseconds{5000});
    if (has_trouble)
    {
        record.line("another writer writes " + gallery_key +
                    " without Version, as a server of catalogue");
        platform.put(gallery_key, entry_of(gallery.ip(), "catalogue", false));
    }
    loop.run_for(milliseconds{4500});
    for (int number = 1; number <= flow_count; ++number)
    {
        auto const forwarder = at(1 + number % 2);
        if (auto* const flow = caller.open(forwarder))
        {
            caller.request(forwarder, *flow, std::to_string(number));
        }
    }
    record.line(std::to_string(gallery.runs()) + " of " +
                std::to_string(flow_count) +
                " requests for catalogue were run by the service gallery");
    return gallery.runs() > 0 ? 1 : 0;
}

} // namespace
} // namespace review

int main(int argc, char const* const* argv)
{
    try
    {
        return argc == 4 ? review::run(argv[1],
                                       std::string_view{argv[2]} != "0",
                                       argv[3])
                         : 2;
    }
    catch (std::exception const& error)
    {
        std::fprintf(stderr, "foreign_entry: %s\n", error.what());
        return 2;
    }
}
