/// \file
/// \brief Whether a router reaches the endpoints at all, from the connections that it opens.
#pragma once

#include <endivestage/core.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <vector>

namespace endivestage
{

/// \brief What a router knows of its own way to the endpoints.
enum class reach_state
{
    reached, ///< New connections work, or nothing says otherwise.
    doubted, ///< Several endpoints in a row were lost; other endpoints are being checked.
    cut_off, ///< No endpoint that should work accepts a connection from this router, or answers it.
};

/// \returns The snake_case name of a state.
std::string_view to_string(reach_state state);

/// \brief Limits of \ref endpoint_reach.
struct endpoint_reach_config
{
    /// Distinct endpoints lost in a row that raise a doubt. A single one is more likely down.
    std::size_t doubting_endpoints = 2;
    /// Distinct endpoints that must have been lost in a row before the router counts as cut off, or
    /// all that are known. With half of the endpoints down, one doubt in 64 is wrong.
    std::size_t cut_off_endpoints = 6;
    millis evidence_ttl{2000}; ///< Older losses are no evidence.
    /// Endpoints that accept connections count as lost only if none has answered for this time:
    /// sound ones may pause for a second.
    millis min_silence{1500};
    /// Endpoints that are checked at a time. The first check of a doubt is smaller, since one
    /// endpoint that accepts a connection ends it.
    std::size_t first_checks = 2;
    std::size_t checks = 4;
    /// Interval of checks while cut off, and of doubts that were ended by a check.
    millis check_interval{250};
    millis doubt_interval{1000};
    /// Distinct endpoints in a row that must accept a connection before a cut counts as over.
    std::size_t returning_endpoints = 2;
    /// A cut is announced as over after this time without another one. Doubles with each cut that
    /// follows within calm_period, so that a link that flaps does not move callers each time.
    millis min_stable_period{1000};
    millis max_stable_period{8000};
    millis calm_period{30000};
};

/// \brief Tells a router that is cut off from all endpoints from endpoints that are down.
///
/// Two ways of failing are told apart: new connections fail, while those that were opened before
/// may live on; or connections are accepted, by something on the way, but nothing answers.
/// Endpoints that other routers report as failing must be left out by the caller, both as evidence
/// and as candidates.
///
/// Not thread-safe. The times passed in must not decrease.
class endpoint_reach
{
public:
    explicit endpoint_reach(endpoint_reach_config config = {})
        : config_(config),
          stable_period_(config.min_stable_period)
    {
    }

    /// \brief Records that a new connection to an endpoint works: a response came, or it was
    /// accepted and \ref checks_need_response is false.
    void record_connection(const endpoint_id& endpoint, time_point now);

    /// \brief Records that a new connection to an endpoint could not be established.
    void record_failed_connection(const endpoint_id& endpoint, time_point now);

    /// \brief Records that a new connection was accepted and then lost before its first response.
    void record_reset_connection(const endpoint_id& endpoint, time_point now);

    /// \brief Records a response on any connection.
    void record_response(time_point now);

    /// \brief Records that an endpoint did not respond on an open connection, or broke it. No
    /// evidence if any endpoint has responded since the request was sent.
    void record_lost_response(const endpoint_id& endpoint, time_point sent_at, time_point now);

    /// \brief Chooses endpoints to be checked now. The result of each check must be recorded: a
    /// connection that failed, one that was accepted, or, where \ref checks_need_response, whether
    /// a response came. \ref end_check must follow.
    ///
    /// \param candidates Endpoints that should work, as far as other routers say.
    /// \returns Nothing while there is no doubt.
    std::vector<endpoint_id> choose_checks(std::span<const endpoint_id> candidates,
                                           random_source& random, time_point now);

    /// \brief Ends a check; the next ones are chosen when all have ended.
    void end_check(const endpoint_id& endpoint);

    /// \returns Whether an accepted connection is no evidence, since endpoints that accepted one do
    /// not answer.
    bool checks_need_response(time_point now) const;

    reach_state state(time_point now) const;

    /// \returns When the first connection failed, while cut off.
    std::optional<time_point> cut_off_since() const { return cut_off_since_; }

    /// \returns When an endpoint last accepted a new connection.
    time_point connected_at() const { return connected_at_; }

    /// \returns Whether other routers are told that this one is cut off.
    bool is_announced(time_point now) const;

    /// \returns Cuts since the start.
    std::size_t cuts() const { return cuts_; }

private:
    using losses = std::map<endpoint_id, time_point>;

    void expire(time_point now);
    std::size_t recent(const losses& lost, time_point now) const;
    std::size_t lost_endpoints(time_point now) const;
    /// \brief Adds a loss; begins a cut if enough endpoints were lost.
    void add_loss(losses& lost, const endpoint_id& endpoint, time_point now);
    /// \brief Counts an endpoint that shows that the cut may be over.
    void add_return(const endpoint_id& endpoint, time_point now);

    endpoint_reach_config config_;
    /// Endpoints that failed to accept a connection since the last one that did, and when.
    losses failed_;
    /// Endpoints without a response since the last response of any, and when.
    losses silent_;
    std::set<endpoint_id> returned_; ///< Endpoints that work again since the last loss of a cut.
    std::set<endpoint_id> checking_; ///< Checks that are under way.
    std::optional<time_point> cut_off_since_;
    /// Accepted connections were lost or silent: accepting one proves nothing.
    bool accepted_in_vain_ = false;
    bool cut_needs_response_ = false;       ///< The same, of the present cut.
    time_point responded_at_{-1000000};     ///< When any endpoint last answered.
    std::optional<time_point> returned_at_; ///< End of the last cut, until it is announced.
    time_point connected_at_{-1000000};
    time_point last_cut_at_{-1000000};
    time_point last_check_at_{-1000000};
    time_point doubt_ended_at_{-1000000};
    bool first_check_done_ = false;
    std::size_t known_endpoints_ = 0;
    millis stable_period_;
    std::size_t cuts_ = 0;
};

} // namespace endivestage
