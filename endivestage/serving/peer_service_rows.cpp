#include <endivestage/daemon/json_access.hpp>
#include <endivestage/serving/peer_service.hpp>

#include <boost/endian/conversion.hpp>

namespace endivestage::serving
{

namespace json = boost::json;

namespace
{

/// First byte of a datagram with counts of a roll-out. The hash of the sender's id follows.
constexpr char rollout_counts_tag = 'R';
constexpr std::size_t rollout_header_bytes = 9;

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
