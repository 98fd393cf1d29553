/// \file
/// \brief One request of a caller, with all its attempts at endpoints.
#pragma once

#include <endivestage/daemon/http_connection.hpp>
#include <endivestage/daemon/http_server.hpp>
#include <endivestage/serving/event_framer.hpp>
#include <endivestage/serving/handover_header.hpp>
#include <endivestage/serving/router_state.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
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

    /// \brief Makes this the exchange of a request that another router has handed over. To be
    /// called before \ref run. \param writer The caller of the constructor.
    void take_over(const handover_info& info, handover_writer& writer);

    /// \brief Runs the exchange until the response was sent or the caller has disconnected.
    daemon::awaitable<void> run();

    /// \brief Gives up an attempt on a connection that has been silent since \p since or before, if
    /// the request may go on elsewhere.
    void leave_silent_connection(time_point since);

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

    /// \brief What an attempt tells about the version of its endpoint.
    struct measured_attempt
    {
        std::string version;
        std::optional<time_point> sent_at; ///< Nothing unless the request was sent.
        std::optional<millis> first_event; ///< Or the head of a response that is no stream.
        bool waited_out = false;           ///< No response came within the time allowed for it.
        bool cold = false;
        bool reads_prompt = false; ///< The endpoint was not known to hold the chat's history.
    };

    daemon::awaitable<bool> wait_for_tables();
    std::uint32_t find_priority() const;
    void watch_caller();
    daemon::awaitable<bool> refuse_quarantined();
    /// \brief Waits until the service has room for the request.
    /// \returns False when the exchange has ended without it.
    daemon::awaitable<bool> wait_for_room();
    daemon::awaitable<admission_decision> sleep_until_room(std::uint64_t number, millis max_wait);
    overload_inputs load_inputs() const;
    pending_request describe_pending(const time_estimate& estimate) const;
    /// \returns When a refused caller should return: when the backlog has drained, if it is known.
    millis refusal_delay(millis fallback);
    void cancel_wait();
    daemon::awaitable<void> try_endpoints();
    /// \brief How another router ended the request.
    enum class handover_result
    {
        answered, ///< Its response was delivered.
        refused,  ///< It has not taken the request.
        unreached,
        lost, ///< It may have sent the request to an endpoint.
    };

    /// \returns Whether the request should go to another router instead of this endpoint.
    /// \param chosen Null if no endpoint may get the request.
    bool needs_handover(const endpoint_state* chosen) const;
    /// \brief Ends the exchange with the response of another router, or with a failure.
    /// \returns False if no router takes the request and this one may reach an endpoint.
    daemon::awaitable<bool> hand_over();
    daemon::awaitable<handover_result> hand_over_to(handover_target target);
    daemon::awaitable<bool> connect_to_router(handover_target target);
    daemon::awaitable<handover_result> read_handover_response(router_id router);
    daemon::awaitable<handover_result> forward_handover_response(received_response response);
    daemon::awaitable<void> finish_without_router(bool may_have_run);
    const endpoint_state* choose_endpoint();
    const endpoint_state* choose_among(std::span<const endpoint_state* const> endpoints);
    version_choice choose_versions(std::span<const endpoint_state* const> usable) const;
    /// \brief Finds the version at which a stream that is taken up may go on.
    /// \returns False when the exchange has ended with a refusal.
    daemon::awaitable<bool> find_stream_version();
    daemon::awaitable<std::optional<stream_origin>> find_origin();
    bool is_target(const stream_origin& origin);
    /// \brief Records at which version the stream of the present attempt goes on, before its first
    /// event is delivered.
    /// \returns False if that is another one than before.
    bool record_stream_version();
    std::vector<const endpoint_state*>
    keep_stream_version(std::span<const endpoint_state* const> endpoints) const;
    bool may_run(const endpoint_record& endpoint) const;
    void begin_measuring(const endpoint_record& endpoint);
    void record_version_outcome(const endpoint_record& endpoint, endpoint_outcome outcome);
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
    /// \returns The work of this request for the estimator; refers to this exchange.
    request_work work() const;
    void record_conditions(const endpoint_state& endpoint);
    void record_first_event_time();
    /// \returns How long the present attempt waits for a first event.
    millis first_event_wait(time_budget time);
    void record_missing_first_event(millis waited);
    void record_completion_time();
    void record_unknown_load(std::size_t figures);
    void record_endpoint_state(const endpoint_record& endpoint, const response_info& info);
    void record_notices(const endpoint_record& endpoint, const response_info& info);
    void record_rejection(const endpoint_record& endpoint, const response_info& info);
    void log_placement(const forwarding_info& info, millis max_wait) const;
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
    double relative_work_ = 1.0; ///< Relative to the service's mean request.
    /// Ends the wait for room; null unless the request waits.
    std::shared_ptr<boost::asio::steady_timer> room_timer_;
    time_point deadline_; ///< Earlier of the caller's deadline and the route's timeout.

    std::shared_ptr<daemon::http_connection> connection_;
    bool connection_reused_ = false;
    bool beyond_first_event_ = false; ///< The present attempt has received more than one event.
    bool prompt_served_ = false;      ///< The prompt's parts were recorded as served.
    bool caller_left_ = false;
    bool watches_caller_ = false;
    std::function<void()> leave_start_gate_; ///< Set while the request waits for the tables.
    bool stopping_ = false;
    /// Set if another router has handed the request over, so that it goes no further.
    handover_writer* taken_from_ = nullptr;
    std::uint32_t executions_before_ = 0; ///< Possible executions at that router.
    bool via_router_ = false;             ///< The present response comes from another router.
    bool handover_refused_ = false;       ///< No other router takes the request.
    bool response_lost_ = false;          ///< An endpoint did not answer this request in time.
    bool last_unreachable_ = false;       ///< The last attempt could not connect.
    std::optional<time_point> heard_at_;  ///< When the present attempt last received bytes.
    attempt_history history_;
    attempt_conditions sent_conditions_; ///< Of the present attempt.
    time_point sent_at_;                 ///< When the present attempt was sent.
    time_point first_event_at_;          ///< First event or head of the present attempt.
    /// Estimate for the present attempt; unknown with too few observations.
    time_estimate sent_estimate_;
    bool first_event_seen_ = false; ///< In the present attempt.
    bool has_alternative_ = false;  ///< Another endpoint could be tried after the present one.
    std::vector<endpoint_id> tried_;
    /// The present attempt, if its endpoint is brittle.
    std::optional<counted_send> brittle_send_;
    bool rejected_by_brittle_ = false;
    rendezvous_pair rendezvous_pair_;
    /// Time until an endpoint returns, if all endpoints want no requests for a while.
    std::optional<millis> first_return_;
    endpoint_id last_endpoint_;
    measured_attempt measured_;
    std::uint64_t attempt_version_ = 0; ///< Key of the version of the present attempt's endpoint.
    /// Key of the only version at which the stream may go on. Nothing before the first event, or
    /// if its version is unknown.
    std::optional<std::uint64_t> stream_version_;
    /// Hash of the id under which other attempts know this stream; nothing if it names another one.
    std::optional<std::uint64_t> stream_;
    received_response response_;
    std::string response_body_;
    buffer_share response_share_; ///< Memory of the answer that is being read.
    event_framer framer_;
};

} // namespace endivestage::serving
