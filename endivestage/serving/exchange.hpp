/// \file
/// \brief One request of a caller, with all its attempts at endpoints.
#pragma once

#include <endivestage/daemon/http_connection.hpp>
#include <endivestage/daemon/http_server.hpp>
#include <endivestage/serving/event_framer.hpp>
#include <endivestage/serving/router_state.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace endivestage::serving
{

/// \brief Handles one request of a caller: checks it, tries endpoints and sends the response.
class exchange : public std::enable_shared_from_this<exchange>
{
public:
    /// \param state Must outlive the exchange.
    /// \param caller Writer of the caller's response; must outlive the exchange.
    exchange(boost::asio::any_io_executor executor, router_state& state, http_request request,
             caller_request decoded, daemon::response_writer& caller);

    /// \brief Runs the exchange until the response was sent or the caller has disconnected.
    daemon::awaitable<void> run();

    /// \brief Ends the exchange with a failure, or a refusal if no endpoint has received the
    /// request. Has no effect once the response has begun.
    void stop();

private:
    /// \brief A response whose body is read from \ref connection_.
    struct received_response
    {
        http_response head;
        response_info info;
    };

    daemon::awaitable<bool> refuse_quarantined();
    daemon::awaitable<void> try_endpoints();
    const endpoint_state* choose_endpoint();
    std::optional<daemon::network_address> find_copy_source(const endpoint_id& target) const;
    void record_prefixes(const endpoint_id& engine);
    void record_served_prompt();
    void check_for_crash(const endpoint_record& endpoint);
    daemon::awaitable<endpoint_outcome> attempt(endpoint_record endpoint);
    daemon::awaitable<bool> open_connection(endpoint_record endpoint);
    daemon::awaitable<endpoint_outcome> read_response(endpoint_record endpoint, millis max_wait);
    daemon::awaitable<result<received_response>> read_matching_head(millis max_wait);
    daemon::awaitable<result<std::string>> read_response_body(millis timeout);
    daemon::awaitable<endpoint_outcome> forward_body();
    daemon::awaitable<endpoint_outcome> forward_events(time_point first_event_deadline);
    daemon::awaitable<bool> deliver_events(std::string events);
    daemon::awaitable<void> send_error(int status, errc code, execution state,
                                       std::optional<millis> retry_after);
    daemon::awaitable<void> finish_after_failure(next_step step, endpoint_outcome outcome);
    /// \returns Whether an endpoint that was chosen may still get the request.
    bool is_usable(const endpoint_record& endpoint) const;
    void record_endpoint_state(const endpoint_record& endpoint, const response_info& info);
    void record_notices(const endpoint_record& endpoint, const response_info& info);
    void log_placement(const forwarding_info& info) const;
    void log_too_large() const;
    void release_connection(const endpoint_record& endpoint);
    void record_end(std::string_view result, int status) const;
    void end_without_caller();
    millis time_left() const;

    boost::asio::any_io_executor executor_;
    router_state& state_;
    http_request request_; ///< Its body is in \ref body_.
    /// Body for the attempts, with its part of the memory of requests. Null once no other attempt
    /// may follow.
    std::shared_ptr<const std::string> body_;
    caller_request decoded_;
    daemon::response_writer& caller_;
    std::shared_ptr<const route_table> routes_;
    const route* route_ = nullptr;
    service_id service_;
    const service_profile* profile_ = nullptr;
    team_id team_;
    std::uint32_t priority_ = 0;
    time_point deadline_; ///< Earlier of the caller's deadline and the route's timeout.

    std::shared_ptr<daemon::http_connection> connection_;
    bool connection_reused_ = false;
    bool beyond_first_event_ = false; ///< The present attempt has received more than one event.
    bool prompt_served_ = false;      ///< The prompt's parts were recorded as served.
    bool caller_left_ = false;
    bool stopping_ = false;
    attempt_history history_;
    std::vector<endpoint_id> tried_;
    rendezvous_pair rendezvous_pair_;
    /// Time until an endpoint returns, if all endpoints want no requests for a while.
    std::optional<millis> first_return_;
    endpoint_id last_endpoint_;
    received_response response_;
    std::string response_body_;
    buffer_share response_share_; ///< Memory of the answer that is being read.
    event_framer framer_;
};

} // namespace endivestage::serving
