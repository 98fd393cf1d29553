#include <endivestage/daemon/settings.hpp>

#include <endivestage/daemon/signing.hpp>

#include <boost/asio/ip/address.hpp>
#include <boost/json.hpp>
#include <cassert>
#include <filesystem>
#include <fstream>
#include <limits>
#include <set>
#include <sstream>

namespace endivestage::daemon
{

namespace json = boost::json;

namespace
{

constexpr std::int64_t max_port = 65535;
/// Longer times in a settings file are mistaken units.
constexpr std::int64_t max_time_ms = 3'600'000;
constexpr std::size_t max_name_bytes = 128;
constexpr std::size_t min_token_bytes = 16;
constexpr std::size_t max_list_entries = 64;

/// \brief Reads the members of one JSON object and notes what is wrong with them.
class object_reader
{
public:
    /// \param values Null if the object is missing or of another type, which was reported before.
    object_reader(const json::object* values, std::string path, std::string_view file,
                  std::vector<settings_fault>& faults)
        : values_(values),
          path_(std::move(path)),
          file_(file),
          faults_(&faults)
    {
    }

    std::string key(std::string_view name) const
    {
        return path_.empty() ? std::string(name) : path_ + "." + std::string(name);
    }

    void report(std::string key, settings_fault_kind kind, std::string reason)
    {
        faults_->push_back({std::string(file_), std::move(key), kind, std::move(reason)});
    }

    const json::value* find(std::string_view name, bool required)
    {
        known_.emplace(name);
        const json::value* value = values_ == nullptr ? nullptr : values_->if_contains(name);
        if (value == nullptr && required && values_ != nullptr)
        {
            report(key(name), settings_fault_kind::missing_key, "is required");
        }
        return value;
    }

    object_reader object(std::string_view name, bool required)
    {
        const json::value* value = find(name, required);
        const json::object* members = value == nullptr ? nullptr : value->if_object();
        if (value != nullptr && members == nullptr)
        {
            report(key(name), settings_fault_kind::wrong_type, "must be an object");
        }
        return {members, key(name), file_, *faults_};
    }

    std::string text(std::string_view name, bool required, std::string standard = {})
    {
        const json::value* value = find(name, required);
        return value == nullptr ? std::move(standard)
                                : checked_text(*value, key(name), 1, max_name_bytes);
    }

    /// \brief Reads an id. The configuration allows the same characters, so ids can be compared.
    std::string id(std::string_view name)
    {
        constexpr std::string_view allowed =
            "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-";
        std::string found = text(name, true);
        if (found.find_first_not_of(allowed) != std::string::npos)
        {
            report(key(name), settings_fault_kind::out_of_range,
                   "must have only letters, digits, '_' and '-'");
        }
        return found;
    }

    std::string ip_address(std::string_view name, bool required, std::string standard = {})
    {
        if (find(name, required) == nullptr)
        {
            // A faulty default was reported under its own key.
            return standard;
        }
        const std::size_t before = faults_->size();
        std::string host = text(name, required);
        boost::system::error_code ec;
        boost::asio::ip::make_address(host, ec);
        if (ec && !host.empty() && faults_->size() == before)
        {
            report(key(name), settings_fault_kind::not_an_ip_address,
                   "must be an IPv4 or IPv6 address");
        }
        return host;
    }

    std::int64_t number(std::string_view name, bool required, std::int64_t lowest,
                        std::int64_t highest, std::int64_t standard)
    {
        const json::value* value = find(name, required);
        if (value == nullptr)
        {
            return standard;
        }
        if (!value->is_int64() && !value->is_uint64())
        {
            report(key(name), settings_fault_kind::wrong_type, "must be a whole number");
            return standard;
        }
        const bool inside =
            value->is_int64() && value->get_int64() >= lowest && value->get_int64() <= highest;
        if (!inside)
        {
            report(key(name), settings_fault_kind::out_of_range,
                   "must be from " + std::to_string(lowest) + " to " + std::to_string(highest));
            return standard;
        }
        return value->get_int64();
    }

    std::uint16_t port(std::string_view name)
    {
        return static_cast<std::uint16_t>(number(name, true, 1, max_port, 0));
    }

    network_address address(std::string_view name)
    {
        object_reader members = object(name, true);
        network_address found;
        found.host = members.ip_address("host", true);
        found.port = members.port("port");
        members.finish();
        return found;
    }

    void time(std::string_view name, millis& target)
    {
        target.count = number(name, false, 1, max_time_ms, target.count);
    }

    void size(std::string_view name, std::size_t& target, std::int64_t lowest, std::int64_t highest)
    {
        target = static_cast<std::size_t>(
            number(name, false, lowest, highest, static_cast<std::int64_t>(target)));
    }

    std::vector<secret> secrets(std::string_view name, std::size_t min_bytes)
    {
        const json::value* value = find(name, true);
        if (value == nullptr)
        {
            return {};
        }
        const json::array* entries = value->if_array();
        if (entries == nullptr)
        {
            report(key(name), settings_fault_kind::wrong_type, "must be a list of texts");
            return {};
        }
        if (entries->empty() || entries->size() > max_list_entries)
        {
            report(key(name), settings_fault_kind::out_of_range,
                   "must have from 1 to " + std::to_string(max_list_entries) + " entries");
            return {};
        }
        std::vector<secret> found;
        for (const json::value& entry : *entries)
        {
            found.emplace_back(checked_text(
                entry, key(name) + "[" + std::to_string(found.size()) + "]", min_bytes, 1024));
        }
        return found;
    }

    /// \brief Reports the keys that nothing has asked for.
    void finish()
    {
        if (values_ == nullptr)
        {
            return;
        }
        for (const json::key_value_pair& member : *values_)
        {
            const std::string_view name(member.key().data(), member.key().size());
            if (!known_.contains(name))
            {
                report(key(name), settings_fault_kind::unknown_key, "is not a setting");
            }
        }
    }

private:
    std::string checked_text(const json::value& value, std::string path, std::size_t lowest,
                             std::size_t highest)
    {
        const json::string* text = value.if_string();
        if (text == nullptr)
        {
            report(std::move(path), settings_fault_kind::wrong_type, "must be a text");
            return {};
        }
        if (text->size() < lowest || text->size() > highest)
        {
            report(std::move(path), settings_fault_kind::out_of_range,
                   "must have from " + std::to_string(lowest) + " to " + std::to_string(highest) +
                       " bytes");
            return {};
        }
        return {text->data(), text->size()};
    }

    const json::object* values_;
    std::string path_;
    std::string_view file_;
    std::vector<settings_fault>* faults_;
    std::set<std::string, std::less<>> known_;
};

void read_limits(object_reader members, request_limits& limits)
{
    members.size("max_header_bytes", limits.max_header_bytes, 1024, 1 << 20);
    members.size("max_body_bytes", limits.max_body_bytes, 1024, 1 << 30);
    members.size("max_connections", limits.max_connections, 1, 1'000'000);
    members.finish();
}

void read_timing(object_reader members, timing_settings& timing)
{
    members.time("probe_period_ms", timing.probe_period);
    members.time("probe_timeout_ms", timing.probe_timeout);
    members.time("confirmation_window_ms", timing.confirmation_window);
    members.time("confirmation_margin_ms", timing.confirmation_margin);
    members.time("report_lag_ms", timing.report_lag);
    members.time("digest_period_ms", timing.digest_period);
    members.time("store_poll_period_ms", timing.store_poll_period);
    members.time("stall_deadline_ms", timing.stall_deadline);
    members.time("proposer_takeover_ms", timing.proposer_takeover);
    members.time("peer_idle_timeout_ms", timing.peer_idle_timeout);
    members.finish();
}

} // namespace

std::string_view to_string(settings_fault_kind kind)
{
    switch (kind)
    {
    case settings_fault_kind::unreadable_file:
        return "unreadable_file";
    case settings_fault_kind::invalid_json:
        return "invalid_json";
    case settings_fault_kind::missing_key:
        return "missing_key";
    case settings_fault_kind::unknown_key:
        return "unknown_key";
    case settings_fault_kind::wrong_type:
        return "wrong_type";
    case settings_fault_kind::out_of_range:
        return "out_of_range";
    case settings_fault_kind::not_an_ip_address:
        break;
    }
    return "not_an_ip_address";
}

std::string to_string(const settings_fault& fault)
{
    return fault.file + ": " + (fault.key.empty() ? "" : fault.key + ": ") +
           std::string(to_string(fault.what)) + ": " + fault.reason;
}

const router_settings& settings_outcome::value() const
{
    assert(has_value());
    return value_;
}

std::error_code settings_outcome::error() const
{
    return make_error_code(has_value() ? errc::ok : errc::invalid_settings);
}

settings_outcome parse_settings(std::string_view text, std::string_view file)
{
    std::vector<settings_fault> faults;
    json::error_code ec;
    const json::value document = json::parse({text.data(), text.size()}, ec);
    if (ec)
    {
        // The parser's message names no content, which may be a secret.
        faults.push_back({std::string(file), "", settings_fault_kind::invalid_json, ec.message()});
        return settings_outcome(std::move(faults));
    }
    if (!document.is_object())
    {
        faults.push_back(
            {std::string(file), "", settings_fault_kind::wrong_type, "must be an object"});
        return settings_outcome(std::move(faults));
    }
    object_reader members(&document.get_object(), "", file, faults);
    router_settings found;
    found.id = router_id(members.id("id"));
    found.region = region_id(members.id("region"));
    found.zone = zone_id(members.id("zone"));
    found.listen = members.address("listen");
    found.advertised_host = members.ip_address("advertised_host", false, found.listen.host);
    found.peer_port = members.port("peer_port");
    found.udp_port = members.port("udp_port");
    object_reader platform = members.object("platform", true);
    found.platform.table = platform.address("table");
    found.platform.objects = platform.address("objects");
    found.platform.hosts = platform.address("hosts");
    found.platform.weights = platform.address("weights");
    platform.finish();
    found.operator_tokens = members.secrets("operator_tokens", min_token_bytes);
    found.peer_keys = members.secrets("peer_keys", key_ring::min_key_bytes);
    members.size("worker_threads", found.worker_threads, 1, 256);
    members.time("address_lifetime_ms", found.address_lifetime);
    found.log_file = members.text("log_file", false);
    read_limits(members.object("limits", false), found.limits);
    read_timing(members.object("timing", false), found.timing);
    members.finish();
    // Both listen for TCP on the same host.
    if (found.peer_port != 0 && found.peer_port == found.listen.port)
    {
        members.report("peer_port", settings_fault_kind::out_of_range,
                       "must differ from listen.port");
    }
    return faults.empty() ? settings_outcome(std::move(found))
                          : settings_outcome(std::move(faults));
}

settings_outcome load_settings(const std::string& path)
{
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream text;
    std::error_code ec;
    if (std::filesystem::is_directory(path, ec))
    {
        // A stream opens a folder without an error and reads nothing from it.
        return settings_outcome(std::vector<settings_fault>{
            {path, "", settings_fault_kind::unreadable_file, "is a folder"}});
    }
    if (stream)
    {
        text << stream.rdbuf();
    }
    if (!stream || stream.bad())
    {
        return settings_outcome(std::vector<settings_fault>{
            {path, "", settings_fault_kind::unreadable_file, "cannot be read"}});
    }
    return parse_settings(text.str(), path);
}

} // namespace endivestage::daemon
