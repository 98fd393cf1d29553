/// \file
/// \brief A caller that resolves addresses, reuses connections and checks responses.
#pragma once

#include <endivestage/daemon/http_connection.hpp>
#include <soak/fleet.hpp>

#include <memory>
#include <string>
#include <vector>

namespace endivestage::soak
{

/// \brief Sends requests one after another until the run ends.
class caller
{
public:
    /// \param number Identifies the caller within the run.
    caller(boost::asio::io_context& context, soak_fleet& fleet, std::size_t number);

    /// \brief Sends requests until \p stopping becomes true.
    daemon::awaitable<void> run(const bool& stopping);

private:
    /// \brief Outcome of one request.
    struct exchange_result
    {
        caller_outcome outcome = caller_outcome::no_answer;
        bool complete = false;  ///< Whether the response has exactly the expected bytes.
        bool abandoned = false; ///< The caller disconnected in the middle of a stream.
        std::string events;     ///< Whole events of a stream.
    };

    daemon::awaitable<void> refresh_addresses();
    daemon::awaitable<bool> connect();
    daemon::awaitable<void> send_request();
    daemon::awaitable<exchange_result> receive(std::string id, request_kind kind);
    daemon::awaitable<exchange_result> receive_events(std::string id, time_point sent_at);
    /// \brief Takes a stream up that broke off, at any router, and checks the joined events.
    daemon::awaitable<void> take_up(std::string first_attempt, std::string events, std::string key);
    static daemon::http_request make_request(const std::string& id, const std::string& key,
                                             const char* method, const char* target);
    static void add_chat(daemon::http_request& request, const std::string& id);
    static bool is_expected(const std::string& stream, const std::string& events);
    millis choose_pause();
    soak_router* find_router(const daemon::network_address& address);

    boost::asio::io_context& context_;
    soak_fleet& fleet_;
    std::string name_;
    /// Uses each connection until the router closes it, also when the router stops.
    bool keeps_connection_;
    seeded_random random_;
    std::vector<daemon::network_address> addresses_;
    time_point addresses_expire_at_{-1};
    std::shared_ptr<daemon::http_connection> connection_;
    daemon::network_address connected_to_;
    std::uint64_t sent_count_ = 0;
};

} // namespace endivestage::soak
