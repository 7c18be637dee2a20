// Real forwarder processes on a loopback network of their own, with the
// settings files that the platform would write.
//
//     forwarder_site site;
//     auto child = site.start(1);
//     CHECK(site.wait_until_ready(1));
//
// The address of forwarder N is host N of the site's network. All forwarders
// use the same ports. The files are removed with the object, unless
// `keep_files` was called.
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

/// Port at which a forwarder receives packets of callers.
inline constexpr std::uint16_t packet_port = 8172;
/// Port at which a forwarder reports its readiness.
inline constexpr std::uint16_t readiness_port = 8167;
/// Port for messages between forwarders.
inline constexpr std::uint16_t control_port = 8166;
/// First port of the range that a forwarder uses internally.
inline constexpr std::uint16_t first_internal_port = 7720;
/// Port of the stand-in of the store.
inline constexpr std::uint16_t store_port = 8169;

struct site_settings
{
    /// Number of forwarders, from 1, whose addresses all settings list as
    /// seeds.
    std::uint32_t seed_count = 2;
    /// Number of data centres, to which forwarders are assigned in turn.
    std::uint32_t data_centre_count = 1;
};

class forwarder_site
{
public:
    explicit forwarder_site(site_settings settings = {});
    forwarder_site(forwarder_site const&) = delete;
    forwarder_site& operator=(forwarder_site const&) = delete;
    ~forwarder_site();

    /// Address of a host of the site's network; `host_number` is below 65536.
    [[nodiscard]] std::uint32_t ip(std::uint32_t host_number) const;
    /// Address at which forwarders reach the store by default.
    [[nodiscard]] endpoint store_endpoint() const;

    /// Overrides the store's address for a forwarder. Takes effect when its
    /// settings are written next.
    void set_store_endpoint(std::uint32_t forwarder_number, endpoint store);

    /// Writes the settings of a forwarder and starts it.
    child_process start(std::uint32_t forwarder_number);
    /// Starts a forwarder with the settings file that exists.
    child_process
    start_with_existing_settings(std::uint32_t forwarder_number) const;
    void write_settings(std::uint32_t forwarder_number) const;

    /// True if the forwarder reports that it is ready.
    [[nodiscard]] bool is_ready(std::uint32_t forwarder_number) const;
    /// Waits until `is_ready`; false if it is not within `timeout`.
    [[nodiscard]] bool
    wait_until_ready(std::uint32_t forwarder_number,
                     duration timeout = default_wait_timeout) const;

    [[nodiscard]] std::string
    settings_path(std::uint32_t forwarder_number) const;
    /// Everything that a forwarder has written to its output so far.
    [[nodiscard]] std::string log_text(std::uint32_t forwarder_number) const;

    /// Keeps the files for inspection when the object is destroyed. Returns the
    /// path of their directory.
    std::string keep_files();

    /// Name of the data centre to which a forwarder is assigned.
    [[nodiscard]] std::string
    data_centre_name(std::uint32_t forwarder_number) const;

private:
    [[nodiscard]] std::string log_path(std::uint32_t forwarder_number) const;

    site_settings settings_;
    std::uint32_t network_address_ = 0;
    std::filesystem::path directory_{};
    std::map<std::uint32_t, endpoint> store_endpoints_{};
    bool keeps_files_ = false;
};

} // namespace dotterelrouter::testing
