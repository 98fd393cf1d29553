#include <endivestage/ownership/owner_rebuild.hpp>

#include <algorithm>
#include <endivestage/ownership/owner.hpp>

namespace endivestage
{

owner_rebuild::owner_rebuild(rebuild_config config, const ownership_acquired& takeover)
    : config_(config),
      takeover_(takeover)
{
    const bool had_no_owner = takeover.previous_known && takeover.previous_owner.id.empty();
    account_complete_ = had_no_owner;
    complete_ = had_no_owner;
    for (const member& router : takeover.acquired_in->members)
    {
        asked_routers_.push_back({router, false, {}});
    }
    for (const member& router : takeover.acquired_in->previous)
    {
        const member* current = find_member(takeover.acquired_in->members, router.id);
        if (current == nullptr || !same_run(*current, router))
        {
            asked_routers_.push_back({router, false, {}});
        }
    }
}

std::vector<member> owner_rebuild::tick(time_point now)
{
    std::vector<member> routers_to_ask;
    for (asked_router& it : asked_routers_)
    {
        const bool is_due = !it.asked_at || now - *it.asked_at >= config_.resend_interval;
        if (!complete_ && !it.answered && is_due)
        {
            it.asked_at = now;
            routers_to_ask.push_back(it.router);
        }
    }
    return routers_to_ask;
}

void owner_rebuild::on_answer(const held_permits_answer& answer, time_point /*now*/)
{
    if (complete_ || answer.view_number < takeover_.acquired_in->number)
    {
        return;
    }
    for (asked_router& it : asked_routers_)
    {
        // An answer of a later run shows that the run that was asked has ended, with all permits
        // that it held.
        if (it.router.id == answer.from.id && it.router.incarnation <= answer.from.incarnation)
        {
            it.answered = true;
        }
    }
    for (const outstanding_permit& permit : answer.permits)
    {
        add_permit(permit);
    }
    const message_origin& previous = takeover_.previous_owner;
    if (answer.account && answer.from.id == previous.id &&
        answer.from.incarnation == previous.incarnation)
    {
        apply_account(*answer.account);
    }
    update_completeness();
}

void owner_rebuild::add_permit(const outstanding_permit& permit)
{
    // The owner counts the permits that it issued itself, also during an earlier ownership.
    const member* self = owner_of(*takeover_.acquired_in, takeover_.endpoint);
    const bool is_own = self != nullptr && permit.stamp.owner == self->id &&
                        permit.stamp.owner_incarnation == self->incarnation;
    if (!is_own && permit.stamp.endpoint == takeover_.endpoint &&
        !returned_permits_.contains(permit.stamp))
    {
        known_permits_.emplace(permit.stamp, permit.holder);
    }
}

void owner_rebuild::apply_account(const owner_account& account)
{
    if (account_complete_ || !account.complete || account.ended_in != takeover_.acquired_in->number)
    {
        return;
    }
    account_complete_ = true;
    for (const outstanding_permit& permit : account.outstanding)
    {
        // Routers that are asked report their permits themselves. Only the previous owner knows
        // the permits of routers that left the view earlier.
        const bool is_asked =
            std::any_of(asked_routers_.begin(), asked_routers_.end(),
                        [&](const asked_router& it) { return it.router.id == permit.holder.id; });
        if (!is_asked)
        {
            add_permit(permit);
        }
    }
}

void owner_rebuild::update_completeness()
{
    const bool all_answered = std::all_of(asked_routers_.begin(), asked_routers_.end(),
                                          [](const asked_router& it) { return it.answered; });
    complete_ = complete_ || (all_answered && account_complete_);
}

void owner_rebuild::on_load_report(std::size_t load, time_point requested_at,
                                   std::span<const permit_stamp> own_permits)
{
    const millis since_takeover = requested_at - takeover_.acquired_at;
    if (since_takeover < config_.time_to_use + config_.report_lag)
    {
        return;
    }
    if (since_takeover >= config_.max_request_duration)
    {
        known_permits_.clear();
        explaining_permits_.clear();
        unexplained_load_ = 0;
    }
    std::set<permit_stamp> explaining_permits(own_permits.begin(), own_permits.end());
    for (const auto& [stamp, holder] : known_permits_)
    {
        explaining_permits.insert(stamp);
    }
    const std::ptrdiff_t unexplained =
        static_cast<std::ptrdiff_t>(load) - static_cast<std::ptrdiff_t>(explaining_permits.size());
    // Own permits that are too new to explain load must not raise the count again.
    if (!complete_ || (!is_settled() && unexplained <= unexplained_load_))
    {
        unexplained_load_ = unexplained;
        explaining_permits_ = std::move(explaining_permits);
    }
    complete_ = true;
}

void owner_rebuild::on_run_ended(const router_id& id, std::uint64_t incarnation)
{
    for (asked_router& it : asked_routers_)
    {
        it.answered = it.answered || (it.router.id == id && it.router.incarnation <= incarnation);
    }
    for (const outstanding_permit& permit : known_permits())
    {
        if (permit.holder.id == id && permit.holder.incarnation <= incarnation)
        {
            on_permit_returned(permit.stamp);
        }
    }
    update_completeness();
}

std::vector<outstanding_permit> owner_rebuild::known_permits() const
{
    std::vector<outstanding_permit> permits;
    for (const auto& [stamp, holder] : known_permits_)
    {
        permits.push_back({stamp, holder});
    }
    return permits;
}

void owner_rebuild::on_permit_returned(const permit_stamp& permit)
{
    known_permits_.erase(permit);
    unexplained_load_ += static_cast<std::ptrdiff_t>(explaining_permits_.erase(permit));
    if (!complete_)
    {
        returned_permits_.insert(permit);
    }
}

std::size_t owner_rebuild::unexplained_load() const
{
    return static_cast<std::size_t>(std::max<std::ptrdiff_t>(0, unexplained_load_));
}

bool owner_rebuild::is_settled() const
{
    return complete_ &&
           unexplained_load_ + static_cast<std::ptrdiff_t>(explaining_permits_.size()) <= 0;
}

} // namespace endivestage
