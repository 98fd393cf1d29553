#include <endivestage/serving/settings.hpp>

#include <endivestage/daemon/json_access.hpp>

#include <algorithm>
#include <utility>

namespace endivestage::serving
{

namespace json = boost::json;

namespace
{

/// Callers keep addresses of dead routers for this long; a shorter time costs more questions.
constexpr millis longest_address_lifetime{2000};

/// Reads members and collects what is wrong with them.
class settings_reader
{
public:
    settings_reader(const json::object& root, std::vector<settings_fault>& faults)
        : root_(root),
          faults_(faults)
    {
    }

    std::string text(std::string_view section, std::string_view key)
    {
        const json::value* value = find(section, key);
        if (value == nullptr)
        {
            return {};
        }
        if (!value->is_string() || value->get_string().empty())
        {
            add(section, key, "not_a_text");
            return {};
        }
        return std::string(value->get_string());
    }

    daemon::network_address address(std::string_view section, std::string_view key)
    {
        daemon::network_address parsed;
        const std::string written = text(section, key);
        if (!written.empty() && !daemon::parse_network_address(written, parsed))
        {
            add(section, key, "not_an_address");
        }
        return parsed;
    }

    double number(std::string_view section, std::string_view key, double least, double most)
    {
        const json::value* value = find(section, key);
        if (value == nullptr)
        {
            return least;
        }
        if (!value->is_number())
        {
            add(section, key, "not_a_number");
            return least;
        }
        const double read = value->to_number<double>();
        if (read < least || read > most)
        {
            add(section, key, "out_of_range");
            return least;
        }
        return read;
    }

    millis time(std::string_view section, std::string_view key, double least, double most)
    {
        return {static_cast<std::int64_t>(number(section, key, least, most))};
    }

    millis seconds(std::string_view section, std::string_view key, double least, double most)
    {
        return {static_cast<std::int64_t>(number(section, key, least, most) * 1000.0)};
    }

private:
    const json::value* find(std::string_view section, std::string_view key)
    {
        const json::object& members = daemon::get_object(root_, section);
        const auto it = members.find(key);
        if (it == members.end())
        {
            add(section, key, "missing");
            return nullptr;
        }
        return &it->value();
    }

    void add(std::string_view section, std::string_view key, std::string_view reason)
    {
        faults_.push_back(
            {std::string(section) + "." + std::string(key), errc::invalid_settings, reason});
    }

    const json::object& root_;
    std::vector<settings_fault>& faults_;
};

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
    server_settings& s = outcome.settings;
    s.name = router_id(reader.text("router", "name"));
    s.zone = zone_id(reader.text("router", "zone"));
    s.region = region_id(reader.text("router", "region"));
    s.host = reader.text("router", "host");
    s.peer_port = static_cast<std::uint16_t>(reader.number("router", "peer_port", 1, 65535));
    s.cpu_share = reader.number("router", "cpu_share", 0.001, 1024);
    s.callers = reader.address("listen", "callers");
    s.readiness = reader.address("listen", "readiness");
    s.directory = reader.address("listen", "directory");
    s.metrics = reader.address("listen", "metrics");
    s.table_service = reader.address("platform", "table_service");
    s.bounds.max_revocation_delay = reader.time("bounds", "revocation_ms", 2000, 600000);
    s.bounds.repeats.ratio = reader.number("bounds", "repeat_ratio", 0, 10);
    s.bounds.repeats.window = reader.seconds("bounds", "repeat_window_s", 0.1, 600);
    s.bounds.repeats.allowance =
        static_cast<std::uint32_t>(reader.number("bounds", "repeat_allowance", 0, 1e6));
    s.bounds.cold_overshoot = reader.number("bounds", "cold_overshoot", 1, 100);
    s.bounds.cold_slack = reader.number("bounds", "cold_slack", 0, 1e6);
    s.bounds.stop_grace = reader.seconds("bounds", "stop_grace_s", 1, 600);
    s.bounds.address_lifetime = std::min(reader.seconds("bounds", "address_lifetime_s", 0.5, 600),
                                         longest_address_lifetime);
    return outcome;
}

} // namespace endivestage::serving
