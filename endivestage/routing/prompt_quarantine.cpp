#include <endivestage/routing/prompt_quarantine.hpp>
#include <endivestage/routing/staggering.hpp>

#include <algorithm>
#include <cassert>
#include <string_view>

namespace endivestage
{

namespace
{

/// Older reports have reached all routers or come with reminders. Routers that have forgotten a
/// part would pass its reports to each other for longer.
constexpr millis max_forwarded_age{3000};

/// Longer prompts would displace the parts of others and take long to compare.
constexpr std::size_t max_parts_per_prompt = 256;

std::span<const prompt_part> limit_parts(std::span<const prompt_part> parts)
{
    return parts.first(std::min(parts.size(), max_parts_per_prompt));
}

} // namespace

void prompt_quarantine::served_parts::add(std::uint64_t part, time_point at)
{
    recent_[part] = std::max(at, find(part).value_or(at));
    if (recent_.size() * 2 > capacity_)
    {
        older_.swap(recent_);
        recent_.clear();
    }
}

std::optional<time_point> prompt_quarantine::served_parts::find(std::uint64_t part) const
{
    for (const std::unordered_map<std::uint64_t, time_point>* parts : {&recent_, &older_})
    {
        const auto it = parts->find(part);
        if (it != parts->end())
        {
            return it->second;
        }
    }
    return std::nullopt;
}

std::size_t prompt_quarantine::count_crashes(const entry& part) const
{
    return static_cast<std::size_t>(
        std::count_if(part.crashes.begin(), part.crashes.end(),
                      [&](const std::pair<const std::uint64_t, time_point>& crash)
                      { return crash.second > part.served_at; }));
}

std::size_t prompt_quarantine::min_crashes(const entry& part) const
{
    return part.proven ? config_.min_crashes_if_proven : config_.min_crashes;
}

// Crashes before the end of a quarantine do not make it longer than one period after the last one:
// they come from requests that were on their way. A later crash is a trial that failed. The result
// does not depend on the order in which a router learns of the crashes.
time_point prompt_quarantine::find_end(const entry& part) const
{
    std::vector<time_point> times;
    for (auto it = part.crashes.begin(); it != part.crashes.end(); ++it)
    {
        if (it->second > part.served_at)
        {
            times.push_back(it->second);
        }
    }
    std::sort(times.begin(), times.end());
    millis duration = part.proven ? config_.min_duration_if_proven : config_.min_duration;
    time_point end{-1};
    for (std::size_t n = min_crashes(part) - 1; n < times.size(); ++n)
    {
        if (end >= time_point{0} && times[n] >= end)
        {
            duration = std::min(config_.max_duration, duration * 2);
        }
        end = std::max(end, times[n] + duration);
    }
    return end;
}

millis prompt_quarantine::trial_duration(const entry& part) const
{
    return part.proven ? config_.trial_step_if_proven : config_.trial_duration;
}

millis prompt_quarantine::trial_step(const entry& part) const
{
    return part.proven ? config_.trial_step_if_proven : config_.trial_step;
}

bool prompt_quarantine::has_settled(const entry& part, time_point now) const
{
    return part.reached_at && now - *part.reached_at >= config_.settling_time;
}

// A request without a suspect shows whether the others that occur in the same crashes are sound, so
// suspects outside the request explain crashes of its parts. Those inside it explain only crashes
// of parts that were served before.
bool prompt_quarantine::blocks(const entry& part, std::span<const prompt_part> request,
                               time_point now) const
{
    if (!has_settled(part, now))
    {
        return false;
    }
    std::vector<const entry*> suspects;
    for (auto it = entries_.begin(); it != entries_.end(); ++it)
    {
        const bool in_request =
            std::any_of(request.begin(), request.end(),
                        [&](const prompt_part& p) { return p.hash == it->first; });
        if (!it->second.proven && has_settled(it->second, now) && (part.proven || !in_request))
        {
            suspects.push_back(&it->second);
        }
    }
    const std::size_t unexplained = static_cast<std::size_t>(
        std::count_if(part.crashes.begin(), part.crashes.end(),
                      [&](const std::pair<const std::uint64_t, time_point>& crash)
                      {
                          return crash.second > part.served_at &&
                                 std::none_of(suspects.begin(), suspects.end(),
                                              [&](const entry* suspect)
                                              { return suspect->crashes.contains(crash.first); });
                      }));
    return unexplained >= min_crashes(part);
}

void prompt_quarantine::update_reached(entry& part, time_point now)
{
    if (count_crashes(part) < min_crashes(part))
    {
        part.reached_at.reset();
        part.ends_at = time_point{-1};
        return;
    }
    part.reached_at = part.reached_at.value_or(now);
    part.ends_at = std::max(part.ends_at, find_end(part));
}

bool prompt_quarantine::add_crash(const part_report& report, time_point now)
{
    if (report.age > config_.max_report_age)
    {
        return false;
    }
    entry& part = entries_[report.part];
    if (part.crashes.contains(report.event))
    {
        return false;
    }
    const time_point crashed_at = now - report.age;
    if (part.crashes.size() >= max_crashes)
    {
        const auto oldest = std::min_element(part.crashes.begin(), part.crashes.end(),
                                             [](const std::pair<const std::uint64_t, time_point>& a,
                                                const std::pair<const std::uint64_t, time_point>& b)
                                             { return a.second < b.second; });
        // Reports of forgotten crashes still arrive. Routers that took them for new ones would pass
        // them to each other without end.
        if (crashed_at <= oldest->second + config_.age_tolerance)
        {
            return false;
        }
        part.crashes.erase(oldest);
    }
    const std::optional<time_point> served_at = served_.find(report.part);
    part.crashes.emplace(report.event, crashed_at);
    part.updated_at = now;
    part.proven = part.proven || served_at.has_value();
    part.served_at = std::max(part.served_at, served_at.value_or(part.served_at));
    update_reached(part, now);
    evict_oldest();
    return true;
}

bool prompt_quarantine::add_trial(entry& part, std::uint64_t trial, time_point until,
                                  time_point now)
{
    std::erase_if(part.trials, [&](const std::pair<const std::uint64_t, time_point>& known)
                  { return known.second <= now; });
    if (part.trials.size() >= max_trials || !part.trials.emplace(trial, until).second)
    {
        return false;
    }
    part.trial_until = std::max(part.trial_until, until);
    return true;
}

bool prompt_quarantine::add_served(const part_report& report, time_point now)
{
    const time_point served_at = now - report.age;
    served_.add(report.part, served_at);
    const auto it = entries_.find(report.part);
    if (it == entries_.end())
    {
        return false;
    }
    entry& part = it->second;
    const bool clears = count_crashes(part) > 0 && served_at > part.served_at;
    const bool is_new = clears || !part.proven;
    if (!part.proven)
    {
        part.ends_at = time_point{-1};
    }
    part.proven = true;
    part.served_at = std::max(part.served_at, served_at);
    part.updated_at = now;
    update_reached(part, now);
    return is_new;
}

void prompt_quarantine::evict_oldest()
{
    if (entries_.size() <= config_.max_parts)
    {
        return;
    }
    // A quarantined part gets no new reports, so it is kept longer than those that are not.
    const auto oldest = std::min_element(
        entries_.begin(), entries_.end(),
        [](const std::pair<const std::uint64_t, entry>& a,
           const std::pair<const std::uint64_t, entry>& b)
        {
            return std::make_pair(a.second.reached_at.has_value(), a.second.updated_at) <
                   std::make_pair(b.second.reached_at.has_value(), b.second.updated_at);
        });
    entries_.erase(oldest);
}

std::vector<part_report> prompt_quarantine::record_crash(std::span<const prompt_part> parts,
                                                         std::uint64_t crash, millis age,
                                                         time_point now)
{
    std::vector<part_report> reports;
    for (const prompt_part& part : limit_parts(parts))
    {
        const std::vector<part_report> learned =
            learn_crash({part_report::type::crashed, part.hash, crash, age}, now);
        reports.insert(reports.end(), learned.begin(), learned.end());
    }
    return reports;
}

// Other routers need the report, and may not know that the part was served before.
std::vector<part_report> prompt_quarantine::learn_crash(const part_report& report, time_point now)
{
    const auto known = entries_.find(report.part);
    const bool was_proven = known != entries_.end() && known->second.proven;
    std::vector<part_report> reports;
    if (add_crash(report, now) && report.age <= max_forwarded_age)
    {
        reports.push_back(report);
    }
    const auto it = entries_.find(report.part);
    if (it != entries_.end() && it->second.proven && !was_proven)
    {
        const time_point served_at = served_.find(report.part).value_or(it->second.served_at);
        reports.push_back({part_report::type::served, report.part, 0, now - served_at});
    }
    return reports;
}

std::vector<part_report> prompt_quarantine::record_served(std::span<const prompt_part> parts,
                                                          time_point now)
{
    std::vector<part_report> reports;
    for (const prompt_part& part : limit_parts(parts))
    {
        const part_report report{part_report::type::served, part.hash, 0, millis{0}};
        if (add_served(report, now))
        {
            reports.push_back(report);
        }
    }
    return reports;
}

std::vector<part_report> prompt_quarantine::apply(const part_report& report, time_point now)
{
    switch (report.kind)
    {
    case part_report::type::served:
        return add_served(report, now) ? std::vector<part_report>{report}
                                       : std::vector<part_report>{};
    case part_report::type::trial:
    {
        const auto it = entries_.find(report.part);
        if (it == entries_.end())
        {
            return {};
        }
        const time_point until = now - report.age + trial_duration(it->second);
        if (until <= now)
        {
            return {};
        }
        return add_trial(it->second, report.event, until, now) ? std::vector<part_report>{report}
                                                               : std::vector<part_report>{};
    }
    case part_report::type::crashed:
        break;
    }
    std::vector<part_report> reports = learn_crash(report, now);
    const auto it = entries_.find(report.part);
    if (it == entries_.end() || now - report.age > it->second.served_at)
    {
        return reports;
    }
    // The sender does not know that the part was served after this crash.
    entry& part = it->second;
    if (now - part.repeated_at < config_.repeat_interval)
    {
        return {};
    }
    part.repeated_at = now;
    return {{part_report::type::served, report.part, 0, now - part.served_at}};
}

bool prompt_quarantine::contains(std::span<const prompt_part> parts, time_point now) const
{
    const std::span<const prompt_part> compared = limit_parts(parts);
    return std::any_of(compared.begin(), compared.end(),
                       [&](const prompt_part& part)
                       {
                           const auto it = entries_.find(part.hash);
                           return it != entries_.end() && blocks(it->second, compared, now);
                       });
}

// The number of entitled routers grows fourfold with each step, so that a part in rare use is tried
// as well, and one in frequent use by few routers before the others hear of their trial.
bool prompt_quarantine::may_try(std::uint64_t hash, const entry& part, std::size_t routers,
                                time_point now) const
{
    if (now < part.ends_at || now < part.trial_until)
    {
        return false;
    }
    return may_act(hash, self_, routers, (now - part.ends_at).count / trial_step(part).count);
}

quarantine_decision prompt_quarantine::admit(std::span<const prompt_part> parts,
                                             std::size_t routers, time_point now)
{
    assert(routers > 0);
    quarantine_decision decision;
    std::vector<entry*> tried;
    for (const prompt_part& part : limit_parts(parts))
    {
        const auto it = entries_.find(part.hash);
        if (it == entries_.end() || !blocks(it->second, limit_parts(parts), now))
        {
            continue;
        }
        decision.part = part.hash;
        if (!may_try(part.hash, it->second, routers, now))
        {
            const time_point end = std::max(it->second.ends_at, it->second.trial_until);
            decision.admitted = false;
            decision.retry_after = std::max(trial_step(it->second), end - now);
            decision.reports.clear();
            return decision;
        }
        tried.push_back(&it->second);
        const std::string_view number(reinterpret_cast<const char*>(&trials_), sizeof trials_);
        decision.reports.push_back(
            {part_report::type::trial, part.hash, hash64(number, self_), millis{0}});
    }
    for (entry* part : tried)
    {
        add_trial(*part, decision.reports.front().event, now + trial_duration(*part), now);
    }
    trials_ += tried.empty() ? 0 : 1;
    return decision;
}

std::vector<part_report> prompt_quarantine::list_crashes(std::uint64_t hash, const entry& part,
                                                         time_point now)
{
    std::vector<part_report> reports;
    for (auto it = part.crashes.begin(); it != part.crashes.end(); ++it)
    {
        if (it->second > part.served_at)
        {
            reports.push_back({part_report::type::crashed, hash, it->first, now - it->second});
        }
    }
    // The latest crashes decide when the quarantine ends.
    std::sort(reports.begin(), reports.end(),
              [](const part_report& a, const part_report& b) { return a.age < b.age; });
    reports.resize(std::min(reports.size(), max_reminders));
    return reports;
}

std::vector<part_report> prompt_quarantine::reminders(time_point now)
{
    // In the order of their hashes, beginning after the part that was repeated last.
    std::vector<std::pair<std::uint64_t, const entry*>> parts;
    for (auto it = entries_.begin(); it != entries_.end(); ++it)
    {
        if (it->second.reached_at)
        {
            parts.emplace_back(it->first - last_reminded_ - 1, &it->second);
        }
    }
    std::sort(parts.begin(), parts.end());
    const std::uint64_t start = last_reminded_ + 1;
    std::vector<part_report> reports;
    for (const std::pair<std::uint64_t, const entry*>& part : parts)
    {
        const std::vector<part_report> crashes =
            list_crashes(start + part.first, *part.second, now);
        if (reports.size() + crashes.size() > config_.max_reminders_at_once)
        {
            break;
        }
        reports.insert(reports.end(), crashes.begin(), crashes.end());
        last_reminded_ = start + part.first;
    }
    return reports;
}

std::vector<quarantine_record> prompt_quarantine::records(time_point now) const
{
    std::vector<quarantine_record> found;
    for (auto it = entries_.begin(); it != entries_.end(); ++it)
    {
        if (!it->second.proven && has_settled(it->second, now))
        {
            found.push_back({it->first, list_crashes(it->first, it->second, now)});
        }
    }
    return found;
}

void prompt_quarantine::expire(time_point now)
{
    for (auto it = entries_.begin(); it != entries_.end();)
    {
        entry& part = it->second;
        // The duration of a quarantine follows from all crashes of its part.
        if (!part.reached_at || now - part.ends_at >= config_.memory_after_end)
        {
            std::erase_if(part.crashes, [&](const std::pair<const std::uint64_t, time_point>& crash)
                          { return now - crash.second > config_.max_duration; });
        }
        update_reached(part, now);
        it = part.crashes.empty() ? entries_.erase(it) : std::next(it);
    }
}

std::size_t prompt_quarantine::quarantined(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(entries_.begin(), entries_.end(),
                      [&](const std::pair<const std::uint64_t, entry>& part)
                      { return !part.second.proven && has_settled(part.second, now); }));
}

} // namespace endivestage
