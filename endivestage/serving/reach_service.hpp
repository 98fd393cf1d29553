/// \file
/// \brief Checks whether this router reaches the endpoints, and tells the other routers.
#pragma once

#include <endivestage/serving/peer_service.hpp>
#include <endivestage/serving/router_state.hpp>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <vector>

namespace endivestage::serving
{

/// \brief Opens the connections that \ref endpoint_reach asks for, and carries out what follows
/// from its state. Does nothing while there is no doubt.
class reach_service
{
public:
    /// \param state,peers Must outlive the io_context's run.
    reach_service(boost::asio::io_context& context, router_state& state, peer_service& peers);

    /// \brief Sets a function that is called when the router turns out to be cut off.
    void on_cut_off(std::function<void()> callback) { cut_off_callback_ = std::move(callback); }

    /// \returns Whether callers should use other routers: this one is cut off, or was a moment ago,
    /// and another one is not.
    bool is_isolated() const;

    /// \returns Live routers that do not say that they are cut off.
    std::vector<handover_target> targets() const;

private:
    void begin_checks();
    daemon::awaitable<void> run_checks();
    daemon::awaitable<void> check(endpoint_record endpoint);
    /// \brief Sends a health check on a new connection.
    /// \returns Whether the connection may be used again.
    daemon::awaitable<bool> ask(std::shared_ptr<daemon::http_connection> connection,
                                endpoint_record endpoint);
    std::vector<endpoint_id> find_candidates() const;
    void apply_state();
    void announce(time_point now);

    boost::asio::io_context& context_;
    router_state& state_;
    peer_service& peers_;
    std::function<void()> cut_off_callback_;
    bool running_ = false;
    bool cut_off_ = false;   ///< As of the last \ref apply_state.
    bool announced_ = false; ///< As other routers were told last.
    time_point announced_at_{-1000000};
    time_point cut_off_at_;    ///< When the last cut was noticed.
    time_point cut_off_since_; ///< When it began.
};

} // namespace endivestage::serving
