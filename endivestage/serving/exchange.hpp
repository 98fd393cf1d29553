/// \file
/// \brief One request of a caller, over all its attempts.
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

/// \brief A request that passed the checks and is on its way.
class exchange : public std::enable_shared_from_this<exchange>
{
public:
    /// \param state Must outlive the exchange, as must the caller's writer.
    exchange(boost::asio::any_io_executor executor, router_state& state, http_request request,
             caller_request decoded, daemon::response_writer& caller);

    /// \brief Checks the request, tries endpoints and answers the caller.
    daemon::awaitable<void> run();

private:
    /// \brief An answer being read on \ref connection_.
    struct incoming
    {
        http_response head;
        response_info meaning;
    };

    daemon::awaitable<void> try_endpoints();
    const endpoint_state* choose_endpoint();
    std::optional<daemon::network_address> find_copy_source(const endpoint_id& target) const;
    void note_history(const endpoint_id& engine);
    daemon::awaitable<endpoint_outcome> attempt(endpoint_record to);
    daemon::awaitable<bool> open_connection(endpoint_record to);
    daemon::awaitable<endpoint_outcome> read_answer(endpoint_record from, millis wait);
    daemon::awaitable<result<incoming>> read_own_head(millis wait);
    daemon::awaitable<endpoint_outcome> pass_body();
    daemon::awaitable<endpoint_outcome> pass_events(millis first_wait);
    daemon::awaitable<bool> deliver_events(std::string events);
    daemon::awaitable<void> fail(int status, errc code, execution state,
                                 std::optional<millis> retry_after);
    daemon::awaitable<void> finish_undelivered(next_step step, endpoint_outcome outcome);
    void note_head(const endpoint_id& endpoint, const response_info& meaning);
    void log_placed(const forwarding_info& info) const;
    void keep_connection(const endpoint_id& endpoint);
    void log_end(std::string_view result, int status) const;
    millis time_left() const;

    boost::asio::any_io_executor executor_;
    router_state& state_;
    http_request request_;
    caller_request decoded_;
    daemon::response_writer& caller_;
    std::shared_ptr<const route_table> routes_;
    const route* route_ = nullptr;
    service_id service_;
    const service_profile* profile_ = nullptr;
    team_id team_;
    std::uint32_t priority_ = 0;
    time_point end_; ///< Earlier of the caller's deadline and the route's timeout.

    std::shared_ptr<daemon::http_connection> connection_;
    bool reused_ = false;
    bool caller_left_ = false;
    attempt_history history_;
    std::vector<endpoint_id> tried_;
    rendezvous_pair homes_;
    endpoint_id last_endpoint_;
    incoming answer_;
    std::string body_;
    event_framer framer_;
};

} // namespace endivestage::serving
