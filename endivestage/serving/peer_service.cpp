#include <endivestage/serving/peer_service.hpp>

#include <endivestage/daemon/json_access.hpp>
#include <endivestage/daemon/logging.hpp>

#include <algorithm>
#include <boost/endian/conversion.hpp>
#include <chrono>
#include <cmath>
#include <limits>
#include <utility>

namespace endivestage::serving
{

namespace asio = boost::asio;
namespace json = boost::json;
using udp = asio::ip::udp;
using daemon::log_event;
using daemon::log_level;

namespace
{

constexpr std::chrono::milliseconds tick_period{50};
/// First byte of a datagram with sightings; packets of the failure detector begin with '{'.
constexpr char sightings_tag = 'S';
constexpr std::size_t sighting_bytes = 16;
/// A datagram stays below the usual packet size.
constexpr std::size_t sightings_per_datagram = 64;

std::string encode_sightings(std::span<const prefix_sighting> news)
{
    std::string text(1 + news.size() * sighting_bytes, sightings_tag);
    unsigned char* position = reinterpret_cast<unsigned char*>(text.data()) + 1;
    for (const prefix_sighting& seen : news)
    {
        boost::endian::store_little_u64(position, seen.part);
        boost::endian::store_little_u64(position + 8, seen.engine);
        position += sighting_bytes;
    }
    return text;
}

std::vector<prefix_sighting> decode_sightings(std::string_view text)
{
    std::vector<prefix_sighting> news;
    for (std::size_t n = 1; n + sighting_bytes <= text.size(); n += sighting_bytes)
    {
        const unsigned char* position = reinterpret_cast<const unsigned char*>(text.data()) + n;
        news.push_back({boost::endian::load_little_u64(position),
                        boost::endian::load_little_u64(position + 8)});
    }
    return news;
}

/// First byte of a datagram with loads, then the hash of the sender, then the loads.
constexpr char loads_tag = 'L';
constexpr std::size_t loads_head_bytes = 9;
constexpr std::size_t load_bytes = 10;
/// A report replaces the former one, so it must fit into one datagram. The 32 followers of a relay
/// have fewer engines in use at a time; what is above is not told.
constexpr std::size_t loads_per_datagram = 1000;

unsigned char* bytes_at(std::string& text, std::size_t position)
{
    return reinterpret_cast<unsigned char*>(text.data()) + position;
}

const unsigned char* bytes_at(std::string_view text, std::size_t position)
{
    return reinterpret_cast<const unsigned char*>(text.data()) + position;
}

std::string encode_group_loads(std::uint64_t sender, std::span<const engine_requests> loads)
{
    std::string text(loads_head_bytes + loads.size() * load_bytes, loads_tag);
    boost::endian::store_little_u64(bytes_at(text, 1), sender);
    std::size_t position = loads_head_bytes;
    for (const engine_requests& part : loads)
    {
        boost::endian::store_little_u64(bytes_at(text, position), part.engine);
        const std::uint32_t most = std::numeric_limits<std::uint16_t>::max();
        boost::endian::store_little_u16(bytes_at(text, position + 8),
                                        static_cast<std::uint16_t>(std::min(part.requests, most)));
        position += load_bytes;
    }
    return text;
}

/// A dead router may still run behind a cut: it keeps its part of shared limits for this long.
constexpr millis dead_keeps_share{15000};

/// A dead router must leave address answers within about six seconds of its end; detection takes
/// about one period, a timeout and the suspicion.
swim_config detector_config()
{
    swim_config config;
    config.probe_interval = millis{400};
    config.probe_timeout = millis{150};
    config.suspicion_intervals = 1.0;
    config.initial_hold_down = millis{0};
    return config;
}

} // namespace

peer_service::peer_service(asio::io_context& context, const clock& time, member self, double weight)
    : context_(context),
      time_(time),
      random_(hash64(self.id.view(), self.incarnation)),
      weight_(weight),
      detector_(detector_config(), std::move(self), random_),
      socket_(context),
      timer_(context)
{
}

std::error_code peer_service::start()
{
    boost::system::error_code ec;
    const asio::ip::address ip = asio::ip::make_address(detector_.self().host, ec);
    if (!ec)
    {
        socket_.open(ip.is_v6() ? udp::v6() : udp::v4(), ec);
    }
    if (!ec)
    {
        socket_.bind(udp::endpoint(ip, detector_.self().udp_port), ec);
    }
    if (ec)
    {
        return {ec.value(), std::system_category()};
    }
    socket_.non_blocking(true, ec);
    receive();
    tick();
    return {};
}

void peer_service::receive()
{
    socket_.async_receive_from(asio::buffer(buf_), sender_,
                               [this](const boost::system::error_code& ec, std::size_t n)
                               {
                                   if (ec == asio::error::operation_aborted)
                                   {
                                       return;
                                   }
                                   const std::string_view text(buf_.data(), ec ? 0 : n);
                                   if (!ec)
                                   {
                                       take_datagram(text);
                                   }
                                   receive();
                               });
}

void peer_service::take_datagram(std::string_view text)
{
    if (text.starts_with(sightings_tag))
    {
        take_sightings(text);
        return;
    }
    if (text.starts_with(loads_tag))
    {
        take_loads(text);
        return;
    }
    const result<packet> content = decode_packet(text);
    if (content)
    {
        carry_out(detector_.receive(*content, time_.now()));
    }
}

void peer_service::tick()
{
    carry_out(detector_.tick(time_.now()));
    timer_.expires_after(tick_period);
    timer_.async_wait(
        [this](const boost::system::error_code& ec)
        {
            if (!ec)
            {
                tick();
            }
        });
}

void peer_service::carry_out(const membership_actions& actions)
{
    for (const membership_action& action : actions)
    {
        if (const send_packet* send = std::get_if<send_packet>(&action))
        {
            send_text(send->to.host, send->to.udp_port, encode_packet(send->content));
        }
        else if (const member_changed* changed = std::get_if<member_changed>(&action))
        {
            const auto it = routers_.find(changed->router.id);
            if (it != routers_.end())
            {
                it->second.dead_since =
                    changed->state == member_state::dead ? time_.now() : time_point{-1};
            }
            log_event(log_level::info, "router_state",
                      {{"router", changed->router.id},
                       {"state", to_string(changed->state)},
                       {"leaving", changed->router.leaving}});
            if (changed_)
            {
                changed_();
            }
        }
    }
}

void peer_service::send_text(const std::string& host, std::uint16_t port, std::string_view text)
{
    boost::system::error_code ec;
    const asio::ip::address ip = asio::ip::make_address(host, ec);
    if (!ec)
    {
        // A datagram that cannot be sent now is lost like any other.
        socket_.send_to(asio::buffer(text), udp::endpoint(ip, port), 0, ec);
        bytes_sent_ += text.size();
    }
}

void peer_service::gossip(std::span<const prefix_sighting> news)
{
    std::vector<relay_peer> peers = live_peers();
    // Push to ln(n) + 1 peers each: few routers stay out, and these copy once more than needed.
    const std::size_t fan_out =
        std::min(peers.size(),
                 static_cast<std::size_t>(std::log(static_cast<double>(peers.size() + 1)) + 1));
    for (std::size_t n = 0; n < fan_out; ++n)
    {
        std::swap(peers[n], peers[n + random_.below(peers.size() - n)]);
    }
    for (std::size_t start = 0; start < news.size(); start += sightings_per_datagram)
    {
        const std::string text = encode_sightings(
            news.subspan(start).first(std::min(sightings_per_datagram, news.size() - start)));
        for (std::size_t n = 0; n < fan_out; ++n)
        {
            send_text(peers[n].address.host, peers[n].address.port, text);
        }
    }
}

void peer_service::take_sightings(std::string_view text)
{
    for (const prefix_sighting& seen : decode_sightings(text))
    {
        if (sighted_)
        {
            sighted_(seen);
        }
    }
}

void peer_service::send_loads(const router_id& relay, std::span<const engine_requests> loads)
{
    const std::optional<member_update> belief = detector_.find(relay);
    if (belief)
    {
        send_text(belief->who.host, belief->who.udp_port,
                  encode_group_loads(hash64(detector_.self().id.view()),
                                     loads.first(std::min(loads.size(), loads_per_datagram))));
    }
}

void peer_service::take_loads(std::string_view text)
{
    if (text.size() < loads_head_bytes || !loads_told_)
    {
        return;
    }
    std::vector<engine_requests> loads;
    for (std::size_t n = loads_head_bytes; n + load_bytes <= text.size(); n += load_bytes)
    {
        loads.push_back({boost::endian::load_little_u64(bytes_at(text, n)),
                         boost::endian::load_little_u16(bytes_at(text, n + 8))});
    }
    loads_told_(boost::endian::load_little_u64(bytes_at(text, 1)), loads);
}

void peer_service::update(std::span<const replicated_row> rows)
{
    for (const replicated_row& row : rows)
    {
        const router_id id(row.key);
        if (row.deleted)
        {
            routers_.erase(id);
            continue;
        }
        const result<json::object> fields = daemon::parse_json_object(row.data);
        if (!fields)
        {
            log_event(log_level::warning, "row_unreadable",
                      {{"table", "routers"}, {"key", row.key}});
            continue;
        }
        known_router known;
        known.who.id = id;
        known.who.zone = zone_id(daemon::get_text(*fields, "zone"));
        known.who.host = daemon::get_text(*fields, "host");
        known.who.port = static_cast<std::uint16_t>(daemon::get_unsigned(*fields, "port"));
        known.who.udp_port = known.who.port;
        known.who.incarnation = daemon::get_unsigned(*fields, "incarnation");
        known.weight = daemon::get_real(*fields, "weight", 1.0);
        if (known.who.host.empty() || known.who.port == 0)
        {
            log_event(log_level::warning, "row_unreadable",
                      {{"table", "routers"}, {"key", row.key}});
            continue;
        }
        routers_[id] = std::move(known);
    }
    refresh_candidates();
}

void peer_service::refresh_candidates()
{
    std::vector<host_candidate> hosts;
    hosts.reserve(routers_.size());
    for (auto it = routers_.begin(); it != routers_.end(); ++it)
    {
        hosts.push_back({it->second.who});
    }
    carry_out(detector_.set_candidates(hosts, time_.now()));
    if (changed_)
    {
        changed_();
    }
}

void peer_service::leave()
{
    detector_.leave();
}

std::vector<relay_peer> peer_service::live_peers() const
{
    std::vector<relay_peer> found;
    for (auto it = routers_.begin(); it != routers_.end(); ++it)
    {
        const std::optional<member_update> belief = detector_.find(it->first);
        if (!belief || belief->state == member_state::dead || belief->who.leaving ||
            it->first == detector_.self().id)
        {
            continue;
        }
        relay_peer relay;
        relay.candidate.id = it->first;
        relay.candidate.zone = it->second.who.zone;
        relay.candidate.weight = it->second.weight;
        relay.address = {belief->who.host, belief->who.port};
        found.push_back(std::move(relay));
    }
    return found;
}

std::vector<router_id> peer_service::possible_routers() const
{
    std::vector<router_id> found{detector_.self().id};
    const time_point now = time_.now();
    for (auto it = routers_.begin(); it != routers_.end(); ++it)
    {
        const time_point dead = it->second.dead_since;
        if (it->first != detector_.self().id &&
            (dead < time_point{0} || now - dead < dead_keeps_share))
        {
            found.push_back(it->first);
        }
    }
    return found;
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
