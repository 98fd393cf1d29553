#include <endivestage/serving/server.hpp>

#include <endivestage/daemon/logging.hpp>
#include <endivestage/serving/quarantine_rows.hpp>
#include <endivestage/serving/rollout_rows.hpp>
#include <endivestage/serving/version_rows.hpp>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

namespace endivestage::serving
{

namespace asio = boost::asio;
using daemon::awaitable;
using daemon::log_event;
using daemon::log_level;

namespace
{

void log_quarantine_write(std::string_view event, std::uint64_t part, std::error_code ec)
{
    if (ec)
    {
        log_event(log_level::warning, "quarantine_write_failed", {{"part", part}, ec});
        return;
    }
    log_event(log_level::info, event, {{"part", part}});
}

} // namespace

void server::apply_changes(shared_table table, std::span<const replicated_row> rows,
                           std::optional<time_point> rewritten_by)
{
    switch (table)
    {
    case shared_table::operations:
        apply_operations(rows);
        break;
    case shared_table::endpoints:
        apply_endpoints(rows, rewritten_by);
        break;
    case shared_table::routers:
        apply_routers(rows);
        break;
    }
}

// The routers' table also has records of quarantined parts, of roll-outs and of versions.
void server::apply_routers(std::span<const replicated_row> rows)
{
    std::vector<replicated_row> routers;
    for (const replicated_row& row : rows)
    {
        const std::optional<std::uint64_t> part = parse_quarantine_row_key(row.key);
        const std::optional<service_id> versions = parse_version_row_key(row.key);
        if (parse_rollout_row_key(row.key))
        {
            rollout_service_.apply_record(row, replication_->replica(shared_table::routers).era());
        }
        else if (versions)
        {
            apply_version_row(*versions, row);
        }
        else if (part)
        {
            apply_quarantine_row(*part, row);
        }
        else
        {
            routers.push_back(row);
        }
    }
    if (!routers.empty())
    {
        peer_service_->update(routers);
    }
}

void server::apply_quarantine_row(std::uint64_t part, const replicated_row& row)
{
    if (row.deleted)
    {
        quarantine_records_.record_erased(part);
        return;
    }
    const result<quarantine_record> record = decode_quarantine_row(part, row.data);
    if (!record)
    {
        log_event(log_level::warning, "row_unreadable", {{"table", "routers"}, {"key", row.key}});
        return;
    }
    quarantine_records_.record_stored(*record);
    // The record may have been written long ago, which its ages do not include: after a restart of
    // all routers a quarantine lasts longer than it would have, which is the safe side.
    for (const part_report& crash : record->crashes)
    {
        state_.announce(state_.quarantine.apply(crash, time_.now()));
    }
}

void server::write_quarantine_records(time_point now)
{
    if (stopping_)
    {
        return;
    }
    const std::vector<quarantine_record> known = state_.quarantine.records(now);
    const quarantine_writes writes =
        quarantine_records_.find_due(known, state_.routers.size(), now);
    for (const quarantine_record& record : writes.to_store)
    {
        asio::co_spawn(context_, store_quarantine(record), asio::detached);
    }
    for (const std::uint64_t part : writes.to_erase)
    {
        asio::co_spawn(context_, erase_quarantine(part), asio::detached);
    }
}

// A write that fails is tried again, by this router or by others.
awaitable<void> server::store_quarantine(quarantine_record record)
{
    std::string key = quarantine_row_key(record.part);
    std::string data = encode_quarantine_row(record);
    const std::error_code ec =
        co_await platform_.tables->write(shared_table::routers, std::move(key), std::move(data));
    log_quarantine_write("quarantine_stored", record.part, ec);
}

awaitable<void> server::erase_quarantine(std::uint64_t part)
{
    std::string key = quarantine_row_key(part);
    const std::error_code ec =
        co_await platform_.tables->erase(shared_table::routers, std::move(key));
    log_quarantine_write("quarantine_erased", part, ec);
}

void server::apply_operations(std::span<const replicated_row> rows)
{
    bool zones_changed = false;
    for (const replicated_row& row : rows)
    {
        const std::optional<zone_id> zone = platform_.records->decode_zone(row);
        if (zone)
        {
            zones_changed = true;
            if (row.deleted)
            {
                zones_out_of_service_.erase(*zone);
            }
            else
            {
                zones_out_of_service_.insert(*zone);
            }
            log_event(log_level::info, "zone_changed",
                      {{"zone", *zone}, {"in_service", row.deleted}});
            continue;
        }
        const std::optional<result<rollout_order>> rollout = platform_.records->decode_rollout(row);
        if (rollout)
        {
            apply_rollout_order(row, *rollout);
            continue;
        }
        std::optional<result<route_table>> routes = platform_.records->decode_routes(row);
        if (routes && *routes)
        {
            apply_routes(std::move(**routes));
        }
        else if (routes)
        {
            log_event(log_level::error, "configuration_refused",
                      {{"revision", row.revision}, routes->error()});
        }
    }
    if (zones_changed)
    {
        std::map<service_id, millis> cold_periods;
        if (state_.routes)
        {
            for (const service_profile& service : state_.routes->services())
            {
                cold_periods[service.name] = service.cold_period;
            }
        }
        state_.endpoints.set_out_of_service(zones_out_of_service_, time_.now(), cold_periods);
    }
}

void server::apply_rollout_order(const replicated_row& row, const result<rollout_order>& order)
{
    if (!order)
    {
        log_event(log_level::error, "rollout_refused", {{"key", row.key}, order.error()});
        return;
    }
    rollout_order positioned = *order;
    positioned.era = replication_->replica(shared_table::operations).era();
    positioned.row = positioned.identity();
    rollout_service_.apply_order(positioned, state_.lifecycle == lifecycle_state::starting);
}

void server::update_rollout_metrics()
{
    for (const std::pair<const service_id, rollout_record>& entry : state_.rollouts.records())
    {
        const traffic_rule* rule = state_.rollouts.rule(entry.first);
        state_.metrics.set_rollout(entry.first, rule != nullptr ? rule->new_share : 0.0);
    }
}

void server::start_rollouts()
{
    rollout_sources sources;
    sources.is_primary = [this]
    {
        return replication_->is_primary() && !stopping_;
    };
    sources.is_relaying = [this]
    {
        return replication_->is_relaying() || replication_->is_primary();
    };
    sources.copy_age = [this]
    {
        const std::optional<millis> operations = replication_->age(shared_table::operations);
        const std::optional<millis> endpoints = replication_->age(shared_table::endpoints);
        return operations && endpoints ? std::optional<millis>(std::max(*operations, *endpoints))
                                       : std::nullopt;
    };
    sources.send = [this](const router_id& relay, std::string_view counts)
    {
        peer_service_->send_rollout_counts(relay, counts);
    };
    peer_service_->on_rollout_counts([this](std::uint64_t relay, std::string_view counts)
                                     { rollout_service_.apply_relay_counts(relay, counts); });
    replication_->set_rollouts(rollout_service_);
    rollout_service_.start(std::move(sources));
}

void server::apply_endpoints(std::span<const replicated_row> rows,
                             std::optional<time_point> rewritten_by)
{
    const time_point now = time_.now();
    for (const replicated_row& row : rows)
    {
        const endpoint_id id(row.key);
        const endpoint_state* known = state_.endpoints.find(id);
        if (known != nullptr)
        {
            record_version(known->record);
        }
        if (row.deleted)
        {
            state_.endpoints.remove(id, now, rewritten_by);
            state_.prefixes.remove_engine(hash64(id.view()));
            const bool kept = state_.endpoints.find(id) != nullptr;
            log_event(log_level::info, "endpoint_removed",
                      {{"endpoint", id}, {"kept_ms", kept ? *rewritten_by - now : millis{0}}});
            continue;
        }
        const result<endpoint_record> record = platform_.records->decode_endpoint(row);
        if (!record)
        {
            state_.endpoints.remove(id, now);
            log_event(log_level::warning, "row_unreadable",
                      {{"table", "endpoints"}, {"key", row.key}});
            continue;
        }
        state_.endpoints.update(*record, now);
        record_version(*record);
        log_event(
            log_level::info, "endpoint_updated",
            {{"endpoint", id}, {"draining", record->draining}, {"cold_ms", record->cold_left}});
    }
}

void server::apply_part_report(const part_report& report)
{
    const time_point now = time_.now();
    const std::vector<prompt_part> parts{{report.part, 0}};
    const bool was_quarantined = state_.quarantine.contains(parts, now);
    state_.announce(state_.quarantine.apply(report, now));
    if (was_quarantined && !state_.quarantine.contains(parts, now))
    {
        log_event(log_level::info, "prompt_cleared", {{"part", report.part}});
    }
}

} // namespace endivestage::serving
