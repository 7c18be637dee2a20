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

void bounded_output::add(std::string_view line)
{
    if (waiting_.size() + line.size() + 1 > capacity)
    {
        ++dropped_;
        return;
    }
    waiting_ += line;
    waiting_ += '\n';
}

void bounded_output::flush()
{
    while (!waiting_.empty())
    {
        auto const written =
            ::write(descriptor_, waiting_.data(), waiting_.size());
        if (written > 0)
        {
            waiting_.erase(0, static_cast<std::size_t>(written));
        }
        else if (written == 0 || errno != EINTR)
        {
            // Full: the next flush goes on. There is nowhere to tell more.
            return;
        }
    }
}

} // namespace dotterelrouter
