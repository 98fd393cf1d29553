/// \file
/// \brief Which routers are alive, from probes among them.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/membership.hpp>
#include <endivestage/routing.hpp>
#include <endivestage/serving/replication_service.hpp>

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

/// \brief Runs the failure detector over UDP.
class peer_service
{
public:
    /// \param time Must outlive the io_context's run.
    peer_service(boost::asio::io_context& context, const clock& time, member self, double weight);

    /// \brief Binds the socket and starts to probe.
    std::error_code start();

    /// \brief Takes rows of the routers' table.
    void update(std::span<const replicated_row> rows);

    /// \brief Tells the other routers that this one stops.
    void leave();

    /// \returns Routers that are believed alive and not leaving; without this one.
    std::vector<relay_peer> live_peers() const;

    /// \returns Routers that may be running, this one included.
    std::vector<router_id> possible_routers() const;

    /// \returns This router's row in the routers' table.
    std::string own_row() const;

    /// \returns The incarnation of the run that wrote a row of the routers' table; 0 if unreadable.
    static std::uint64_t parse_incarnation(const replicated_row& row);

    std::uint64_t bytes_sent() const { return bytes_sent_; }

    /// \brief Tells a few routers, drawn at random, which tell others what is news to them.
    void gossip(std::span<const prefix_sighting> news);

    /// \brief Sets what is called for each sighting that another router told.
    void on_sighting(std::function<void(const prefix_sighting&)> callback)
    {
        sighted_ = std::move(callback);
    }

    /// \brief Sends another relay what the followers of this one have open at engines.
    void send_loads(const router_id& relay, std::span<const engine_requests> loads);

    /// \brief Sets what is called for such loads; the first argument is the hash of the sender.
    void on_loads(std::function<void(std::uint64_t, std::span<const engine_requests>)> callback)
    {
        loads_told_ = std::move(callback);
    }

    void on_change(std::function<void()> callback) { changed_ = std::move(callback); }

private:
    struct known_router
    {
        member who;
        double weight = 1.0;
        time_point dead_since{-1}; ///< Negative while it is not believed dead.
    };

    void receive();
    void tick();
    void take_datagram(std::string_view text);
    void take_sightings(std::string_view text);
    void take_loads(std::string_view text);
    void send_text(const std::string& host, std::uint16_t port, std::string_view text);
    void carry_out(const membership_actions& actions);
    void refresh_candidates();

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
    std::function<void()> changed_;
    std::function<void(const prefix_sighting&)> sighted_;
    std::function<void(std::uint64_t, std::span<const engine_requests>)> loads_told_;
    std::uint64_t bytes_sent_ = 0;
};

} // namespace endivestage::serving
