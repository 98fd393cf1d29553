#include <endivestage/endpoint/orders.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace endivestage
{

namespace
{

bool same_weights(const engine_state& a, const engine_state& b)
{
    return a.model == b.model && a.adapter == b.adapter && a.model_version == b.model_version;
}

millis load_time(std::uint64_t bytes, std::uint64_t bytes_per_second)
{
    const double seconds = static_cast<double>(bytes) / static_cast<double>(bytes_per_second);
    return {static_cast<std::int64_t>(seconds * 1000.0) + 1};
}

} // namespace

order_controller::order_controller(const pool_id& pool, router_id self, order_config config)
    : config_(config),
      lease_("order-lease/" + pool.str(), std::move(self), config.lease)
{
    assert(config_.weight_bytes_per_second > 0);
}

void order_controller::set_desired(const endpoint_id& endpoint, const desired_state& desired)
{
    const auto [it, inserted] = targets_.try_emplace(endpoint);
    target& entry = it->second;
    if (!inserted && desired.version <= entry.desired.version)
    {
        return;
    }
    entry.desired = desired;
    entry.ordered_at.reset();
}

void order_controller::remove(const endpoint_id& endpoint)
{
    targets_.erase(endpoint);
}

std::vector<order_action> order_controller::tick(time_point now)
{
    std::vector<order_action> actions;
    if (std::optional<table_operation> operation = lease_.tick(now))
    {
        actions.emplace_back(call_lease_table{*std::move(operation)});
    }
    if (!lease_.is_held(now))
    {
        return actions;
    }
    if (lease_.fencing_token() != tenure_)
    {
        begin_tenure(now);
    }
    for (auto& [id, entry] : targets_)
    {
        read_if_due(id, entry, actions, now);
        order_if_due(id, entry, actions, now);
    }
    return actions;
}

void order_controller::on_table_result(const table_result& answer, time_point now)
{
    lease_.on_table_result(answer, now);
}

void order_controller::on_report(const endpoint_id& endpoint, const endpoint_report& report,
                                 time_point now)
{
    const auto it = targets_.find(endpoint);
    if (it == targets_.end() || lease_.fencing_token() != tenure_)
    {
        return;
    }
    target& entry = it->second;
    entry.report = report;
    if (!report.loading)
    {
        entry.load_reserved = false;
    }
    else if (!entry.load_reserved)
    {
        // An earlier controller started this load, but it uses the weight store as well.
        reserve_load(entry, now);
    }
}

void order_controller::on_order_result(const endpoint_id& endpoint, errc code)
{
    const auto it = targets_.find(endpoint);
    if (it != targets_.end() && code == errc::stale_fencing_token)
    {
        it->second.rejected = true;
    }
}

bool order_controller::is_converged() const
{
    return std::all_of(targets_.begin(), targets_.end(),
                       [](const std::pair<const endpoint_id, target>& entry)
                       { return matches(entry.second); });
}

void order_controller::begin_tenure(time_point now)
{
    tenure_ = lease_.fencing_token();
    tenure_start_ = now;
    next_load_ = std::max(next_load_, now);
    for (auto& [id, entry] : targets_)
    {
        const desired_state desired = std::move(entry.desired);
        entry = {};
        entry.desired = desired;
    }
}

void order_controller::read_if_due(const endpoint_id& id, target& entry,
                                   std::vector<order_action>& actions, time_point now) const
{
    const millis interval = entry.desired.supports_fencing && matches(entry)
                                ? config_.read_interval
                                : config_.unfenced_read_interval;
    if (!entry.read_at || now - *entry.read_at >= interval)
    {
        entry.read_at = now;
        actions.emplace_back(read_endpoint{id});
    }
}

void order_controller::order_if_due(const endpoint_id& id, target& entry,
                                    std::vector<order_action>& actions, time_point now)
{
    if (!needs_order(entry, now))
    {
        return;
    }
    if (!same_weights(entry.report->running, entry.desired.state))
    {
        if (!can_load(now))
        {
            return;
        }
        reserve_load(entry, now);
    }
    entry.ordered_at = now;
    actions.emplace_back(
        send_order{id, entry.desired.state, entry.desired.version, tenure_, lease_.expires_at()});
}

bool order_controller::matches(const target& entry)
{
    return entry.report && entry.report->running == entry.desired.state && !entry.report->loading;
}

bool order_controller::needs_order(const target& entry, time_point now) const
{
    if (!entry.report || entry.rejected || matches(entry))
    {
        return false;
    }
    const bool is_loading = entry.report->loading && *entry.report->loading == entry.desired.state;
    const bool ordered_recently =
        entry.ordered_at && now - *entry.ordered_at < config_.order_timeout;
    return !is_loading && !ordered_recently;
}

bool order_controller::can_load(time_point now) const
{
    // Only reports show the loads that an earlier controller started. An endpoint that does not
    // respond must not delay the loads of the others by more than order_timeout.
    const bool all_reported = std::all_of(targets_.begin(), targets_.end(),
                                          [](const std::pair<const endpoint_id, target>& entry)
                                          { return entry.second.report.has_value(); });
    return now >= next_load_ && (all_reported || now - tenure_start_ >= config_.order_timeout);
}

void order_controller::reserve_load(target& entry, time_point now)
{
    entry.load_reserved = true;
    next_load_ = std::max(next_load_, now) +
                 load_time(entry.desired.weight_bytes, config_.weight_bytes_per_second);
}

} // namespace endivestage
