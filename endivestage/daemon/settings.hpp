/// \file
/// \brief Settings of a router process: a JSON file, checked as a whole before start.
#pragma once

#include <endivestage/core/clock.hpp>
#include <endivestage/core/error.hpp>
#include <endivestage/core/ids.hpp>
#include <endivestage/daemon/network_address.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace endivestage::daemon
{

/// \brief Text that must not appear in logs, answers or fault reports.
class secret
{
public:
    secret() = default;
    explicit secret(std::string value) : value_(std::move(value)) {}

    /// \returns The secret text, to sign or compare with.
    const std::string& reveal() const { return value_; }

private:
    std::string value_;
};

/// \brief Addresses of the platform's services.
struct platform_addresses
{
    network_address table;
    network_address objects;
    network_address hosts;
    network_address weights;
};

/// \brief Bounds on callers' requests.
struct request_limits
{
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 4U << 20U;
    std::size_t max_connections = 20000;
};

/// \brief Timing; the defaults are those of the design page. Tests shorten them.
struct timing_settings
{
    millis probe_period{1000};
    millis probe_timeout{300};
    millis confirmation_window{2000};
    millis confirmation_margin{500};
    millis report_lag{1000};
    millis digest_period{250};
    millis store_poll_period{1000};
    millis stall_deadline{3000};
    millis proposer_takeover{2000};
    millis peer_idle_timeout{30000};
};

/// \brief Everything a router process reads at start.
struct router_settings
{
    router_id id;
    region_id region;
    zone_id zone;
    network_address listen;      ///< For callers. Keys listen.host and listen.port.
    std::string advertised_host; ///< Given to callers and peers; default: listen.host.
    std::uint16_t peer_port = 0; ///< HTTP/2 between routers, on listen.host.
    std::uint16_t udp_port = 0;  ///< Probes, on listen.host.
    platform_addresses platform; ///< Keys platform.table, .objects, .hosts, .weights.
    std::vector<secret> operator_tokens;
    std::vector<secret> peer_keys; ///< The first signs, all verify.
    std::size_t worker_threads = 4;
    millis address_lifetime{5000}; ///< Key address_lifetime_ms.
    std::string log_file;          ///< Empty: stderr.
    request_limits limits;
    timing_settings timing; ///< Keys timing.probe_period_ms and so on.
};

/// \brief What is wrong with a key.
enum class settings_fault_kind
{
    unreadable_file,
    invalid_json,
    missing_key,
    unknown_key,
    wrong_type,
    out_of_range,
    not_an_ip_address,
};

/// \returns The stable snake_case name of a kind.
std::string_view to_string(settings_fault_kind kind);

/// \brief One fault; never contains the value of a key, which may be a secret.
struct settings_fault
{
    std::string file;
    std::string key; ///< Path such as "platform.table.port" or "peer_keys[1]"; empty for the file.
    settings_fault_kind what = settings_fault_kind::invalid_json;
    std::string reason; ///< What was expected, for people.
};

/// \returns "file: key: kind: reason" of one fault.
std::string to_string(const settings_fault& fault);

/// \brief Settings or all faults found.
class settings_outcome
{
public:
    explicit settings_outcome(router_settings value) : value_(std::move(value)) {}
    /// \param faults Not empty.
    explicit settings_outcome(std::vector<settings_fault> faults) : faults_(std::move(faults)) {}

    bool has_value() const { return faults_.empty(); }
    /// \returns The settings; only when has_value().
    const router_settings& value() const;
    const std::vector<settings_fault>& faults() const { return faults_; }
    /// \returns errc::ok or errc::invalid_settings.
    std::error_code error() const;

private:
    router_settings value_;
    std::vector<settings_fault> faults_;
};

/// \brief Checks the text of a settings file.
/// \param file Name to report in faults.
settings_outcome parse_settings(std::string_view text, std::string_view file);

/// \brief Reads and checks a settings file.
settings_outcome load_settings(const std::string& path);

} // namespace endivestage::daemon
