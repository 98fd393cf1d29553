/// \file
/// \brief A caller that asks for addresses, keeps connections and checks what it gets.
#pragma once

#include <endivestage/daemon/http_connection.hpp>
#include <soak/fleet.hpp>

#include <memory>
#include <string>
#include <vector>

namespace endivestage::soak
{

/// \brief Sends one request after another until the run ends.
class caller
{
public:
    /// \param number Distinguishes the callers of a run.
    caller(boost::asio::io_context& context, soak_fleet& fleet, std::size_t number);

    daemon::awaitable<void> run(const bool& ending);

private:
    /// \brief What came back for a request.
    struct received
    {
        caller_outcome outcome = caller_outcome::no_answer;
        bool whole = false;
        bool gave_up = false; ///< The caller left in the middle of a stream.
    };

    daemon::awaitable<void> refresh_addresses();
    daemon::awaitable<bool> connect();
    daemon::awaitable<void> send_one();
    daemon::awaitable<received> receive(std::string id, request_kind kind);
    daemon::awaitable<received> receive_events(std::string id);
    soak_router* router_at(const daemon::network_address& address);

    boost::asio::io_context& context_;
    soak_fleet& fleet_;
    std::string name_;
    seeded_random random_;
    std::vector<daemon::network_address> addresses_;
    time_point addresses_until_{-1};
    std::shared_ptr<daemon::http_connection> connection_;
    daemon::network_address connected_to_;
    std::uint64_t sent_ = 0;
};

} // namespace endivestage::soak
