/// \file
/// \brief Failure detection among routers, and datagrams between them.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/membership.hpp>
#include <endivestage/reachability.hpp>
#include <endivestage/routing.hpp>
#include <endivestage/serving/replication_service.hpp>
#include <endivestage/serving/sum_datagram.hpp>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace endivestage::serving
{

/// \brief Runs the failure detector over UDP and sends sightings and loads to other routers.
class peer_service
{
public:
    /// \param time Must outlive the io_context's run.
    /// \param weight Processor share that this router announces in its row.
    peer_service(boost::asio::io_context& context, const clock& time, member self, double weight);

    /// \brief Binds the socket and starts the failure detector.
    /// \returns The error of the socket.
    std::error_code start();

    /// \brief Applies changed rows of the routers' table.
    void update(std::span<const replicated_row> rows);

    /// \brief Announces to the other routers that this one stops.
    void leave();

    /// \returns Other routers that the failure detector does not consider dead and that are not
    /// leaving.
    std::vector<relay_peer> live_peers() const;

    /// \returns Other routers with a row in the routers' table that are not known to be dead or
    /// leaving.
    std::vector<relay_peer> registered_peers() const;

    /// \returns Routers that may be running, this one included.
    std::vector<router_id> possible_routers() const;

    /// \returns This router's row in the routers' table.
    std::string own_row() const;

    /// \returns The incarnation of the run that wrote a row of the routers' table; 0 if unreadable.
    static std::uint64_t parse_incarnation(const replicated_row& row);

    /// \returns Bytes of all datagrams sent since start.
    std::uint64_t bytes_sent() const { return bytes_sent_; }

    /// \brief Sends sightings to a few randomly chosen routers, which forward those that are new to
    /// them.
    void gossip(std::span<const prefix_sighting> sightings);

    /// \brief Sets the callback for each prefix_sighting received from another router.
    void on_sighting(std::function<void(const prefix_sighting&)> callback)
    {
        sighting_callback_ = std::move(callback);
    }

    /// \brief Sends reports about parts of prompts to a few randomly chosen routers, which forward
    /// those that are new to them.
    void gossip(std::span<const part_report> reports);

    /// \brief Sets the callback for each part_report received from another router.
    void on_part_report(std::function<void(const part_report&)> callback)
    {
        part_report_callback_ = std::move(callback);
    }

    /// \brief Sends another relay sums over this relay's followers, by engine.
    void send_sums(const router_id& relay, sum_kind kind, std::span<const engine_requests> sums);

    /// \brief Sets the callback for sums received from another relay.
    void on_sums(std::function<void(const group_sums&)> callback)
    {
        sums_callback_ = std::move(callback);
    }

    /// \brief Sends another relay the counts of this relay's followers during roll-outs.
    void send_rollout_counts(const router_id& relay, std::string_view counts);

    /// \brief Sets the callback for such counts; its first argument is the hash of the sender's id.
    void on_rollout_counts(std::function<void(std::uint64_t, std::string_view)> callback)
    {
        rollout_counts_callback_ = std::move(callback);
    }

    /// \brief Tells the other routers whether this one is cut off from the endpoints; to be
    /// repeated while it is.
    void announce_reach(bool cut_off);

    /// \returns Whether another router says that it is cut off from the endpoints.
    bool is_cut_off(const router_id& router) const;

    /// \brief Tells the other routers that endpoints of a service are brittle.
    /// \param per_second Rejections that an endpoint tolerates in a second.
    void announce_brittle(const service_id& service, std::uint32_t per_second);

    /// \brief Sets the callback for such statements of other routers.
    void on_brittle(std::function<void(const service_id&, std::uint32_t)> callback)
    {
        brittle_callback_ = std::move(callback);
    }

    /// \brief Sends a datagram that begins with \ref origin_tag.
    void send_origins(const daemon::network_address& router, std::string_view datagram);

    /// \brief Sets the callback for such datagrams; its second argument is the sender.
    void on_origins(std::function<void(std::string_view, const daemon::network_address&)> callback)
    {
        origins_callback_ = std::move(callback);
    }

    /// First byte of datagrams about where streams began.
    static constexpr char origin_tag = 'O';

    /// \brief Sets the callback for changes of the set of routers or of their state.
    void on_change(std::function<void()> callback) { change_callback_ = std::move(callback); }

private:
    struct known_router
    {
        member info;
        double weight = 1.0;
        time_point dead_since{-1}; ///< Negative unless the failure detector considers it dead.
    };

    std::vector<relay_peer> find_peers(bool include_unheard) const;
    void receive();
    void tick();
    void handle_datagram(std::string_view datagram);
    void handle_sightings(std::string_view datagram);
    void handle_part_reports(std::string_view datagram);
    /// \returns Whether the datagram holds counts of a roll-out.
    bool handle_rollout_counts(std::string_view datagram);
    std::vector<relay_peer> choose_gossip_peers();
    void send_datagram(const std::string& host, std::uint16_t port, std::string_view datagram);
    void execute(const membership_actions& actions);
    void refresh_candidates();
    void apply_announcement(const announcement& item);
    void apply_reach(const announcement& item);
    void apply_brittle(const announcement& item);

    boost::asio::io_context& context_;
    const clock& time_;
    seeded_random random_;
    double weight_;
    failure_detector detector_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint sender_;
    std::array<char, 16384> buf_{};
    boost::asio::steady_timer timer_;
    std::map<router_id, known_router> routers_;
    fleet_reach fleet_reach_;
    std::uint64_t reach_statements_ = 0; ///< Made by this run.
    std::function<void(const service_id&, std::uint32_t)> brittle_callback_;
    std::function<void()> change_callback_;
    std::function<void(const prefix_sighting&)> sighting_callback_;
    std::function<void(const group_sums&)> sums_callback_;
    std::function<void(const part_report&)> part_report_callback_;
    std::function<void(std::uint64_t, std::string_view)> rollout_counts_callback_;
    std::function<void(std::string_view, const daemon::network_address&)> origins_callback_;
    std::uint64_t bytes_sent_ = 0;
};

} // namespace endivestage::serving
