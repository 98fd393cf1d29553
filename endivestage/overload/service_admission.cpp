#include <endivestage/overload/service_admission.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace endivestage
{

namespace
{

/// A service stays contended for this long after it had no room, so that the requests that find
/// room by chance are ordered with the others.
constexpr millis contention_hold{500};
constexpr millis rate_memory{1000};
/// Number of recent ranks that a request is compared with.
constexpr std::size_t max_recent_ranks = 64;
/// Room that a router has not used is left to the other routers.
constexpr double max_credit = 4.0;
/// Wait of a request without an objective, relative to the time that its caller has left.
constexpr std::int64_t no_objective_divisor = 20;
/// Callers that return sooner meet the same backlog.
constexpr millis min_retry_after{50};
/// Returns are spread from this multiple of the drain time on, over the width.
constexpr double min_spread = 0.75;
constexpr double spread_width = 0.75;
constexpr std::uint64_t spread_steps = 1024;
/// With a smaller part of the slots taken nothing is refused.
constexpr double min_taken_slots = 0.6;
/// Rank of a request that is compared with none.
constexpr double middle_quantile = 0.5;
/// Weight of one estimate in the mean of a service.
constexpr double mean_weight = 0.02;
/// Limits of relative work; a wrong estimate of one request must not fill or empty the bound.
constexpr double min_work = 0.25;
constexpr double max_work = 4.0;

} // namespace

std::string_view to_string(admission_step step)
{
    switch (step)
    {
    case admission_step::go_on:
        return "go_on";
    case admission_step::wait:
        return "wait";
    case admission_step::refuse:
        break;
    }
    return "refuse";
}

service_admission::service_admission(overload_config config, const waiting_order& order)
    : config_(config),
      order_(order),
      shares_(config.shares),
      released_(rate_memory),
      ended_(rate_memory)
{
}

void service_admission::update_load(const service_load& load, time_point now)
{
    load_ = load;
    load_updated_at_ = now;
    own_requests_at_update_ = own_requests_;
}

double service_admission::measure_work(millis expected_completion)
{
    if (expected_completion <= millis{0})
    {
        return 1.0;
    }
    const double expected = static_cast<double>(expected_completion.count);
    const double weight = mean_completion_ > 0.0 ? mean_weight : 1.0;
    mean_completion_ += weight * (expected - mean_completion_);
    return std::clamp(expected / mean_completion_, min_work, max_work);
}

double service_admission::open_requests() const
{
    return std::max(0.0, load_.open_requests + own_requests_ - own_requests_at_update_) +
           static_cast<double>(released_work_.size());
}

double service_admission::open_work() const
{
    double work = open_requests() + own_work_ - own_requests_;
    for (const std::pair<const std::uint64_t, double>& released : released_work_)
    {
        work += released.second - 1.0;
    }
    return work;
}

bool service_admission::is_busy() const
{
    return config_.enabled && (!load_.current || open_work() >= load_.slots * min_taken_slots);
}

bool service_admission::observe(time_point now)
{
    if (!config_.enabled)
    {
        return false;
    }
    if (load_.slots > 0.0 && room(middle_quantile) <= 0.0)
    {
        full_at_ = now;
    }
    const bool contended = is_contended(now);
    if (!contended)
    {
        credit_ = 0.0;
        credit_at_ = now;
    }
    return contended;
}

double service_admission::room(double rank_quantile) const
{
    const double shift = config_.rank_band * load_.slots * (2.0 * rank_quantile - 1.0);
    const double by_totals = bound() + shift - open_work();
    if (load_.current)
    {
        return by_totals;
    }
    const double part = (bound() + shift) / static_cast<double>(load_.routers);
    const double own = std::max(config_.min_own_requests, config_.stale_share * part) - own_work_;
    return std::min(by_totals, own);
}

bool service_admission::is_contended(time_point now) const
{
    const bool busy = !load_.current || open_work() >= load_.slots;
    return load_.slots > 0.0 && busy &&
           (room(middle_quantile) <= 0.0 || !queue_.empty() || now - full_at_ < contention_hold);
}

// Without current totals only what endpoints reported tells that they are full. Large requests can
// reach the bound while slots are free, which is a reason to wait but not to refuse.
bool service_admission::may_refuse() const
{
    return load_.slots > 0.0 && open_work() >= load_.slots &&
           open_requests() >= load_.slots * min_taken_slots;
}

service_admission::ranked_request service_admission::rank(const pending_request& request,
                                                          time_point now) const
{
    order_context context;
    context.now = now;
    context.team_excess = shares_.team_excess(request.team, now);
    ranked_request ranked;
    ranked.request = request;
    ranked.rank = order_.rank(request, context);
    ranked.below_floor = shares_.is_below_floor(request, now);
    return ranked;
}

double service_admission::rank_quantile(const ranked_request& ranked) const
{
    if (ranked.below_floor)
    {
        return 1.0;
    }
    if (recent_ranks_.empty())
    {
        return middle_quantile;
    }
    double lower = 0.0;
    for (const double other : recent_ranks_)
    {
        lower += other < ranked.rank ? 1.0 : other == ranked.rank ? middle_quantile : 0.0;
    }
    return lower / static_cast<double>(recent_ranks_.size());
}

bool service_admission::may_go_on(const ranked_request& ranked) const
{
    return credit_ >= 1.0 && room(rank_quantile(ranked)) > 0.0;
}

millis service_admission::max_wait(const pending_request& request, time_point now) const
{
    const millis left = request.deadline - now;
    const millis by_objective{static_cast<std::int64_t>(
        static_cast<double>(request.objective.count) * config_.wait_share)};
    const millis wait = request.objective > millis{0} ? by_objective : left / no_objective_divisor;
    return std::max(millis{0}, std::min(wait, left - request.expected_completion));
}

// Before the first releases of a contention the rate is that at which own requests ended.
double service_admission::drain_rate(time_point now) const
{
    return std::max(released_.read(now), ended_.read(now)) / static_cast<double>(rate_memory.count);
}

std::optional<millis> service_admission::retry_after(std::uint64_t spread, millis time_left,
                                                     time_point now) const
{
    const double rate = drain_rate(now);
    if (load_.slots <= 0.0 || rate <= 0.0 || !is_contended(now))
    {
        return std::nullopt;
    }
    double waiting = 0.0;
    for (const ranked_request& other : queue_)
    {
        waiting += other.request.work;
    }
    const double excess = std::max(0.0, open_work() - load_.slots);
    const double drain = (excess / static_cast<double>(load_.routers) + waiting) / rate;
    const double part =
        static_cast<double>(spread % spread_steps) / static_cast<double>(spread_steps);
    const double staggered =
        std::min(drain, static_cast<double>(time_left.count)) * (min_spread + spread_width * part);
    return std::min(
        std::max(min_retry_after, millis{static_cast<std::int64_t>(std::ceil(staggered))}),
        std::max(millis{0}, time_left / 3));
}

admission_decision service_admission::refuse(const pending_request& request,
                                             std::string_view reason, time_point now) const
{
    admission_decision decision;
    decision.step = admission_step::refuse;
    decision.reason = reason;
    const millis left = std::max(millis{0}, request.deadline - now);
    decision.retry_after = retry_after(hash64(request.route, request.number), left, now)
                               .value_or(std::min(config_.feedback_delay, left / 3));
    return decision;
}

std::optional<admission_decision> service_admission::find_refusal(const ranked_request& ranked,
                                                                  time_point now) const
{
    const pending_request& request = ranked.request;
    if (!may_refuse())
    {
        return std::nullopt;
    }
    const double expected = static_cast<double>(request.expected_completion.count);
    if (expected > static_cast<double>((request.deadline - now).count) * config_.estimate_margin)
    {
        return refuse(request, "no_time", now);
    }
    double ahead = 0.0;
    std::size_t lower = 0;
    for (const ranked_request& other : queue_)
    {
        const bool precedes = std::make_pair(other.below_floor, other.rank) >=
                              std::make_pair(ranked.below_floor, ranked.rank);
        ahead += precedes ? other.request.work : 0.0;
        lower += precedes ? 0 : 1;
    }
    const double rate = drain_rate(now);
    const double limit =
        static_cast<double>(max_wait(request, now).count) * config_.estimate_margin;
    // The first in the queue waits in any case, because room may come at any time.
    if (ahead > 0.0 && rate > 0.0 && ahead > limit * rate)
    {
        return refuse(request, "backlog", now);
    }
    if (queue_.size() >= config_.max_waiting && lower == 0)
    {
        return refuse(request, "queue_full", now);
    }
    return std::nullopt;
}

void service_admission::record_go_on(const pending_request& request, time_point now)
{
    shares_.record_served(request, now);
    released_.add(request.work, now);
}

void service_admission::accrue_credit(time_point now)
{
    const double elapsed = static_cast<double>((now - credit_at_).count) /
                           static_cast<double>(config_.feedback_delay.count);
    credit_at_ = now;
    const double available = std::max(0.0, room(1.0));
    if (!load_.current)
    {
        credit_ = available;
        return;
    }
    const double part = available / static_cast<double>(load_.routers);
    credit_ = std::min(std::max(max_credit, part), credit_ + part * std::min(1.0, elapsed));
}

admission_decision service_admission::preview(const pending_request& request, time_point now) const
{
    admission_decision decision;
    decision.reason = "room";
    if (!config_.enabled || !is_contended(now))
    {
        return decision;
    }
    const ranked_request ranked = rank(request, now);
    if (queue_.empty() && may_go_on(ranked))
    {
        return decision;
    }
    const std::optional<admission_decision> refusal = find_refusal(ranked, now);
    if (refusal)
    {
        return *refusal;
    }
    decision.step = admission_step::wait;
    decision.reason = "full";
    decision.max_wait = max_wait(request, now);
    return decision;
}

admission_decision service_admission::offer(const pending_request& request, time_point now)
{
    if (!observe(now))
    {
        return preview(request, now);
    }
    shares_.record_offered(request, now);
    recent_ranks_.push_back(rank(request, now).rank);
    if (recent_ranks_.size() > max_recent_ranks)
    {
        recent_ranks_.pop_front();
    }
    accrue_credit(now);
    const admission_decision decision = preview(request, now);
    if (decision.step == admission_step::go_on)
    {
        credit_ -= 1.0;
        record_go_on(request, now);
    }
    else if (decision.step == admission_step::wait)
    {
        queue_.push_back(rank(request, now));
    }
    return decision;
}

std::vector<std::uint64_t> service_admission::release(time_point now)
{
    std::vector<std::uint64_t> released;
    if (queue_.empty())
    {
        return released;
    }
    accrue_credit(now);
    for (ranked_request& waiting : queue_)
    {
        waiting = rank(waiting.request, now);
    }
    std::sort(queue_.begin(), queue_.end(),
              [](const ranked_request& a, const ranked_request& b)
              {
                  return std::make_tuple(!a.below_floor, -a.rank, a.request.number) <
                         std::make_tuple(!b.below_floor, -b.rank, b.request.number);
              });
    const bool unbounded = load_.slots <= 0.0 || !config_.enabled;
    std::vector<ranked_request>::iterator it = queue_.begin();
    for (; it != queue_.end(); ++it)
    {
        const bool fits = credit_ >= 1.0 && room(rank_quantile(*it)) > 0.0;
        const bool relieved = load_.current && open_work() < load_.slots;
        if (!fits && !relieved && !unbounded)
        {
            break;
        }
        credit_ = std::max(0.0, credit_ - 1.0);
        released_work_[it->request.number] = it->request.work;
        record_go_on(it->request, now);
        released.push_back(it->request.number);
    }
    queue_.erase(queue_.begin(), it);
    return released;
}

admission_decision service_admission::end_wait(std::uint64_t number, time_point now)
{
    const std::vector<ranked_request>::iterator it =
        std::find_if(queue_.begin(), queue_.end(),
                     [&](const ranked_request& other) { return other.request.number == number; });
    admission_decision decision;
    decision.reason = "room";
    if (it == queue_.end())
    {
        return decision;
    }
    const ranked_request ended = rank(it->request, now);
    queue_.erase(it);
    if (may_refuse() && room(rank_quantile(ended)) <= 0.0)
    {
        return refuse(ended.request, "wait_over", now);
    }
    record_go_on(ended.request, now);
    return decision;
}

void service_admission::withdraw(std::uint64_t number)
{
    released_work_.erase(number);
    std::erase_if(queue_,
                  [&](const ranked_request& other) { return other.request.number == number; });
}

void service_admission::begin(double work)
{
    own_requests_ += 1.0;
    own_work_ += work;
}

void service_admission::end(double work, time_point now)
{
    own_requests_ -= 1.0;
    own_work_ -= work;
    ended_.add(work, now);
    if (load_.current && is_contended(now) && room(1.0) > 0.0)
    {
        credit_ = std::min(max_credit, credit_ + 1.0);
    }
}

} // namespace endivestage
