#include <endivestage/serving/rollout_service.hpp>

#include <endivestage/daemon/json_access.hpp>
#include <endivestage/daemon/logging.hpp>
#include <endivestage/daemon/sleep.hpp>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

namespace endivestage::serving
{

namespace asio = boost::asio;
namespace json = boost::json;
using daemon::awaitable;
using daemon::log_event;
using daemon::log_level;

namespace
{

constexpr millis decision_interval{200};
/// A record that was written arrives through the table within this time; otherwise the write has
/// failed or its row was overtaken, and the next one finds out.
constexpr millis read_back_time{1000};
constexpr millis write_retry_delay{200};
/// Older copies may miss an order or a record; older sums of a relay may miss a fault.
constexpr millis max_evidence_age{2000};
/// Relays exchange counts five times a second.
constexpr millis relay_list_ttl{1000};

std::string_view to_progress(const rollout_record& record)
{
    return to_string(is_ended(record) ? record.phase : rollout_phase::serving);
}

rollout_config to_config(const server_bounds& bounds)
{
    rollout_config config;
    config.exposure_share = bounds.exposure_share;
    config.exposure_slack = bounds.exposure_slack;
    config.initial_share = std::min(config.initial_share, bounds.exposure_share / 2);
    return config;
}

} // namespace

rollout_service::rollout_service(asio::io_context& context, router_state& state,
                                 table_client& tables)
    : context_(context),
      state_(state),
      tables_(tables)
{
}

void rollout_service::start(rollout_sources sources)
{
    sources_ = std::move(sources);
    asio::co_spawn(context_, run(), asio::detached);
}

void rollout_service::apply_order(const rollout_order& order, bool starting)
{
    if (order.to.empty())
    {
        state_.rollouts.remove_order(order.service);
        progress_.erase(order.service);
        log_event(log_level::info, "rollout_order_removed", {{"service", order.service}});
        return;
    }
    if (!state_.rollouts.set_order(order))
    {
        return;
    }
    progress& begun = progress_[order.service];
    begun = progress{};
    begun.order = state_.rollouts.order(order.service)->identity();
    begun.first_seen = state_.time.now();
    begun.seen_at_start = starting;
    begun.controller = rollout_controller(to_config(state_.bounds));
    state_.rollout_evidence.erase(order.service);
    reported_.erase(order.service);
    log_event(log_level::info, "rollout_ordered",
              {{"service", order.service},
               {"to", order.to},
               {"order", order.revision},
               {"duration_ms", order.duration}});
}

void rollout_service::apply_record(const replicated_row& row, std::uint64_t era)
{
    const std::optional<service_id> service = parse_rollout_row_key(row.key);
    const rollout_record* known = service ? state_.rollouts.record(*service) : nullptr;
    if (row.deleted && known != nullptr && known->row_era < era)
    {
        state_.rollouts.record_missing(*service, {row.revision, era});
        return;
    }
    result<rollout_record> record = make_error_code(errc::invalid_request);
    if (service && !row.deleted)
    {
        record = decode_rollout_row(*service, row.data);
    }
    if (!record)
    {
        log_event(log_level::warning, "row_unreadable", {{"table", "routers"}, {"key", row.key}});
        return;
    }
    record->row_revision = row.revision;
    record->row_era = era;
    if (!state_.rollouts.set_record(*record))
    {
        return;
    }
    log_event(log_level::info, "rollout_phase",
              {{"service", record->service},
               {"to", record->to},
               {"order", record->order_revision},
               {"phase", to_string(record->phase)},
               {"announced", record->announced},
               {"share", record->share},
               {"reason", record->reason}});
}

rollout_service::progress* rollout_service::find(const service_id& service,
                                                 const table_position& order)
{
    const auto it = progress_.find(service);
    const bool known = it != progress_.end() && it->second.order == order;
    return known ? &it->second : nullptr;
}

bool rollout_service::is_active() const
{
    const std::map<service_id, rollout_order>& orders = state_.rollouts.orders();
    return std::any_of(orders.begin(), orders.end(),
                       [this](const std::pair<const service_id, rollout_order>& entry)
                       { return state_.rollouts.is_active(entry.first); });
}

std::string rollout_service::pending_report()
{
    if (!report_.empty() || state_.rollout_evidence.empty())
    {
        return report_;
    }
    json::array rollouts;
    for (const auto& [service, counts] : state_.rollout_evidence)
    {
        const rollout_order* order = state_.rollouts.order(service);
        if (order != nullptr)
        {
            rollouts.emplace_back(encode_rollout_counts({service, order->identity(), counts}));
        }
    }
    reported_ = std::exchange(state_.rollout_evidence, {});
    if (rollouts.empty())
    {
        reported_.clear();
        return {};
    }
    // Numbers of an earlier run of this router must not be taken for those of this one.
    const std::uint64_t now = static_cast<std::uint64_t>(state_.time.wall_now().since_epoch);
    report_number_ = std::max(report_number_ + 1, now);
    report_ = json::serialize(
        json::object{{"report", report_number_}, {"rollouts", std::move(rollouts)}});
    return report_;
}

void rollout_service::acknowledge_report()
{
    report_.clear();
    reported_.clear();
}

void rollout_service::apply_report(std::uint64_t router, const json::object& report)
{
    std::uint64_t& last = last_reports_[router];
    const std::uint64_t number = daemon::get_unsigned(report, "report");
    if (number == last)
    {
        return;
    }
    last = number;
    for (const json::value& entry : daemon::get_array(report, "rollouts"))
    {
        if (!entry.is_object())
        {
            continue;
        }
        const rollout_counts reported = decode_rollout_counts(entry.get_object());
        progress* known = find(reported.service, reported.order);
        if (known != nullptr)
        {
            add(known->group, reported.counts);
        }
    }
}

void rollout_service::apply_relay_counts(std::uint64_t relay, std::string_view text)
{
    const result<json::object> parsed = daemon::parse_json_object(text);
    if (!parsed)
    {
        return;
    }
    rollout_counts sums = decode_rollout_counts(*parsed);
    progress* known = find(sums.service, sums.order);
    if (known == nullptr)
    {
        return;
    }
    relay_counts& received = known->relays[relay];
    if (count_requests(sums.counts, false) < count_requests(received.latest, false))
    {
        // The relay has restarted. What it had counted before stays part of the evidence.
        add(received.earlier, received.latest);
    }
    received.latest = std::move(sums.counts);
    received.heard_at = state_.time.now();
}

void rollout_service::send_to_relay(const router_id& relay)
{
    sent_to_[hash64(relay.view())] = state_.time.now();
    for (const auto& [service, known] : progress_)
    {
        if (state_.rollouts.is_active(service))
        {
            sources_.send(
                relay, json::serialize(encode_rollout_counts({service, known.order, known.group})));
        }
    }
}

void rollout_service::collect()
{
    // A report that was sent but not acknowledged when this router became a relay is counted here.
    // At worst its relay has counted it too.
    for (const std::map<service_id, evidence_counts>* counted :
         {&reported_, &state_.rollout_evidence})
    {
        for (const auto& [service, counts] : *counted)
        {
            const auto it = progress_.find(service);
            if (it != progress_.end())
            {
                add(it->second.group, counts);
            }
        }
    }
    acknowledge_report();
    state_.rollout_evidence.clear();
}

awaitable<void> rollout_service::run()
{
    for (;;)
    {
        co_await daemon::sleep_for(decision_interval);
        if (!sources_.is_relaying())
        {
            continue;
        }
        collect();
        for (auto& [service, known] : progress_)
        {
            const rollout_order* order = state_.rollouts.order(service);
            if (order != nullptr && sources_.is_primary() &&
                (state_.rollouts.is_active(service) || state_.rollouts.is_lost(service)))
            {
                decide(*order, known);
            }
        }
    }
}

millis rollout_service::elapsed_since(const rollout_order& order, const progress& state) const
{
    const millis since_seen = state_.time.now() - state.first_seen;
    const rollout_record* record = state_.rollouts.record(order.service);
    if (!state.seen_at_start || record == nullptr || record->order_identity() != order.identity())
    {
        return since_seen;
    }
    return std::max(since_seen, state_.time.wall_now() - record->ordered_at);
}

evidence_counts rollout_service::sum(const progress& state) const
{
    evidence_counts all = state.group;
    for (const auto& [relay, received] : state.relays)
    {
        add(all, received.latest);
        add(all, received.earlier);
    }
    return all;
}

bool rollout_service::hears_relays(const progress& state) const
{
    const time_point now = state_.time.now();
    return std::all_of(sent_to_.begin(), sent_to_.end(),
                       [&](const std::pair<const std::uint64_t, time_point>& relay)
                       {
                           const auto it = state.relays.find(relay.first);
                           return now - relay.second > relay_list_ttl ||
                                  (it != state.relays.end() &&
                                   now - it->second.heard_at <= max_evidence_age);
                       });
}

rollout_observation rollout_service::observe(const rollout_order& order,
                                             const progress& state) const
{
    rollout_observation observed;
    observed.counts = sum(state);
    observed.elapsed = elapsed_since(order, state);
    if (state_.routes)
    {
        for (const route& candidate : state_.routes->routes())
        {
            for (const route_target& target : candidate.targets)
            {
                if (target.service == order.service)
                {
                    observed.longest_request =
                        std::max(observed.longest_request, candidate.timeout);
                }
            }
        }
    }
    const traffic_rule* rule = state_.rollouts.rule(order.service);
    for (const endpoint_state* endpoint :
         state_.endpoints.available(order.service, state_.time.now()))
    {
        const std::string& version = endpoint->record.version;
        observed.new_endpoints += version == order.to ? 1 : 0;
        observed.old_endpoints +=
            version != order.to && rule != nullptr && allows(*rule, version) ? 1 : 0;
    }
    const std::optional<millis> age = sources_.copy_age();
    observed.current = age && *age <= max_evidence_age && hears_relays(state);
    return observed;
}

void rollout_service::decide(const rollout_order& order, progress& state)
{
    const time_point now = state_.time.now();
    const rollout_record* stored = state_.rollouts.record(order.service);
    const table_position row = stored != nullptr
                                   ? table_position{stored->row_revision, stored->row_era}
                                   : table_position{};
    if (state.writing || (now < state.next_write_at && row == state.written_over))
    {
        return;
    }
    const bool begun = stored != nullptr && stored->order_identity() == order.identity();
    const rollout_record current =
        begun ? *stored : begin_rollout(order, stored, state_.time.wall_now());
    std::optional<rollout_record> next =
        state_.rollouts.is_lost(order.service)
            ? current
            : state.controller.decide(order, current, observe(order, state), now);
    if (next)
    {
        state.writing = true;
        state.written_over = row;
        asio::co_spawn(context_, write(order, std::move(*next)), asio::detached);
    }
}

awaitable<void> rollout_service::write(rollout_order order, rollout_record next)
{
    rollout_write change;
    change.service = order.service;
    change.order = order.row;
    change.known_record = {next.row_revision, next.row_era};
    change.record_key = rollout_row_key(order.service);
    change.record = encode_rollout_row(next);
    change.to = order.to;
    change.progress = to_progress(next);
    const std::error_code ec = co_await tables_.write_rollout(std::move(change));
    state_.metrics.record_rollout_write(!ec);
    if (ec)
    {
        log_event(log_level::warning, "rollout_write_failed",
                  {{"service", order.service}, {"phase", to_string(next.phase)}, ec});
    }
    progress* known = find(order.service, order.identity());
    if (known != nullptr)
    {
        known->writing = false;
        known->next_write_at = state_.time.now() + (ec ? write_retry_delay : read_back_time);
    }
}

std::string rollout_service::describe() const
{
    json::array rollouts;
    for (const auto& [service, record] : state_.rollouts.records())
    {
        const rollout_order* order = state_.rollouts.order(service);
        const auto it = progress_.find(service);
        json::object shown{
            {"service", service.view()},
            {"to", record.to},
            {"state", to_progress(record)},
            {"phase", to_string(record.phase)},
            {"share", record.share},
            {"reason", record.reason},
            {"order", record.order_revision},
            {"ordered", order != nullptr && order->identity() == record.order_identity()}};
        if (it != progress_.end() && sources_.is_primary && sources_.is_primary())
        {
            const evidence_counts counts = sum(it->second);
            shown["requests"] = count_requests(counts, false);
            shown["new_requests"] = count_requests(counts, true);
        }
        rollouts.emplace_back(std::move(shown));
    }
    for (const auto& [service, order] : state_.rollouts.orders())
    {
        const rollout_record* record = state_.rollouts.record(service);
        if (record == nullptr || record->order_identity() < order.identity())
        {
            rollouts.emplace_back(json::object{{"service", service.view()},
                                               {"to", order.to},
                                               {"state", "waiting"},
                                               {"order", order.revision},
                                               {"ordered", true}});
        }
    }
    return json::serialize(json::object{{"rollouts", std::move(rollouts)}});
}

} // namespace endivestage::serving
