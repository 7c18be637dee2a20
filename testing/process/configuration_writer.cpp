#include "testing/process/configuration_writer.hpp"

#include "dotterelrouter/runtime/runtime.hpp"
#include "dotterelrouter/store_client/store_client.hpp"

#include <stdexcept>

namespace dotterelrouter::testing
{
namespace
{

/// Delay between two reads of the manifest.
constexpr duration read_interval = std::chrono::milliseconds{50};
/// Number of repeated reads after which the write counts as failed.
constexpr int max_reads = 200;

class manifest_writer;

/// Passes events of the platform client to the writer. Separate from the
/// writer, which is still an incomplete type where it names the type of its
/// client.
struct manifest_writer_sink
{
    manifest_writer& owner;

    /// Called by the platform client for each event.
    void deliver(event const& next_event) const;
};

/// Reads the manifest, replaces it once, and reads it again until it has the
/// epoch of the new configuration.
class manifest_writer
{
public:
    manifest_writer(configuration const& new_configuration, endpoint platform)
        : manifest_(make_manifest(new_configuration)),
          chunks_(split_into_chunks(new_configuration)),
          client_({.platform_endpoint = platform}, loop_.base(), sink_)
    {
    }

    /// Returns 0 once the new manifest has been read, 1 after too many reads.
    int run()
    {
        client_.execute(read_manifest{});
        return loop_.run();
    }

    void on_event(event const& next_event)
    {
        auto const* const result = std::get_if<manifest_read>(&next_event);
        if (result != nullptr && result->value != nullptr &&
            result->value->epoch == manifest_->epoch)
        {
            loop_.stop(0);
            return;
        }
        if (result != nullptr && !has_written_)
        {
            has_written_ = true;
            client_.execute(
                restore_manifest{result->revision, manifest_, chunks_});
        }
        read_timer_.set_deadline(current_steady_time() + read_interval);
    }

    void on_timer()
    {
        if (++read_count_ > max_reads)
        {
            loop_.stop(1);
            return;
        }
        client_.execute(read_manifest{});
    }

private:
    event_loop loop_;
    std::shared_ptr<configuration_manifest const> manifest_;
    std::vector<std::shared_ptr<configuration_chunk const>> chunks_;
    timer<manifest_writer> read_timer_{loop_, *this};
    manifest_writer_sink sink_{*this};
    platform_client<manifest_writer_sink> client_;
    bool has_written_ = false;
    int read_count_ = 0;
};

void manifest_writer_sink::deliver(event const& next_event) const
{
    owner.on_event(next_event);
}

} // namespace

void write_configuration(configuration const& new_configuration,
                         endpoint platform)
{
    manifest_writer writer{new_configuration, platform};
    if (writer.run() != 0)
    {
        throw std::runtime_error(
            "the platform did not store the new configuration manifest");
    }
}

} // namespace dotterelrouter::testing
