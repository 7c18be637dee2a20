#include "testing/process/network_reservation.hpp"

#include <filesystem>
#include <random>
#include <stdexcept>
#include <string>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

namespace dotterelrouter::testing
{
namespace
{

constexpr int first_octet_drawn = 16;
constexpr int last_octet_drawn = 250;
constexpr int max_draws = 1000;

/// Returns the descriptor of the locked file, or -1 if another process holds
/// the lock.
int try_lock(int second_octet)
{
    auto const path = std::filesystem::temp_directory_path() /
                      ("process_test_network_" + std::to_string(second_octet));
    constexpr int owner_only = 0600;
    auto const file =
        ::open(path.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, owner_only);
    if (file < 0)
    {
        throw std::runtime_error("cannot open the lock file " + path.string());
    }
    if (::flock(file, LOCK_EX | LOCK_NB) == 0)
    {
        return file;
    }
    ::close(file);
    return -1;
}

} // namespace

network_reservation::network_reservation()
{
    std::random_device source;
    std::uniform_int_distribution<int> octets{first_octet_drawn,
                                              last_octet_drawn};
    for (int draw = 0; draw < max_draws && lock_file_ < 0; ++draw)
    {
        second_octet_ = octets(source);
        lock_file_ = try_lock(second_octet_);
    }
    if (lock_file_ < 0)
    {
        throw std::runtime_error("all loopback networks for tests are in use");
    }
}

network_reservation::~network_reservation()
{
    ::close(lock_file_);
}

} // namespace dotterelrouter::testing
