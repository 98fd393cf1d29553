#include <endivestage/serving/settings.hpp>

#include <endivestage/daemon/json_access.hpp>

#include <algorithm>
#include <utility>

namespace endivestage::serving
{

namespace json = boost::json;

namespace
{

/// Callers use the addresses of dead routers for up to this long; a shorter time would cost more
/// address requests.
constexpr millis max_address_lifetime{2000};
constexpr double bytes_per_mb = 1024.0 * 1024.0;

/// Reads settings and collects the faults found in them.
class settings_reader
{
public:
    settings_reader(const json::object& root, std::vector<settings_fault>& faults)
        : root_(root),
          faults_(faults)
    {
    }

    std::string read_text(std::string_view section, std::string_view key)
    {
        const json::value* value = find(section, key);
        if (value == nullptr)
        {
            return {};
        }
        if (!value->is_string() || value->get_string().empty())
        {
            report(section, key, "not_a_text");
            return {};
        }
        return std::string(value->get_string());
    }

    daemon::network_address read_address(std::string_view section, std::string_view key)
    {
        daemon::network_address parsed;
        const std::string text = read_text(section, key);
        if (!text.empty() && !daemon::parse_network_address(text, parsed))
        {
            report(section, key, "not_an_address");
        }
        return parsed;
    }

    bool read_flag(std::string_view section, std::string_view key)
    {
        const json::value* value = find(section, key);
        if (value != nullptr && !value->is_bool())
        {
            report(section, key, "not_a_flag");
        }
        return value != nullptr && value->is_bool() && value->get_bool();
    }

    bool read_optional_flag(std::string_view section, std::string_view key, bool fallback)
    {
        return daemon::get_object(root_, section).contains(key) ? read_flag(section, key)
                                                                : fallback;
    }

    double read_number(std::string_view section, std::string_view key, double min_value,
                       double max_value)
    {
        const json::value* value = find(section, key);
        if (value == nullptr)
        {
            return min_value;
        }
        if (!value->is_number())
        {
            report(section, key, "not_a_number");
            return min_value;
        }
        const double parsed = value->to_number<double>();
        if (parsed < min_value || parsed > max_value)
        {
            report(section, key, "out_of_range");
            return min_value;
        }
        return parsed;
    }

    double read_optional_number(std::string_view section, std::string_view key, double min_value,
                                double max_value, double fallback)
    {
        const json::object& members = daemon::get_object(root_, section);
        const auto it = members.find(key);
        // A platform without the field may render null.
        return it != members.end() && !it->value().is_null()
                   ? read_number(section, key, min_value, max_value)
                   : fallback;
    }

    millis read_millis(std::string_view section, std::string_view key, double min_value,
                       double max_value)
    {
        return {static_cast<std::int64_t>(read_number(section, key, min_value, max_value))};
    }

    millis read_seconds(std::string_view section, std::string_view key, double min_value,
                        double max_value)
    {
        return {
            static_cast<std::int64_t>(read_number(section, key, min_value, max_value) * 1000.0)};
    }

private:
    const json::value* find(std::string_view section, std::string_view key)
    {
        const json::object& members = daemon::get_object(root_, section);
        const auto it = members.find(key);
        if (it == members.end())
        {
            report(section, key, "missing");
            return nullptr;
        }
        return &it->value();
    }

    void report(std::string_view section, std::string_view key, std::string_view reason)
    {
        faults_.push_back(
            {std::string(section) + "." + std::string(key), errc::invalid_settings, reason});
    }

    const json::object& root_;
    std::vector<settings_fault>& faults_;
};

overload_config read_overload(settings_reader& reader)
{
    overload_config read;
    read.enabled = reader.read_optional_flag("overload", "enabled", read.enabled);
    read.bound_factor =
        reader.read_optional_number("overload", "bound_factor", 1.0, 100.0, read.bound_factor);
    read.rank_band = reader.read_optional_number("overload", "rank_band", 0.0, 0.5, read.rank_band);
    read.wait_share =
        reader.read_optional_number("overload", "wait_share", 0.0, 1.0, read.wait_share);
    read.max_waiting = static_cast<std::size_t>(reader.read_optional_number(
        "overload", "max_waiting", 0, 1e6, static_cast<double>(read.max_waiting)));
    read.stale_share =
        reader.read_optional_number("overload", "stale_share", 1.0, 1000.0, read.stale_share);
    return read;
}

void read_rollout_bounds(settings_reader& reader, server_bounds& bounds)
{
    const auto read = [&reader](std::string_view key, double max_value, double fallback)
    {
        return reader.read_optional_number("bounds", key, 0, max_value, fallback);
    };
    const auto read_time = [&read](std::string_view key, millis fallback)
    {
        return millis{
            static_cast<std::int64_t>(read(key, 600000, static_cast<double>(fallback.count)))};
    };
    bounds.exposure_share = read("exposure_share", 1, bounds.exposure_share);
    bounds.exposure_slack = read("exposure_slack", 1e9, bounds.exposure_slack);
    bounds.rollback_delay = read_time("rollback_ms", bounds.rollback_delay);
    bounds.max_extension = read_time("max_extension_ms", bounds.max_extension);
}

} // namespace

settings_outcome parse_server_settings(std::string_view text)
{
    settings_outcome outcome;
    const result<json::object> root = daemon::parse_json_object(text);
    if (!root)
    {
        outcome.faults.push_back({"", errc::invalid_settings, "not_a_json_object"});
        return outcome;
    }
    settings_reader reader(*root, outcome.faults);
    server_settings& settings = outcome.settings;
    settings.name = router_id(reader.read_text("router", "name"));
    settings.zone = zone_id(reader.read_text("router", "zone"));
    settings.region = region_id(reader.read_text("router", "region"));
    settings.host = reader.read_text("router", "host");
    settings.peer_port =
        static_cast<std::uint16_t>(reader.read_number("router", "peer_port", 1, 65535));
    settings.cpu_share = reader.read_number("router", "cpu_share", 0.001, 1024);
    const double memory_mb = reader.read_optional_number(
        "router", "memory_mb", 16, 1 << 20, static_cast<double>(settings.memory) / bytes_per_mb);
    settings.memory = static_cast<std::size_t>(memory_mb * bytes_per_mb);
    const double descriptors =
        reader.read_optional_number("router", "max_descriptors", 300, 1 << 24, 0);
    if (descriptors > 0)
    {
        settings.descriptors = static_cast<std::size_t>(descriptors);
    }
    settings.first_start = reader.read_flag("router", "first_start");
    settings.callers = reader.read_address("listen", "callers");
    settings.readiness = reader.read_address("listen", "readiness");
    settings.directory = reader.read_address("listen", "directory");
    settings.metrics = reader.read_address("listen", "metrics");
    settings.table_service = reader.read_address("platform", "table_service");
    settings.bounds.max_revocation_delay =
        reader.read_millis("bounds", "revocation_ms", 2000, 600000);
    settings.bounds.max_config_delay = reader.read_millis("bounds", "config_ms", 500, 600000);
    settings.bounds.max_drain_delay = reader.read_millis("bounds", "drain_ms", 500, 600000);
    settings.bounds.repeats.ratio = reader.read_number("bounds", "repeat_ratio", 0, 10);
    settings.bounds.repeats.window = reader.read_seconds("bounds", "repeat_window_s", 0.1, 600);
    settings.bounds.repeats.allowance =
        static_cast<std::uint32_t>(reader.read_number("bounds", "repeat_allowance", 0, 1e6));
    settings.bounds.cold_overshoot = reader.read_number("bounds", "cold_overshoot", 1, 100);
    settings.bounds.cold_slack = reader.read_number("bounds", "cold_slack", 0, 1e6);
    settings.bounds.stop_grace = reader.read_seconds("bounds", "stop_grace_s", 1, 600);
    settings.bounds.address_lifetime = std::min(
        reader.read_seconds("bounds", "address_lifetime_s", 0.5, 600), max_address_lifetime);
    settings.overload = read_overload(reader);
    read_rollout_bounds(reader, settings.bounds);
    return outcome;
}

} // namespace endivestage::serving
