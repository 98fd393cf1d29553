#include <endivestage/daemon/json_access.hpp>
#include <endivestage/daemon/logging.hpp>
#include <endivestage/serving/peer_service.hpp>

#include <boost/endian/conversion.hpp>

namespace endivestage::serving
{

namespace json = boost::json;
using daemon::log_event;
using daemon::log_level;

namespace
{

/// First byte of a datagram with counts of a roll-out. The hash of the sender's id follows.
constexpr char rollout_counts_tag = 'R';
constexpr std::size_t rollout_header_bytes = 9;
/// Prefix of the key of announcements whether a router is cut off; its id follows.
constexpr std::string_view reach_key = "reach/";
/// Prefix of the key of announcements that a service is brittle; its name follows.
constexpr std::string_view brittle_key = "brittle/";

} // namespace

void peer_service::send_rollout_counts(const router_id& relay, std::string_view counts)
{
    const std::optional<member_update> view = detector_.find(relay);
    if (view)
    {
        std::string datagram(rollout_header_bytes, rollout_counts_tag);
        boost::endian::store_little_u64(reinterpret_cast<unsigned char*>(datagram.data()) + 1,
                                        hash64(detector_.self().id.view()));
        datagram += counts;
        send_datagram(view->who.host, view->who.udp_port, datagram);
    }
}

bool peer_service::handle_rollout_counts(std::string_view datagram)
{
    if (!datagram.starts_with(rollout_counts_tag))
    {
        return false;
    }
    if (datagram.size() > rollout_header_bytes && rollout_counts_callback_)
    {
        rollout_counts_callback_(boost::endian::load_little_u64(
                                     reinterpret_cast<const unsigned char*>(datagram.data()) + 1),
                                 datagram.substr(rollout_header_bytes));
    }
    return true;
}

void peer_service::announce_reach(bool cut_off)
{
    const member& self = detector_.self();
    announcement item;
    item.key = std::string(reach_key) + self.id.str();
    item.value = encode_reach({self.incarnation, cut_off});
    // Incarnations are start times in ms, so the next run's versions are higher.
    item.version = self.incarnation + ++reach_statements_;
    detector_.announce(std::move(item));
}

bool peer_service::is_cut_off(const router_id& router) const
{
    if (!fleet_reach_.has_statement(router))
    {
        return false;
    }
    const std::optional<member_update> view = detector_.find(router);
    return view && fleet_reach_.is_cut_off(router, view->who.incarnation, time_.now());
}

void peer_service::announce_brittle(const service_id& service, std::uint32_t per_second)
{
    announcement item;
    item.key = std::string(brittle_key) + service.str();
    item.value = encode_rejection_limit(per_second);
    const std::optional<announcement> latest = detector_.find_announcement(item.key);
    item.version = latest ? latest->version + 1 : 1;
    detector_.announce(std::move(item));
}

void peer_service::apply_announcement(const announcement& item)
{
    if (item.key.starts_with(reach_key))
    {
        apply_reach(item);
    }
    else if (item.key.starts_with(brittle_key))
    {
        apply_brittle(item);
    }
}

void peer_service::apply_brittle(const announcement& item)
{
    const std::optional<std::uint32_t> per_second = decode_rejection_limit(item.value);
    if (!per_second)
    {
        log_event(log_level::warning, "brittle_unreadable", {{"key", item.key}});
        return;
    }
    if (brittle_callback_)
    {
        brittle_callback_(service_id(item.key.substr(brittle_key.size())), *per_second);
    }
}

void peer_service::apply_reach(const announcement& item)
{
    const std::optional<reach_statement> statement = decode_reach(item.value);
    if (!statement)
    {
        log_event(log_level::warning, "reach_unreadable", {{"key", item.key}});
        return;
    }
    const router_id router(item.key.substr(reach_key.size()));
    if (router != detector_.self().id && fleet_reach_.record(router, *statement, time_.now()))
    {
        log_event(log_level::info, "router_reach",
                  {{"router", router}, {"cut_off", statement->cut_off}});
    }
}

std::uint64_t peer_service::parse_incarnation(const replicated_row& row)
{
    const result<json::object> fields = daemon::parse_json_object(row.data);
    return fields ? daemon::get_unsigned(*fields, "incarnation") : 0;
}

std::string peer_service::own_row() const
{
    const member& self = detector_.self();
    json::object row;
    row["zone"] = self.zone.str();
    row["host"] = self.host;
    row["port"] = self.port;
    row["incarnation"] = self.incarnation;
    row["weight"] = weight_;
    return json::serialize(row);
}

} // namespace endivestage::serving
