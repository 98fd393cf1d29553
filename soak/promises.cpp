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
    case caller_outcome::timed_out:
        return "timed_out";
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
    return now - last_disturbance_ >= bounds_.quiet_period;
}

void promise_checker::record_sent(const std::string& request, request_kind kind,
                                  const std::string& key, time_point now)
{
    request_record& record = requests_[request];
    record.kind = kind;
    record.key = key;
    record.sent_at = now;
    record.observer_delay_before = observer_delay_;
}

void promise_checker::check_removed(std::string_view promise,
                                    const std::map<std::string, time_point>& removed,
                                    const std::string& name, millis bound,
                                    const std::string& request, time_point now)
{
    const auto it = removed.find(name);
    if (it == removed.end() || now - it->second <= bound)
    {
        return;
    }
    const bool disturbed = last_disturbance_ + bounds_.quiet_period > it->second;
    if (!disturbed)
    {
        report(std::string(promise), request,
               name + " for " + std::to_string((now - it->second).count) + " ms");
    }
}

void promise_checker::record_health_check(const std::string& engine, time_point now)
{
    if (is_undisturbed(now))
    {
        report("only_what_was_sent", "-", "health check of " + engine + " without a fault");
    }
}

void promise_checker::record_execution(const std::string& request, const std::string& engine,
                                       const std::string& zone, time_point now)
{
    const auto it = requests_.find(request);
    if (it == requests_.end())
    {
        report("only_what_was_sent", request, "ran at " + engine + " but was sent by no caller");
        return;
    }
    request_record& record = it->second;
    ++record.execution_count;
    const bool once = record.kind == request_kind::once || record.kind == request_kind::stream;
    if (once && record.execution_count == 2)
    {
        report("at_most_once", request, "ran again at " + engine);
    }
    if (once && record.outcome == caller_outcome::refused)
    {
        report("true_refusal", request, "ran at " + engine + " after the refusal");
    }
    if (record.closed_in_transit)
    {
        record.closed_in_transit = false;
        report("answer_or_refusal", request, "ran at " + engine + " after its connection ended");
    }
    const auto withdrawn = withdrawn_.find(record.key);
    if (withdrawn != withdrawn_.end() &&
        record.sent_at - withdrawn->second > bounds_.max_revocation_delay)
    {
        report("withdrawn_key", request, "ran at " + engine);
    }
    check_removed("leaving_engine", leaving_, engine, bounds_.max_leaving_delay, request, now);
    check_removed("zone_out_of_service", zones_out_, zone, bounds_.max_zone_out_delay, request,
                  now);
}

void promise_checker::record_outcome(const std::string& request, caller_outcome outcome,
                                     bool complete, bool planned_stop, time_point now)
{
    request_record& record = requests_[request];
    record.outcome = outcome;
    const bool once = record.kind == request_kind::once || record.kind == request_kind::stream;
    if (outcome == caller_outcome::served && !complete)
    {
        report("whole_answer", request, "differs from the bytes that the engine generated");
    }
    if (outcome == caller_outcome::refused && once && record.execution_count > 0)
    {
        report("true_refusal", request, "had run before the refusal");
    }
    if (outcome == caller_outcome::no_answer)
    {
        check_unanswered(request, record, planned_stop, now);
    }
}

void promise_checker::check_unanswered(const std::string& request, request_record& record,
                                       bool planned_stop, time_point now)
{
    if (planned_stop && record.execution_count > 0 && is_undisturbed(now))
    {
        report("planned_stop", request, "no response from a router that was asked to stop");
        return;
    }
    if (last_disturbance_ + bounds_.quiet_period > record.sent_at)
    {
        return;
    }
    const millis waited = now - record.sent_at - (observer_delay_ - record.observer_delay_before);
    if (record.execution_count > 0 || waited > bounds_.loss_slack)
    {
        report("answer_or_refusal", request,
               "no response for " + std::to_string(waited.count) + " ms, ran " +
                   std::to_string(record.execution_count) + " times");
        return;
    }
    record.closed_in_transit = true;
}

void promise_checker::record_process_exit(const std::string& router, int status)
{
    report("process_runs", router, "status " + std::to_string(status));
}

void promise_checker::record_versions(const std::string& request,
                                      const std::set<std::string>& versions)
{
    if (versions.size() > 1)
    {
        report("one_version", request, std::to_string(versions.size()) + " versions");
    }
}

void promise_checker::record_failed_recovery(const request_counts& counts)
{
    report("recovery", "-",
           std::to_string(counts.served) + " of " + std::to_string(counts.sent) + " served");
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
    request_counts counts;
    for (const std::pair<const std::string, request_record>& entry : requests_)
    {
        if (entry.second.sent_at >= from && entry.second.sent_at < to && !entry.second.abandoned &&
            !withdrawn_.contains(entry.second.key))
        {
            ++counts.sent;
            counts.served += entry.second.outcome == caller_outcome::served ? 1 : 0;
        }
    }
    return counts;
}

std::map<caller_outcome, std::size_t> promise_checker::outcome_counts() const
{
    std::map<caller_outcome, std::size_t> counts;
    for (const std::pair<const std::string, request_record>& entry : requests_)
    {
        if (entry.second.outcome)
        {
            ++counts[*entry.second.outcome];
        }
    }
    return counts;
}

} // namespace endivestage::soak
