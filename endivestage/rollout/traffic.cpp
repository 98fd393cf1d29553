#include <endivestage/rollout/traffic.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace endivestage
{

namespace
{

/// \returns A number from 0 to 1 that is uniform over the keys of an order.
double unit_hash(std::uint64_t key, std::uint64_t order)
{
    const std::string_view bytes(reinterpret_cast<const char*>(&key), sizeof key);
    return static_cast<double>(hash64(bytes, order)) /
           static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

template <class Map>
const typename Map::mapped_type* find_in(const Map& map, const service_id& service)
{
    const auto it = map.find(service);
    return it == map.end() ? nullptr : &it->second;
}

/// Keeps the endpoints that take the share at the load of an old endpoint; equal on all routers.
void keep_canaries(std::vector<const endpoint_state*>& endpoints, double share,
                   std::size_t old_endpoints, std::uint64_t order)
{
    const std::size_t wanted = static_cast<std::size_t>(
        std::max(1.0, std::round(share * static_cast<double>(old_endpoints))));
    if (share >= 1.0 || endpoints.size() <= wanted)
    {
        return;
    }
    std::sort(endpoints.begin(), endpoints.end(),
              [&](const endpoint_state* a, const endpoint_state* b)
              { return unit_hash(a->hash, order) < unit_hash(b->hash, order); });
    endpoints.resize(wanted);
}

} // namespace

std::optional<traffic_rule> make_traffic_rule(const rollout_order* order,
                                              const rollout_record* record)
{
    if (order == nullptr && record == nullptr)
    {
        return std::nullopt;
    }
    const bool unread =
        order != nullptr && (record == nullptr || record->order_identity() < order->identity());
    const rollout_record current = unread ? begin_rollout(*order, record, {}) : *record;
    traffic_rule rule;
    rule.to = current.to;
    rule.base = current.base;
    rule.excluded = current.excluded;
    rule.order_revision = current.order_revision;
    rule.order_removed = order == nullptr;
    rule.old_allowed = current.phase != rollout_phase::completed;
    if (current.phase == rollout_phase::completed)
    {
        rule.new_share = 1.0;
    }
    else if (current.phase != rollout_phase::reverted && !unread && order != nullptr)
    {
        rule.new_share = current.phase == rollout_phase::switching ? 1.0 : current.share;
    }
    return rule;
}

bool allows(const traffic_rule& rule, std::string_view version)
{
    if (version == rule.to)
    {
        return rule.new_share > 0.0;
    }
    return rule.old_allowed && (rule.base.empty() || version == rule.base) &&
           !rule.excluded.contains(std::string(version));
}

version_choice choose_version(const traffic_rule& rule,
                              std::span<const endpoint_state* const> endpoints,
                              std::span<const endpoint_id> tried, std::uint64_t key_hash,
                              const std::optional<std::string>& pinned)
{
    std::vector<const endpoint_state*> olds;
    std::vector<const endpoint_state*> news;
    for (const endpoint_state* endpoint : endpoints)
    {
        const std::string& version = endpoint->record.version;
        if (!allows(rule, version) || (pinned && version != *pinned))
        {
            continue;
        }
        if (version != rule.to)
        {
            olds.push_back(endpoint);
        }
        else if (std::find(tried.begin(), tried.end(), endpoint->record.id) == tried.end())
        {
            news.push_back(endpoint);
        }
    }
    version_choice choice;
    if (olds.empty() && news.empty() && rule.order_removed && !pinned)
    {
        choice.preferred.assign(endpoints.begin(), endpoints.end());
        return choice;
    }
    if (pinned)
    {
        choice.preferred = olds.empty() ? std::move(news) : std::move(olds);
        return choice;
    }
    keep_canaries(news, rule.new_share, olds.size(), rule.order_revision);
    if (unit_hash(key_hash, rule.order_revision) < rule.new_share)
    {
        choice.preferred = std::move(news);
        choice.fallback = std::move(olds);
    }
    else
    {
        // The share bounds what an unproven version gets, also while old endpoints are missing.
        choice.preferred = std::move(olds);
    }
    return choice;
}

bool rollout_book::set_order(rollout_order order)
{
    const rollout_order* known = this->order(order.service);
    const rollout_record* stored = record(order.service);
    if (known != nullptr && known->row.era < order.row.era && has_same_content(*known, order))
    {
        rollout_order rewritten = *known;
        rewritten.row = order.row;
        orders_[order.service] = std::move(rewritten);
        return false;
    }
    if (known != nullptr && known->identity() >= order.identity())
    {
        return false;
    }
    if (known == nullptr && stored != nullptr && stored->order_era < order.era &&
        stored->to == order.to)
    {
        // This router has started, or has dropped the order, since the restore.
        order.revision = stored->order_revision;
        order.era = stored->order_era;
    }
    orders_[order.service] = order;
    update(order.service);
    return true;
}

void rollout_book::remove_order(const service_id& service)
{
    orders_.erase(service);
    update(service);
}

bool rollout_book::set_record(const rollout_record& record)
{
    const auto it = records_.find(record.service);
    if (it != records_.end() && !may_replace(record, it->second))
    {
        rollout_record& known = it->second;
        const bool same = known.order_identity() == record.order_identity() &&
                          known.phase == record.phase && known.announced == record.announced;
        known.lost = !same && (known.lost || known.row_era < record.row_era);
        known.row_revision = record.row_revision;
        known.row_era = record.row_era;
        return false;
    }
    records_[record.service] = record;
    update(record.service);
    return true;
}

void rollout_book::record_missing(const service_id& service, const table_position& position)
{
    const auto it = records_.find(service);
    if (it != records_.end() && it->second.row_era < position.era)
    {
        it->second.lost = true;
        it->second.row_revision = 0;
        it->second.row_era = position.era;
    }
}

bool rollout_book::is_lost(const service_id& service) const
{
    const rollout_order* ordered = order(service);
    const rollout_record* known = record(service);
    return ordered != nullptr && known != nullptr && known->lost &&
           known->order_identity() == ordered->identity();
}

void rollout_book::update(const service_id& service)
{
    std::optional<traffic_rule> rule = make_traffic_rule(order(service), record(service));
    if (rule)
    {
        rules_[service] = std::move(*rule);
    }
    else
    {
        rules_.erase(service);
    }
}

const traffic_rule* rollout_book::rule(const service_id& service) const
{
    return find_in(rules_, service);
}

const rollout_order* rollout_book::order(const service_id& service) const
{
    return find_in(orders_, service);
}

const rollout_record* rollout_book::record(const service_id& service) const
{
    return find_in(records_, service);
}

bool rollout_book::is_active(const service_id& service) const
{
    const rollout_order* ordered = order(service);
    const rollout_record* known = record(service);
    return ordered != nullptr &&
           (known == nullptr || known->order_identity() < ordered->identity() || !is_ended(*known));
}

} // namespace endivestage
