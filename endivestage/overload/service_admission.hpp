/// \file
/// \brief Decides which requests to a service go on, wait or are refused.
#pragma once

#include <endivestage/overload/served_shares.hpp>
#include <endivestage/overload/waiting_order.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace endivestage
{

/// \brief Tunables of \ref service_admission.
struct overload_config
{
    bool enabled = false;
    /// Open requests up to this multiple of the slots are sent at once. Engines queue a few
    /// requests beyond their slots, which keeps their slots busy.
    double bound_factor = 1.25;
    /// The bound is higher by this part of the slots for the highest ranks and lower by as much for
    /// the lowest. In a large fleet few requests wait at one router, so that ordering them alone
    /// has little effect.
    double rank_band = 0.1;
    /// Longest wait relative to the objective. Waiting costs callers from an eighth of it.
    double wait_share = 0.2;
    std::size_t max_waiting = 256; ///< Requests of one service that wait at one router.
    /// How old the totals are at most when they are current. Room is shared out once in this time.
    millis feedback_delay{250};
    /// Without current totals a router has at most this multiple of its part of the bound open.
    double stale_share = 2.0;
    double min_own_requests = 4.0; ///< A router may have as many open without current totals.
    /// Estimates may be wrong by this factor before a request is refused because of them.
    double estimate_margin = 2.0;
    served_shares_config shares;
};

/// \brief Load of the endpoints of a service that may get requests.
struct service_load
{
    double slots = 0.0;
    double open_requests = 0.0; ///< From all routers, this one included.
    std::size_t routers = 1;    ///< Routers that may be running, this one included.
    /// Whether \ref open_requests is recent. Otherwise it is what this router knows by itself.
    bool current = true;
};

/// \brief What happens to a request now.
enum class admission_step
{
    go_on,  ///< Send it to an endpoint.
    wait,   ///< Hold it until service_admission::release names it or its wait ends.
    refuse, ///< Refuse it with admission_decision::retry_after.
};

/// \returns "go_on", "wait" or "refuse".
std::string_view to_string(admission_step step);

/// \brief The decision about one request.
struct admission_decision
{
    admission_step step = admission_step::go_on;
    std::string_view reason; ///< "room", "no_time", "backlog", "queue_full" or "wait_over".
    millis max_wait{0};      ///< For admission_step::wait.
    millis retry_after{0};   ///< For admission_step::refuse.
};

/// \brief Work accounting and waiting queue of one service at one router.
///
/// The times passed in must not decrease.
class service_admission
{
public:
    /// \param order Must outlive the object.
    service_admission(overload_config config, const waiting_order& order);

    void set_config(const overload_config& config) { config_ = config; }

    /// \brief Replaces the load. Own requests that begin or end later are added to it.
    void update_load(const service_load& load, time_point now);

    /// \brief Converts an estimated time into work relative to the service's mean request, so that
    /// an error that all estimates share has no effect. \param expected_completion 0 when unknown;
    /// such a request counts as a mean one.
    double measure_work(millis expected_completion);

    /// \brief Decides about a new request. One that may go on is counted by begin().
    admission_decision offer(const pending_request& request, time_point now);

    /// \brief Decides about a request whose wait is over, and removes it from the queue.
    admission_decision end_wait(std::uint64_t number, time_point now);

    /// \brief Removes a request that waits no longer. Call it for a released request directly
    /// before \ref begin, and for one whose caller has left or that is refused for another reason.
    void withdraw(std::uint64_t number);

    /// \returns Numbers of waiting requests that go on now; they have left the queue. They count as
    /// open until \ref withdraw, since others must not get their room before they resume.
    std::vector<std::uint64_t> release(time_point now);

    /// \brief Counts a request that is sent to an endpoint; end() must follow.
    void begin(double work);
    void end(double work, time_point now);

    /// \returns The time after which a refused caller should return; nothing when neither load nor
    /// rate are known.
    /// \param spread Hash of the request, by which the returns are spread.
    std::optional<millis> retry_after(std::uint64_t spread, millis time_left, time_point now) const;

    /// \brief What \ref offer would answer, without a change of state.
    admission_decision preview(const pending_request& request, time_point now) const;

    /// \returns Whether requests are to be offered now; otherwise they go on without that.
    bool observe(time_point now);

    /// \returns Whether there is so much work that the sizes of requests matter.
    bool is_busy() const;
    bool is_contended(time_point now) const;
    std::size_t waiting() const { return queue_.size(); }
    const service_load& load() const { return load_; }
    time_point load_updated_at() const { return load_updated_at_; }
    /// \returns Open requests of all routers.
    double open_requests() const;
    /// \returns Open work of all routers, in mean requests.
    double open_work() const;
    double bound() const { return load_.slots * config_.bound_factor; }

private:
    struct ranked_request
    {
        pending_request request;
        double rank = 0.0;
        bool below_floor = false;
    };

    double room(double rank_quantile) const;
    double rank_quantile(const ranked_request& ranked) const;
    ranked_request rank(const pending_request& request, time_point now) const;
    bool may_refuse() const;
    /// \returns Work per ms for which room comes at this router; 0 when unknown.
    double drain_rate(time_point now) const;
    bool may_go_on(const ranked_request& ranked) const;
    millis max_wait(const pending_request& request, time_point now) const;
    std::optional<admission_decision> find_refusal(const ranked_request& ranked,
                                                   time_point now) const;
    admission_decision refuse(const pending_request& request, std::string_view reason,
                              time_point now) const;
    void accrue_credit(time_point now);
    void record_go_on(const pending_request& request, time_point now);

    overload_config config_;
    const waiting_order& order_;
    service_load load_;
    time_point load_updated_at_{-1000000};
    double mean_completion_ = 0.0; ///< Moving average of estimates in ms.
    double own_requests_ = 0.0;
    double own_work_ = 0.0;
    double own_requests_at_update_ = 0.0;
    std::vector<ranked_request> queue_;
    std::map<std::uint64_t, double> released_work_; ///< Of requests that have not resumed yet.
    std::deque<double> recent_ranks_;               ///< Of requests that were offered lately.
    double credit_ = 0.0;                           ///< Requests that may be released now.
    time_point credit_at_;
    time_point full_at_{-1000000}; ///< When there was no room last.
    served_shares shares_;
    decaying_sum released_; ///< Work that went on under contention.
    decaying_sum ended_;    ///< Work of own requests that ended.
};

} // namespace endivestage
