// Changes of owner in admission_service: rebuild, handover and reconciliation of permits.
#include <endivestage/daemon/admission_service.hpp>

#include <endivestage/daemon/json_access.hpp>

#include <algorithm>
#include <boost/json.hpp>
#include <set>
#include <utility>

namespace endivestage::daemon
{

namespace json = boost::json;

namespace
{

/// Permits older than this are checked with their holder, in case a release was lost.
constexpr millis reconcile_age{5000};
constexpr millis handover_retention{30000};

} // namespace

// Own permits that the gate no longer counts have been returned or found lost.
void admission_service::forget_returned(const endpoint_id& engine, owned_engine& owned) const
{
    std::set<permit_key> counted;
    for (const held_permit& held : owned.gate.snapshot())
    {
        counted.insert(held.key);
    }
    for (auto it = owned.issued.begin(); it != owned.issued.end();)
    {
        if (counted.contains(it->first))
        {
            ++it;
            continue;
        }
        owned.rebuild.on_permit_returned(make_stamp(engine, it->first, cluster_.origin()));
        it = owned.issued.erase(it);
    }
}

void admission_service::on_became_owner(const ownership_acquired& takeover)
{
    const std::optional<engine_configuration> found = find_engine(takeover.endpoint);
    if (!found)
    {
        return;
    }
    const time_point now = node_.time.now();
    rebuild_config config;
    config.report_lag = node_.settings.timing.report_lag;
    owned_engine owned{
        engine_gate(found->policy, takeover.endpoint, takeover.acquired_in->number, {}, now),
        found->policy,
        found->pool,
        found->address,
        {},
        owner_rebuild(config, takeover),
        {},
        takeover.acquired_in->number};
    {
        const std::scoped_lock lock(mutex_);
        owned_.insert_or_assign(takeover.endpoint, std::move(owned));
    }
    node_.events.record(event_kind::owner_changed, {{"owner", node_.settings.id.str()}}, {},
                        takeover.endpoint);
    refresh();
}

void admission_service::on_stopped_owning(const ownership_lost& ended)
{
    pending_calls calls;
    {
        const std::scoped_lock lock(mutex_);
        const auto it = owned_.find(ended.endpoint);
        if (it == owned_.end())
        {
            return;
        }
        for (std::pair<const waiting_key, waiting_caller>& entry : it->second.waiting)
        {
            calls.emplace_back([done = std::move(entry.second.done)]
                               { done(make_error_code(errc::not_owner)); });
        }
        handovers_.insert_or_assign(ended.endpoint,
                                    kept_handover{make_handover(ended.endpoint, it->second, ended),
                                                  node_.time.now() + handover_retention});
        owned_.erase(it);
    }
    for (const std::function<void()>& call : calls)
    {
        call();
    }
}

engine_handover admission_service::make_handover(const endpoint_id& engine,
                                                 const owned_engine& owned,
                                                 const ownership_lost& ended) const
{
    engine_handover handover;
    handover.account.ended_in = ended.ended_in;
    handover.account.complete = ended.account_complete && owned.rebuild.is_settled();
    handover.account.outstanding = owned.rebuild.known_permits();
    for (const held_permit& held : owned.gate.snapshot())
    {
        if (owned.issued.contains(held.key))
        {
            // The incarnation of the holder is not known here; the newest one covers all.
            handover.account.outstanding.push_back(
                {make_stamp(engine, held.key, cluster_.origin()), {held.holder, 0}});
        }
    }
    handover.incarnation = owned.incarnation;
    handover.warm = owned.gate.ramp().is_warm();
    handover.cache = owned.gate.cache().entries();
    if (handover.cache.size() > max_handover_entries)
    {
        handover.cache.erase(handover.cache.begin(), handover.cache.end() - max_handover_entries);
    }
    return handover;
}

void admission_service::ask_holders()
{
    struct question
    {
        endpoint_id engine;
        std::vector<member> rebuild;
        std::vector<router_id> reconcile;
        std::uint64_t view_number = 0;
    };
    std::vector<question> questions;
    {
        const std::scoped_lock lock(mutex_);
        for (std::pair<const endpoint_id, owned_engine>& entry : owned_)
        {
            owned_engine& owned = entry.second;
            forget_returned(entry.first, owned);
            questions.push_back({entry.first, owned.rebuild.tick(node_.time.now()),
                                 owned.gate.holders_to_reconcile(reconcile_age, node_.time.now()),
                                 owned.rebuild.takeover_view().number});
        }
    }
    for (const question& entry : questions)
    {
        for (const member& who : entry.rebuild)
        {
            spawn(node_.io, [this, engine = entry.engine, who, number = entry.view_number]
                  { return ask_rebuild(engine, who, number); });
        }
        for (const router_id& holder : entry.reconcile)
        {
            spawn(node_.io,
                  [this, engine = entry.engine, holder] { return ask_reconcile(engine, holder); });
        }
    }
}

awaitable<result<held_report>> admission_service::fetch_held(endpoint_id engine, member who,
                                                             std::uint64_t view_number)
{
    if (who.id == node_.settings.id)
    {
        co_return report_held(engine, view_number);
    }
    json::object body{{"engine", engine.str()}, {"view", view_number}};
    const rpc_answer answer = co_await node_.rpc.call(peer_address_of(who), "/permit/held",
                                                      std::move(body), peer_timeout);
    if (!answer)
    {
        co_return answer.error();
    }
    co_return decode_held_report(engine, *answer);
}

awaitable<void> admission_service::ask_rebuild(endpoint_id engine, member who,
                                               std::uint64_t view_number)
{
    const result<held_report> report = co_await fetch_held(engine, who, view_number);
    if (report)
    {
        with_gate(engine, [&](owned_engine& owned, time_point now)
                  { return take_report(engine, owned, *report, now); });
    }
}

// The gate counts the permits; the rebuild decides when the count is complete.
std::vector<queue_decision> admission_service::take_report(const endpoint_id& engine,
                                                           owned_engine& owned,
                                                           const held_report& report,
                                                           time_point now) const
{
    if (owned.rebuild.is_complete())
    {
        return {};
    }
    held_permits_answer answer;
    answer.from = report.from;
    answer.view_number = report.view_number;
    std::vector<held_permit> held;
    for (const reported_permit& permit : report.permits)
    {
        const permit_stamp stamp = make_stamp(engine, permit.held.key, permit.owner);
        answer.permits.push_back({stamp, report.from});
        held.push_back(permit.held);
    }
    if (report.handover)
    {
        answer.account = report.handover->account;
    }
    owned.rebuild.on_answer(answer, now);
    std::vector<queue_decision> decided = owned.gate.restore_permits(report.from.id, held, now);
    if (report.handover && report.handover->incarnation != 0)
    {
        owned.gate.restore_cache(report.handover->incarnation, report.handover->cache);
        if (report.handover->warm)
        {
            std::vector<queue_decision> more =
                owned.gate.mark_warm(report.handover->incarnation, now);
            decided.insert(decided.end(), more.begin(), more.end());
        }
    }
    return decided;
}

awaitable<void> admission_service::ask_reconcile(endpoint_id engine, router_id holder)
{
    const view_pointer present = cluster_.view_now();
    const member* who = present ? find_member(present->members, holder) : nullptr;
    if (who == nullptr)
    {
        co_return;
    }
    const time_point asked = node_.time.now();
    const result<held_report> report = co_await fetch_held(engine, *who, present->number);
    if (!report)
    {
        co_return;
    }
    std::vector<permit_key> keys;
    for (const reported_permit& permit : report->permits)
    {
        keys.push_back(permit.held.key);
    }
    with_gate(engine, [&](owned_engine& owned, time_point now)
              { return owned.gate.reconcile(holder, keys, asked, now); });
}

} // namespace endivestage::daemon
