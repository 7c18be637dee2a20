#include "dotterelrouter/telemetry/internal/bounded_output.hpp"

#include <cerrno>

#include <fcntl.h>
#include <unistd.h>

namespace dotterelrouter
{

bounded_output::bounded_output(int descriptor) : descriptor_(descriptor)
{
    auto const flags = ::fcntl(descriptor_, F_GETFL, 0);
    if (flags >= 0)
    {
        ::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
    }
}

void bounded_output::append_line(std::string_view line)
{
    if (buffer_.size() + line.size() + 1 > max_buffered_bytes)
    {
        ++dropped_lines_;
        return;
    }
    buffer_ += line;
    buffer_ += '\n';
}

void bounded_output::flush()
{
    while (!buffer_.empty())
    {
        auto const written_bytes =
            ::write(descriptor_, buffer_.data(), buffer_.size());
        if (written_bytes > 0)
        {
            buffer_.erase(0, static_cast<std::size_t>(written_bytes));
        }
        else if (written_bytes == 0 || errno != EINTR)
        {
            // The descriptor accepts no more for now; the next flush resumes
            // here. Other errors end here as well: this is the log itself, so
            // there is nowhere to report them.
            return;
        }
    }
}

} // namespace dotterelrouter
