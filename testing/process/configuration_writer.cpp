#include "testing/process/configuration_writer.hpp"

#include "dotterelrouter/runtime/runtime.hpp"
#include "dotterelrouter/store_client/store_client.hpp"

#include <stdexcept>

namespace dotterelrouter::testing
{
namespace
{

/// Between two reads of the manifest.
constexpr duration read_interval = std::chrono::milliseconds{50};
/// Reads before giving up.
constexpr int read_limit = 200;

class writer;

/// Hands events to the writer, which is incomplete where its client is named.
struct writer_sink
{
    writer& owner;

    /// Called by the platform client.
    void deliver(event const& happened) const;
};

/// Reads the manifest, replaces it once, and reads until it is the new one.
class writer
{
public:
    writer(configuration const& whole, endpoint platform)
        : manifest_(manifest_of(whole)), chunks_(split(whole)),
          client_({.service = platform}, loop_.base(), sink_)
    {
    }

    int run()
    {
        client_.carry_out(read_manifest{});
        return loop_.run();
    }

    void on_event(event const& happened)
    {
        auto const* const read = std::get_if<manifest_read>(&happened);
        if (read != nullptr && read->value != nullptr &&
            read->value->epoch == manifest_->epoch)
        {
            loop_.stop(0);
            return;
        }
        if (read != nullptr && !written_)
        {
            written_ = true;
            client_.carry_out(
                restore_manifest{read->revision, manifest_, chunks_});
        }
        alarm_.wake_at(std::chrono::steady_clock::now() + read_interval);
    }

    void on_timer()
    {
        if (++reads_ > read_limit)
        {
            loop_.stop(1);
            return;
        }
        client_.carry_out(read_manifest{});
    }

private:
    event_loop loop_;
    std::shared_ptr<configuration_manifest const> manifest_;
    std::vector<std::shared_ptr<configuration_chunk const>> chunks_;
    timer<writer> alarm_{loop_, *this};
    writer_sink sink_{*this};
    platform_client<writer_sink> client_;
    bool written_ = false;
    int reads_ = 0;
};

void writer_sink::deliver(event const& happened) const
{
    owner.on_event(happened);
}

} // namespace

void write_configuration(configuration const& whole, endpoint platform)
{
    writer writing{whole, platform};
    if (writing.run() != 0)
    {
        throw std::runtime_error("the platform takes no configuration");
    }
}

} // namespace dotterelrouter::testing
