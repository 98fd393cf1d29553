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

constexpr std::chrono::milliseconds tick_interval{50};
/// First byte of a datagram with sightings. Packets of the failure detector begin with '{'.
constexpr char sightings_tag = 'S';
constexpr std::size_t sighting_bytes = 16;
/// Keeps a datagram below the usual packet size.
constexpr std::size_t max_sightings_per_datagram = 64;

std::string encode_sightings(std::span<const prefix_sighting> sightings)
{
    std::string datagram(1 + sightings.size() * sighting_bytes, sightings_tag);
    unsigned char* position = reinterpret_cast<unsigned char*>(datagram.data()) + 1;
    for (const prefix_sighting& seen : sightings)
    {
        boost::endian::store_little_u64(position, seen.part);
        boost::endian::store_little_u64(position + 8, seen.engine);
        position += sighting_bytes;
    }
    return datagram;
}

std::vector<prefix_sighting> decode_sightings(std::string_view datagram)
{
    std::vector<prefix_sighting> sightings;
    for (std::size_t n = 1; n + sighting_bytes <= datagram.size(); n += sighting_bytes)
    {
        const unsigned char* position = reinterpret_cast<const unsigned char*>(datagram.data()) + n;
        sightings.push_back({boost::endian::load_little_u64(position),
                             boost::endian::load_little_u64(position + 8)});
    }
    return sightings;
}

unsigned char* bytes_at(std::string& datagram, std::size_t position)
{
    return reinterpret_cast<unsigned char*>(datagram.data()) + position;
}

const unsigned char* bytes_at(std::string_view datagram, std::size_t position)
{
    return reinterpret_cast<const unsigned char*>(datagram.data()) + position;
}

/// First byte of a datagram with reports about parts of prompts.
constexpr char part_reports_tag = 'Q';
constexpr std::size_t part_report_bytes = 21;
constexpr std::size_t max_part_reports_per_datagram = 50;

std::string encode_part_reports(std::span<const part_report> reports)
{
    std::string datagram(1 + reports.size() * part_report_bytes, part_reports_tag);
    std::size_t position = 1;
    for (const part_report& report : reports)
    {
        const std::int64_t max_age = std::numeric_limits<std::uint32_t>::max();
        boost::endian::store_little_u64(bytes_at(datagram, position), report.part);
        boost::endian::store_little_u64(bytes_at(datagram, position + 8), report.event);
        boost::endian::store_little_u32(
            bytes_at(datagram, position + 16),
            static_cast<std::uint32_t>(std::clamp<std::int64_t>(report.age.count, 0, max_age)));
        datagram[position + 20] = static_cast<char>(report.kind);
        position += part_report_bytes;
    }
    return datagram;
}

std::vector<part_report> decode_part_reports(std::string_view datagram)
{
    std::vector<part_report> reports;
    for (std::size_t n = 1; n + part_report_bytes <= datagram.size(); n += part_report_bytes)
    {
        const std::uint8_t kind = static_cast<std::uint8_t>(datagram[n + 20]);
        if (kind > static_cast<std::uint8_t>(part_report::type::trial))
        {
            continue;
        }
        part_report report;
        report.kind = static_cast<part_report::type>(kind);
        report.part = boost::endian::load_little_u64(bytes_at(datagram, n));
        report.event = boost::endian::load_little_u64(bytes_at(datagram, n + 8));
        report.age = millis{boost::endian::load_little_u32(bytes_at(datagram, n + 16))};
        reports.push_back(report);
    }
    return reports;
}

/// A router that is considered dead may still run behind a network partition, so it keeps its share
/// of the fleet's limits for this long.
constexpr millis dead_router_grace_period{15000};

/// Address responses must omit a dead router within about six seconds of its failure. Detection
/// takes about one probe interval, one timeout and the suspicion time.
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
                                   const std::string_view datagram(buf_.data(), ec ? 0 : n);
                                   if (!ec)
                                   {
                                       handle_datagram(datagram);
                                   }
                                   receive();
                               });
}

void peer_service::handle_datagram(std::string_view datagram)
{
    if (datagram.starts_with(sightings_tag))
    {
        handle_sightings(datagram);
        return;
    }
    if (const std::optional<group_sums> sums = decode_sums(datagram))
    {
        if (sums_callback_)
        {
            sums_callback_(*sums);
        }
        return;
    }
    if (datagram.starts_with(part_reports_tag))
    {
        handle_part_reports(datagram);
        return;
    }
    if (handle_rollout_counts(datagram))
    {
        return;
    }
    if (datagram.starts_with(origin_tag))
    {
        if (origins_callback_)
        {
            const daemon::network_address sender{sender_.address().to_string(), sender_.port()};
            origins_callback_(datagram, sender);
        }
        return;
    }
    const result<packet> content = decode_packet(datagram);
    if (content)
    {
        execute(detector_.receive(*content, time_.now()));
    }
}

void peer_service::tick()
{
    execute(detector_.tick(time_.now()));
    timer_.expires_after(tick_interval);
    timer_.async_wait(
        [this](const boost::system::error_code& ec)
        {
            if (!ec)
            {
                tick();
            }
        });
}

void peer_service::execute(const membership_actions& actions)
{
    for (const membership_action& action : actions)
    {
        if (const send_packet* send = std::get_if<send_packet>(&action))
        {
            send_datagram(send->to.host, send->to.udp_port, encode_packet(send->content));
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
            if (change_callback_)
            {
                change_callback_();
            }
        }
        else if (const announcement_received* received =
                     std::get_if<announcement_received>(&action))
        {
            apply_announcement(received->item);
        }
    }
}

void peer_service::send_datagram(const std::string& host, std::uint16_t port,
                                 std::string_view datagram)
{
    boost::system::error_code ec;
    const asio::ip::address ip = asio::ip::make_address(host, ec);
    if (!ec)
    {
        // A datagram that cannot be sent now is dropped, as if the network had lost it.
        socket_.send_to(asio::buffer(datagram), udp::endpoint(ip, port), 0, ec);
        bytes_sent_ += datagram.size();
    }
}

// Each router pushes to ln(n) + 1 peers, which reaches nearly all of them.
std::vector<relay_peer> peer_service::choose_gossip_peers()
{
    std::vector<relay_peer> peers = live_peers();
    const std::size_t fan_out =
        std::min(peers.size(),
                 static_cast<std::size_t>(std::log(static_cast<double>(peers.size() + 1)) + 1));
    for (std::size_t n = 0; n < fan_out; ++n)
    {
        std::swap(peers[n], peers[n + random_.below(peers.size() - n)]);
    }
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(fan_out), peers.end());
    return peers;
}

// A few routers may miss a sighting, which costs them one unnecessary copy.
void peer_service::gossip(std::span<const prefix_sighting> sightings)
{
    const std::vector<relay_peer> peers = choose_gossip_peers();
    for (std::size_t start = 0; start < sightings.size(); start += max_sightings_per_datagram)
    {
        const std::string datagram = encode_sightings(sightings.subspan(start).first(
            std::min(max_sightings_per_datagram, sightings.size() - start)));
        for (const relay_peer& peer : peers)
        {
            send_datagram(peer.address.host, peer.address.port, datagram);
        }
    }
}

// Reports behind a quarantine are repeated, so a router that misses one gets it with the next.
void peer_service::gossip(std::span<const part_report> reports)
{
    const std::vector<relay_peer> peers = choose_gossip_peers();
    for (std::size_t start = 0; start < reports.size(); start += max_part_reports_per_datagram)
    {
        const std::string datagram = encode_part_reports(reports.subspan(start).first(
            std::min(max_part_reports_per_datagram, reports.size() - start)));
        for (const relay_peer& peer : peers)
        {
            send_datagram(peer.address.host, peer.address.port, datagram);
        }
    }
}

void peer_service::handle_part_reports(std::string_view datagram)
{
    for (const part_report& report : decode_part_reports(datagram))
    {
        if (part_report_callback_)
        {
            part_report_callback_(report);
        }
    }
}

void peer_service::handle_sightings(std::string_view datagram)
{
    for (const prefix_sighting& seen : decode_sightings(datagram))
    {
        if (sighting_callback_)
        {
            sighting_callback_(seen);
        }
    }
}

void peer_service::send_sums(const router_id& relay, sum_kind kind,
                             std::span<const engine_requests> sums)
{
    const std::optional<member_update> view = detector_.find(relay);
    if (view)
    {
        send_datagram(view->who.host, view->who.udp_port,
                      encode_sums(kind, hash64(detector_.self().id.view()), sums));
    }
}

void peer_service::send_origins(const daemon::network_address& router, std::string_view datagram)
{
    send_datagram(router.host, router.port, datagram);
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
        known.info.id = id;
        known.info.zone = zone_id(daemon::get_text(*fields, "zone"));
        known.info.host = daemon::get_text(*fields, "host");
        known.info.port = static_cast<std::uint16_t>(daemon::get_unsigned(*fields, "port"));
        known.info.udp_port = known.info.port;
        known.info.incarnation = daemon::get_unsigned(*fields, "incarnation");
        known.weight = daemon::get_real(*fields, "weight", 1.0);
        if (known.info.host.empty() || known.info.port == 0)
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
        hosts.push_back({it->second.info});
    }
    execute(detector_.set_candidates(hosts, time_.now()));
    if (change_callback_)
    {
        change_callback_();
    }
}

void peer_service::leave()
{
    detector_.leave();
}

std::vector<relay_peer> peer_service::live_peers() const
{
    return find_peers(false);
}

std::vector<relay_peer> peer_service::registered_peers() const
{
    return find_peers(true);
}

std::vector<relay_peer> peer_service::find_peers(bool include_unheard) const
{
    std::vector<relay_peer> found;
    for (auto it = routers_.begin(); it != routers_.end(); ++it)
    {
        const std::optional<member_update> view = detector_.find(it->first);
        const bool usable =
            view ? view->state != member_state::dead && !view->who.leaving : include_unheard;
        if (!usable || it->first == detector_.self().id)
        {
            continue;
        }
        const member& info = view ? view->who : it->second.info;
        relay_peer relay;
        relay.candidate.id = it->first;
        relay.candidate.zone = it->second.info.zone;
        relay.candidate.weight = it->second.weight;
        relay.address = {info.host, info.port};
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
        const time_point dead_since = it->second.dead_since;
        if (it->first != detector_.self().id &&
            (dead_since < time_point{0} || now - dead_since < dead_router_grace_period))
        {
            found.push_back(it->first);
        }
    }
    return found;
}

} // namespace endivestage::serving
