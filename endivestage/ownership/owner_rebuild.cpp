#include <endivestage/ownership/owner_rebuild.hpp>

#include <algorithm>
#include <endivestage/ownership/owner.hpp>

namespace endivestage
{

owner_rebuild::owner_rebuild(rebuild_config config, const ownership_acquired& takeover)
    : config_(config),
      takeover_(takeover)
{
    const bool nobody_before = takeover.previous_known && takeover.previous_owner.id.empty();
    account_complete_ = nobody_before;
    complete_ = nobody_before;
    for (const member& who : takeover.acquired_in->members)
    {
        routers_.push_back({who, false, {}});
    }
    for (const member& who : takeover.acquired_in->previous)
    {
        const member* now = find_member(takeover.acquired_in->members, who.id);
        if (now == nullptr || !same_run(*now, who))
        {
            routers_.push_back({who, false, {}});
        }
    }
}

std::vector<member> owner_rebuild::tick(time_point now)
{
    std::vector<member> ask;
    for (asked_router& it : routers_)
    {
        const bool due = !it.asked_at || now - *it.asked_at >= config_.resend_interval;
        if (!complete_ && !it.answered && due)
        {
            it.asked_at = now;
            ask.push_back(it.who);
        }
    }
    return ask;
}

void owner_rebuild::on_answer(const held_permits_answer& answer, time_point /*now*/)
{
    if (complete_ || answer.view_number < takeover_.acquired_in->number)
    {
        return;
    }
    for (asked_router& it : routers_)
    {
        // A later run of the router shows that the asked one has ended, with all it held.
        if (it.who.id == answer.from.id && it.who.incarnation <= answer.from.incarnation)
        {
            it.answered = true;
        }
    }
    for (const outstanding_permit& permit : answer.permits)
    {
        take_permit(permit);
    }
    const message_origin& previous = takeover_.previous_owner;
    if (answer.account && answer.from.id == previous.id &&
        answer.from.incarnation == previous.incarnation)
    {
        take_account(*answer.account);
    }
    check_answers();
}

void owner_rebuild::take_permit(const outstanding_permit& permit)
{
    // The owner keeps count of the permits that it issued itself, also those of an earlier tenure.
    const member* self = owner_of(*takeover_.acquired_in, takeover_.endpoint);
    const bool own = self != nullptr && permit.stamp.owner == self->id &&
                     permit.stamp.owner_incarnation == self->incarnation;
    if (!own && permit.stamp.endpoint == takeover_.endpoint && !returned_.contains(permit.stamp))
    {
        known_.emplace(permit.stamp, permit.holder);
    }
}

void owner_rebuild::take_account(const owner_account& account)
{
    if (account_complete_ || !account.complete || account.ended_in != takeover_.acquired_in->number)
    {
        return;
    }
    account_complete_ = true;
    for (const outstanding_permit& permit : account.outstanding)
    {
        // The holder's own answer decides for the routers that are asked. Routers that left the
        // view earlier are known to the previous owner only.
        const bool asked =
            std::any_of(routers_.begin(), routers_.end(),
                        [&](const asked_router& it) { return it.who.id == permit.holder.id; });
        if (!asked)
        {
            take_permit(permit);
        }
    }
}

void owner_rebuild::check_answers()
{
    const bool all = std::all_of(routers_.begin(), routers_.end(),
                                 [](const asked_router& it) { return it.answered; });
    complete_ = complete_ || (all && account_complete_);
}

void owner_rebuild::on_load_report(std::size_t load, time_point asked,
                                   std::span<const permit_stamp> own_used)
{
    const millis age = asked - takeover_.acquired_at;
    if (age < config_.time_to_use + config_.report_lag)
    {
        return;
    }
    if (age >= config_.max_request_duration)
    {
        known_.clear();
        explained_.clear();
        unexplained_ = 0;
    }
    std::set<permit_stamp> explained(own_used.begin(), own_used.end());
    for (const auto& [stamp, holder] : known_)
    {
        explained.insert(stamp);
    }
    const std::ptrdiff_t rest =
        static_cast<std::ptrdiff_t>(load) - static_cast<std::ptrdiff_t>(explained.size());
    // Own permits that are too young to explain load must not raise the count again.
    if (!complete_ || (!is_settled() && rest <= unexplained_))
    {
        unexplained_ = rest;
        explained_ = std::move(explained);
    }
    complete_ = true;
}

void owner_rebuild::on_run_ended(const router_id& id, std::uint64_t incarnation)
{
    for (asked_router& it : routers_)
    {
        it.answered = it.answered || (it.who.id == id && it.who.incarnation <= incarnation);
    }
    for (const outstanding_permit& permit : known_permits())
    {
        if (permit.holder.id == id && permit.holder.incarnation <= incarnation)
        {
            on_permit_returned(permit.stamp);
        }
    }
    check_answers();
}

std::vector<outstanding_permit> owner_rebuild::known_permits() const
{
    std::vector<outstanding_permit> permits;
    for (const auto& [stamp, holder] : known_)
    {
        permits.push_back({stamp, holder});
    }
    return permits;
}

void owner_rebuild::on_permit_returned(const permit_stamp& permit)
{
    known_.erase(permit);
    unexplained_ += static_cast<std::ptrdiff_t>(explained_.erase(permit));
    if (!complete_)
    {
        returned_.insert(permit);
    }
}

std::size_t owner_rebuild::unexplained_load() const
{
    return static_cast<std::size_t>(std::max<std::ptrdiff_t>(0, unexplained_));
}

bool owner_rebuild::is_settled() const
{
    return complete_ && unexplained_ + static_cast<std::ptrdiff_t>(explained_.size()) <= 0;
}

} // namespace endivestage
