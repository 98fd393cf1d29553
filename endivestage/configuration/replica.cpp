#include <endivestage/configuration/replica.hpp>

#include <endivestage/configuration/serialize.hpp>

#include <algorithm>
#include <cassert>

namespace endivestage
{

namespace
{

// A source that is silent this many retry intervals counts as unreachable, so that one silent peer
// does not keep a starting router from serving.
constexpr std::int64_t silent_intervals = 4;

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
    assert(retry_.count > 0);
    asked_[{}] = answer::none;
    for (const router_id& peer : peers)
    {
        asked_[{peer}] = answer::none;
    }
    std::vector<replica_action> actions;
    ask(actions, now);
    return actions;
}

std::vector<replica_action> configuration_replica::on_stamp(const configuration_source& source,
                                                            const configuration_stamp& stamp,
                                                            time_point now)
{
    if (starting())
    {
        // A peer that was not asked counts too: it may be the only one that is reachable.
        asked_[source] = answer::stamp;
    }
    raise(source, stamp);
    return proceed(now);
}

std::vector<replica_action>
configuration_replica::on_unreachable(const configuration_source& source, time_point now)
{
    const auto asked = asked_.find(source);
    if (asked != asked_.end() && asked->second == answer::none)
    {
        asked->second = answer::unreachable;
    }
    return proceed(now);
}

std::vector<replica_action> configuration_replica::on_body(const configuration_source& source,
                                                           const configuration_stamp& stamp,
                                                           std::string_view body, time_point now)
{
    if (stamp.version <= have())
    {
        return {};
    }
    if (!accept(stamp, body))
    {
        return on_body_failed(source, stamp, now);
    }
    raise(source, stamp);
    return proceed(now);
}

std::vector<replica_action>
configuration_replica::on_body_failed(const configuration_source& source,
                                      const configuration_stamp& stamp, time_point now)
{
    if (stamp == highest_)
    {
        // The next source is asked by tick, so that a failing source is not asked in a tight loop.
        std::erase(holders_, source);
        fetch_.sent = now;
    }
    return {};
}

std::vector<replica_action> configuration_replica::tick(time_point now)
{
    std::vector<replica_action> actions;
    if (starting() && state() != replica_state::fetching && now - asked_at_ >= retry_)
    {
        give_up_on_silent(now);
        // Asking again would undo the give-up that lets a known version come into force.
        if (!any(answer::none) && state() != replica_state::fetching)
        {
            ask(actions, now);
        }
    }
    if (fetch_.outstanding && now - fetch_.sent >= retry_)
    {
        fetch_.outstanding = false;
    }
    const std::vector<replica_action> further = proceed(now);
    actions.insert(actions.end(), further.begin(), further.end());
    return actions;
}

replica_state configuration_replica::state() const
{
    if (!starting())
    {
        return replica_state::ready;
    }
    if (any(answer::none))
    {
        return replica_state::asking;
    }
    if (highest_.version > 0)
    {
        return replica_state::fetching;
    }
    return any(answer::stamp) ? replica_state::nothing_applied : replica_state::unreachable;
}

std::uint64_t configuration_replica::have() const
{
    return std::max(in_force_.version, pending_stamp_.version);
}

bool configuration_replica::any(answer value) const
{
    return std::any_of(asked_.begin(), asked_.end(),
                       [value](const std::pair<const configuration_source, answer>& entry)
                       { return entry.second == value; });
}

void configuration_replica::ask(std::vector<replica_action>& actions, time_point now)
{
    for (auto& [source, state] : asked_)
    {
        state = answer::none;
        actions.emplace_back(fetch_stamp{source});
    }
    asked_at_ = now;
}

void configuration_replica::give_up_on_silent(time_point now)
{
    if (now - asked_at_ < retry_ * silent_intervals)
    {
        return;
    }
    for (auto& [source, state] : asked_)
    {
        if (state == answer::none)
        {
            state = answer::unreachable;
        }
    }
}

void configuration_replica::raise(const configuration_source& source,
                                  const configuration_stamp& stamp)
{
    if (stamp.version > highest_.version)
    {
        highest_ = stamp;
        holders_ = {source};
        fetch_ = {};
    }
    else if (stamp == highest_ &&
             std::find(holders_.begin(), holders_.end(), source) == holders_.end())
    {
        holders_.push_back(source);
    }
}

void configuration_replica::fetch(std::vector<replica_action>& actions, time_point now)
{
    if (fetch_.outstanding || highest_.version <= have())
    {
        return;
    }
    actions.emplace_back(fetch_body{highest_, next_source()});
    fetch_.outstanding = true;
    fetch_.sent = now;
}

configuration_source configuration_replica::next_source()
{
    // The store has every committed body; peers are preferred because the store's reads are few.
    const std::size_t n = fetch_.attempt++ % (holders_.size() + 1);
    return n < holders_.size() ? holders_[n] : configuration_source();
}

bool configuration_replica::accept(const configuration_stamp& stamp, std::string_view body)
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

void configuration_replica::adopt_if_allowed(std::vector<replica_action>& actions)
{
    if (pending_ == nullptr)
    {
        return;
    }
    const bool all_answered = !any(answer::none) && any(answer::stamp);
    if (starting() && (!all_answered || pending_stamp_.version < highest_.version))
    {
        return;
    }
    current_ = std::move(pending_);
    pending_ = nullptr;
    in_force_ = pending_stamp_;
    actions.emplace_back(activate_configuration{current_});
}

std::vector<replica_action> configuration_replica::proceed(time_point now)
{
    std::vector<replica_action> actions;
    adopt_if_allowed(actions);
    fetch(actions, now);
    return actions;
}

} // namespace endivestage
