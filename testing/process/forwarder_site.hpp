// Real forwarder processes on loopback addresses of their own, with the
// settings files that the platform would write.
//
//     forwarder_site site;
//     auto child = site.start(1);
//     CHECK(site.becomes_ready(1));
//
// Forwarder N has the site's network with N as its last octet; ports are the
// same on all. Files are removed at the end.
#pragma once

#include "dotterelrouter/core/core.hpp"
#include "testing/process/child_process.hpp"

#include <cstdint>
#include <filesystem>
#include <map>
#include <string>
#include <string_view>

namespace dotterelrouter::testing
{

/// Ports of a site.
inline constexpr std::uint16_t packet_port = 8172;
inline constexpr std::uint16_t readiness_port = 8167;
inline constexpr std::uint16_t control_port = 8166;
inline constexpr std::uint16_t internal_port = 7720;
inline constexpr std::uint16_t store_port = 8169;

/// Which networks a site takes.
struct site_settings
{
    std::uint32_t seeds = 2;        ///< Forwarders that all are told of.
    std::uint32_t data_centres = 1; ///< Forwarders are dealt out to them.
};

class forwarder_site
{
public:
    explicit forwarder_site(site_settings settings = {});
    forwarder_site(forwarder_site const&) = delete;
    forwarder_site& operator=(forwarder_site const&) = delete;
    ~forwarder_site();

    /// An address of the site; `last` below 65536.
    [[nodiscard]] std::uint32_t ip(std::uint32_t last) const;
    [[nodiscard]] endpoint store_at() const;

    /// Where a forwarder finds the store, if it is not at `store_at`.
    void set_store(std::uint32_t number, endpoint where);

    /// Writes the settings of a forwarder and starts it.
    child_process start(std::uint32_t number);
    /// Starts it with the settings that are there.
    child_process start_again(std::uint32_t number) const;
    void write_settings(std::uint32_t number) const;

    [[nodiscard]] bool ready(std::uint32_t number) const;
    [[nodiscard]] bool becomes_ready(std::uint32_t number,
                                     duration limit = patience) const;

    [[nodiscard]] std::string settings_of(std::uint32_t number) const;
    /// All that a forwarder wrote so far.
    [[nodiscard]] std::string logged(std::uint32_t number) const;

    /// Leaves the files for later looks; returns their folder.
    std::string keep();

    /// The name of the data centre that a forwarder is in.
    [[nodiscard]] std::string data_centre_of(std::uint32_t number) const;

private:
    [[nodiscard]] std::string log_of(std::uint32_t number) const;

    site_settings settings_;
    std::uint32_t network_ = 0;
    std::filesystem::path folder_{};
    std::map<std::uint32_t, endpoint> stores_{};
    bool kept_ = false;
};

} // namespace dotterelrouter::testing
