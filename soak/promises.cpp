#include <soak/promises.hpp>

#include <algorithm>
#include <utility>

namespace endivestage::soak
{

std::string_view to_string(caller_outcome outcome)
{
    switch (outcome)
    {
    case caller_outcome::served:
        return "served";
    case caller_outcome::refused:
        return "refused";
    case caller_outcome::failed:
        return "failed";
    case caller_outcome::no_answer:
        return "no_answer";
    case caller_outcome::not_reached:
        break;
    }
    return "not_reached";
}

void promise_checker::report(std::string promise, const std::string& request, std::string detail)
{
    violations_.push_back({std::move(promise), request, std::move(detail)});
}

bool promise_checker::is_undisturbed(time_point now) const
{
    return now - disturbed_at_ >= bounds_.quiet_period;
}

void promise_checker::record_sent(const std::string& request, request_kind kind,
                                  const std::string& key, time_point now)
{
    entry& one = requests_[request];
    one.kind = kind;
    one.key = key;
    one.sent_at = now;
}

void promise_checker::check_left(std::string_view promise,
                                 const std::map<std::string, time_point>& left,
                                 const std::string& name, millis bound, const std::string& request,
                                 time_point now)
{
    const auto it = left.find(name);
    if (it == left.end() || now - it->second <= bound)
    {
        return;
    }
    const bool disturbed = disturbed_at_ + bounds_.quiet_period > it->second;
    if (!disturbed)
    {
        report(std::string(promise), request,
               name + " for " + std::to_string((now - it->second).count) + " ms");
    }
}

void promise_checker::record_execution(const std::string& request, const std::string& engine,
                                       const std::string& zone, time_point now)
{
    const auto it = requests_.find(request);
    if (it == requests_.end())
    {
        report("only_what_was_sent", request, "ran at " + engine + ", sent by no caller");
        return;
    }
    entry& one = it->second;
    ++one.runs;
    const bool once = one.kind == request_kind::once || one.kind == request_kind::stream;
    if (once && one.runs == 2)
    {
        report("at_most_once", request, "ran again at " + engine);
    }
    if (once && one.outcome == caller_outcome::refused)
    {
        report("true_refusal", request, "ran at " + engine + " after the refusal");
    }
    const auto withdrawn = withdrawn_.find(one.key);
    if (withdrawn != withdrawn_.end() &&
        one.sent_at - withdrawn->second > bounds_.max_revocation_delay)
    {
        report("withdrawn_key", request, "ran at " + engine);
    }
    check_left("leaving_engine", leaving_, engine, bounds_.max_leaving_delay, request, now);
    check_left("zone_out_of_service", zones_out_, zone, bounds_.max_zone_out_delay, request, now);
}

void promise_checker::record_outcome(const std::string& request, caller_outcome outcome, bool whole,
                                     bool planned, time_point now)
{
    entry& one = requests_[request];
    one.outcome = outcome;
    const bool once = one.kind == request_kind::once || one.kind == request_kind::stream;
    if (outcome == caller_outcome::served && !whole)
    {
        report("whole_answer", request, "not the bytes that the engine made");
    }
    if (outcome == caller_outcome::refused && once && one.runs > 0)
    {
        report("true_refusal", request, "had run before the refusal");
    }
    if (outcome == caller_outcome::no_answer && planned && one.runs > 0 && is_undisturbed(now))
    {
        report("planned_stop", request, "no answer from a router that was asked to stop");
    }
}

void promise_checker::record_process_exit(const std::string& router, int status)
{
    report("process_runs", router, "status " + std::to_string(status));
}

void promise_checker::record_failed_recovery(const request_counts& last)
{
    report("recovery", "-",
           std::to_string(last.served) + " of " + std::to_string(last.sent) + " served");
}

void promise_checker::record_key_withdrawn(const std::string& key, time_point now)
{
    withdrawn_[key] = now;
}

void promise_checker::record_engine_leaving(const std::string& engine, time_point now)
{
    leaving_.emplace(engine, now);
}

void promise_checker::record_zone_out_of_service(const std::string& zone, time_point now)
{
    zones_out_.emplace(zone, now);
}

promise_checker::request_counts promise_checker::count_requests(time_point from,
                                                                time_point to) const
{
    request_counts sum;
    for (const std::pair<const std::string, entry>& one : requests_)
    {
        if (one.second.sent_at >= from && one.second.sent_at < to && !one.second.given_up &&
            !withdrawn_.contains(one.second.key))
        {
            ++sum.sent;
            sum.served += one.second.outcome == caller_outcome::served ? 1 : 0;
        }
    }
    return sum;
}

std::map<caller_outcome, std::size_t> promise_checker::outcome_counts() const
{
    std::map<caller_outcome, std::size_t> counts;
    for (const std::pair<const std::string, entry>& one : requests_)
    {
        if (one.second.outcome)
        {
            ++counts[*one.second.outcome];
        }
    }
    return counts;
}

} // namespace endivestage::soak
