#include <endivestage/configuration/replica.hpp>

#include <endivestage/configuration/serialize.hpp>

#include <algorithm>
#include <cassert>

namespace endivestage
{

namespace
{

// A source that has not answered for this many retry intervals counts as unreachable. Otherwise a
// single silent peer would keep a starting router from serving.
constexpr std::int64_t unreachable_after_intervals = 4;

} // namespace

std::string_view to_string(replica_state state)
{
    switch (state)
    {
    case replica_state::asking:
        return "asking";
    case replica_state::unreachable:
        return "unreachable";
    case replica_state::nothing_applied:
        return "nothing_applied";
    case replica_state::fetching:
        return "fetching";
    case replica_state::ready:
        break;
    }
    return "ready";
}

std::vector<replica_action> configuration_replica::start(const std::vector<router_id>& peers,
                                                         time_point now)
{
    assert(retry_interval_.count > 0);
    answers_[{}] = answer::none;
    for (const router_id& peer : peers)
    {
        answers_[{peer}] = answer::none;
    }
    std::vector<replica_action> actions;
    request_stamps(actions, now);
    return actions;
}

std::vector<replica_action> configuration_replica::on_stamp(const configuration_source& source,
                                                            const configuration_stamp& stamp,
                                                            time_point now)
{
    if (is_starting())
    {
        // The answer of a peer that was not asked counts as well: it may be the only reachable one.
        answers_[source] = answer::stamp;
    }
    record_stamp(source, stamp);
    return advance(now);
}

std::vector<replica_action>
configuration_replica::on_unreachable(const configuration_source& source, time_point now)
{
    const auto asked = answers_.find(source);
    if (asked != answers_.end() && asked->second == answer::none)
    {
        asked->second = answer::unreachable;
    }
    return advance(now);
}

std::vector<replica_action> configuration_replica::on_body(const configuration_source& source,
                                                           const configuration_stamp& stamp,
                                                           std::string_view body, time_point now)
{
    if (stamp.version <= newest_held_version())
    {
        return {};
    }
    if (!store_pending(stamp, body))
    {
        return on_body_failed(source, stamp, now);
    }
    record_stamp(source, stamp);
    return advance(now);
}

std::vector<replica_action>
configuration_replica::on_body_failed(const configuration_source& source,
                                      const configuration_stamp& stamp, time_point now)
{
    if (stamp == highest_stamp_)
    {
        // tick asks the next source, so that a failing source does not cause a tight loop.
        std::erase(body_sources_, source);
        fetch_.sent = now;
    }
    return {};
}

std::vector<replica_action> configuration_replica::tick(time_point now)
{
    std::vector<replica_action> actions;
    if (is_starting() && state() != replica_state::fetching &&
        now - requested_at_ >= retry_interval_)
    {
        mark_silent_unreachable(now);
        // Requesting the stamps again would reset the sources just marked unreachable and thus
        // prevent the activation of a known version.
        if (!has_answer(answer::none) && state() != replica_state::fetching)
        {
            request_stamps(actions, now);
        }
    }
    if (fetch_.outstanding && now - fetch_.sent >= retry_interval_)
    {
        fetch_.outstanding = false;
    }
    const std::vector<replica_action> more = advance(now);
    actions.insert(actions.end(), more.begin(), more.end());
    return actions;
}

replica_state configuration_replica::state() const
{
    if (!is_starting())
    {
        return replica_state::ready;
    }
    if (has_answer(answer::none))
    {
        return replica_state::asking;
    }
    if (highest_stamp_.version > 0)
    {
        return replica_state::fetching;
    }
    return has_answer(answer::stamp) ? replica_state::nothing_applied : replica_state::unreachable;
}

std::uint64_t configuration_replica::newest_held_version() const
{
    return std::max(active_stamp_.version, pending_stamp_.version);
}

bool configuration_replica::has_answer(answer value) const
{
    return std::any_of(answers_.begin(), answers_.end(),
                       [value](const std::pair<const configuration_source, answer>& entry)
                       { return entry.second == value; });
}

void configuration_replica::request_stamps(std::vector<replica_action>& actions, time_point now)
{
    for (auto& [source, state] : answers_)
    {
        state = answer::none;
        actions.emplace_back(fetch_stamp{source});
    }
    requested_at_ = now;
}

void configuration_replica::mark_silent_unreachable(time_point now)
{
    if (now - requested_at_ < retry_interval_ * unreachable_after_intervals)
    {
        return;
    }
    for (auto& [source, state] : answers_)
    {
        if (state == answer::none)
        {
            state = answer::unreachable;
        }
    }
}

void configuration_replica::record_stamp(const configuration_source& source,
                                         const configuration_stamp& stamp)
{
    if (stamp.version > highest_stamp_.version)
    {
        highest_stamp_ = stamp;
        body_sources_ = {source};
        fetch_ = {};
    }
    else if (stamp == highest_stamp_ &&
             std::find(body_sources_.begin(), body_sources_.end(), source) == body_sources_.end())
    {
        body_sources_.push_back(source);
    }
}

void configuration_replica::fetch_highest(std::vector<replica_action>& actions, time_point now)
{
    if (fetch_.outstanding || highest_stamp_.version <= newest_held_version())
    {
        return;
    }
    actions.emplace_back(fetch_body{highest_stamp_, next_source()});
    fetch_.outstanding = true;
    fetch_.sent = now;
}

configuration_source configuration_replica::next_source()
{
    // The store has every committed body, but its reads are limited, so peers are tried first.
    const std::size_t n = fetch_.attempt++ % (body_sources_.size() + 1);
    return n < body_sources_.size() ? body_sources_[n] : configuration_source();
}

bool configuration_replica::store_pending(const configuration_stamp& stamp, std::string_view body)
{
    if (configuration_digest(body) != stamp.digest)
    {
        return false;
    }
    result<fleet_configuration> configuration = from_json(body);
    if (!configuration || configuration->version != stamp.version)
    {
        return false;
    }
    pending_stamp_ = stamp;
    pending_ = std::make_shared<const fleet_configuration>(*std::move(configuration));
    return true;
}

void configuration_replica::activate_pending(std::vector<replica_action>& actions)
{
    if (pending_ == nullptr)
    {
        return;
    }
    const bool all_answered = !has_answer(answer::none) && has_answer(answer::stamp);
    if (is_starting() && (!all_answered || pending_stamp_.version < highest_stamp_.version))
    {
        return;
    }
    active_ = std::move(pending_);
    pending_ = nullptr;
    active_stamp_ = pending_stamp_;
    actions.emplace_back(activate_configuration{active_});
}

std::vector<replica_action> configuration_replica::advance(time_point now)
{
    std::vector<replica_action> actions;
    activate_pending(actions);
    fetch_highest(actions, now);
    return actions;
}

} // namespace endivestage
