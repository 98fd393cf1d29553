/// \file
/// \brief Calls to plain services: repeated when idempotent, run at most once otherwise.
#pragma once

#include <endivestage/admission.hpp>
#include <endivestage/daemon/caller_error.hpp>
#include <endivestage/daemon/configuration_service.hpp>
#include <endivestage/daemon/http_server.hpp>
#include <endivestage/ledger.hpp>

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace endivestage::daemon
{

/// \brief A caller's request to a plain service.
struct service_request
{
    service_id service;
    team_id team;
    request_id request;
    std::string method;
    std::string path;         ///< Path and query behind the service's name, with leading '/'.
    std::string content_type; ///< May be empty.
    std::string body;
    std::string key;        ///< Idempotency-Key; empty when not given.
    bool first_try = false; ///< The caller states that it never submitted the key before.
    time_point deadline;
};

/// \brief What the ledger says about a key.
struct ledger_entry
{
    std::string key; ///< Key of the row.
    ledger_row row;
};

/// \brief Calls plain services for this router's callers.
class service_caller
{
public:
    service_caller(node_context& node, configuration_service& configuration);

    /// \brief Runs the request and answers the caller.
    awaitable<void> answer(service_request request, response_writer& writer);

    /// \brief Reads the row of a key; settles it first when it has expired.
    awaitable<result<ledger_entry>> show(team_id team, std::string key);

    /// \brief Rows of a team, or of all teams when \p team is empty; at most 1000.
    awaitable<result<std::vector<ledger_entry>>> list(team_id team);

    /// \brief An operator states what became of an unknown request.
    /// \returns errc::ok, errc::conflict, errc::not_found or errc::store_unavailable.
    awaitable<errc> settle(team_id team, std::string key, ledger_state verdict);

    /// \returns The present limits of the ledger.
    const ledger_config& limits() const { return limits_; }

private:
    /// Outcome of one call to one endpoint.
    struct call_outcome
    {
        endpoint_outcome what = endpoint_not_reached{};
        std::string content_type;
    };

    awaitable<void> answer_idempotent(service_request request, response_writer& writer);
    awaitable<void> answer_once(service_request request, response_writer& writer);
    awaitable<attempt_actions> perform(request_attempt& attempt, attempt_action action,
                                       const service_request& request, response_writer& writer);
    awaitable<void> reply(const answer_caller& answer, const service_request& request,
                          response_writer& writer);
    awaitable<call_outcome> call(const service_request& request,
                                 const std::set<endpoint_id>& excluded, endpoint_id& used);
    awaitable<call_outcome> send(const service_request& request, const usable_endpoint& target);
    std::optional<usable_endpoint> choose(const service_id& service,
                                          const std::set<endpoint_id>& excluded);
    void finish(const endpoint_id& endpoint);
    bool may_retry(const service_id& service);
    retry_budget& budget(const service_id& service);
    current_time present() const;

    node_context& node_;
    configuration_service& configuration_;
    ledger_config limits_;

    std::mutex mutex_; ///< Guards the members below.
    std::map<endpoint_id, std::uint32_t> outstanding_;
    std::map<service_id, retry_budget> budgets_;
};

} // namespace endivestage::daemon
