// A /16 network of 127.0.0.0/8 that no other test process uses meanwhile, so
// that deployments which run at the same time do not reach each other.
//
//     network_reservation network;
//     auto const second_octet = network.second_octet();
#pragma once

namespace dotterelrouter::testing
{

/// Holds a lock on the network for its lifetime. The system releases the lock
/// also if the process aborts.
class network_reservation
{
public:
    /// Throws std::runtime_error if no free network is found.
    network_reservation();
    ~network_reservation();
    network_reservation(network_reservation const&) = delete;
    network_reservation& operator=(network_reservation const&) = delete;

    /// The second octet of all addresses of the network.
    [[nodiscard]] int second_octet() const
    {
        return second_octet_;
    }

private:
    int second_octet_ = 0;
    int lock_file_ = -1;
};

} // namespace dotterelrouter::testing
