#include <endivestage/serving/server.hpp>

#include <endivestage/daemon/logging.hpp>
#include <endivestage/serving/quarantine_rows.hpp>
#include <endivestage/serving/rollout_rows.hpp>
#include <endivestage/serving/version_rows.hpp>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <iterator>
#include <vector>

namespace endivestage::serving
{

using daemon::log_event;
using daemon::log_level;

namespace
{

/// \returns Whether the row is one of those that the fleet writes again from its memory, for which
/// it has to know what the table service has.
bool is_fleet_record(const replicated_row& row)
{
    return parse_quarantine_row_key(row.key) || parse_rollout_row_key(row.key) ||
           parse_version_row_key(row.key);
}

} // namespace

bool server::defer_if_leaving(const replicated_row& row)
{
    const endpoint_state* known = state_.endpoints.find(endpoint_id(row.key));
    if (known == nullptr || !known->record.draining || row.deleted)
    {
        return false;
    }
    const result<endpoint_record> record = platform_.records->decode_endpoint(row);
    if (!record || record->draining || record->started_at != known->record.started_at)
    {
        return false;
    }
    era_transition& era = eras_.at(shared_table::endpoints);
    era.defer(row, time_.now() + era.policy().returned_period);
    return true;
}

void server::enter_era(shared_table table, std::span<const replicated_row> rows,
                       time_point rewritten_by)
{
    const time_point now = time_.now();
    std::vector<replicated_row> fleet_records;
    std::vector<replicated_row> others;
    std::partition_copy(rows.begin(), rows.end(), std::back_inserter(fleet_records),
                        std::back_inserter(others),
                        [&](const replicated_row& row)
                        { return table == shared_table::routers && is_fleet_record(row); });
    era_transition& era = eras_.at(table);
    std::vector<replicated_row> believed = era.enter(others, now, rewritten_by);
    if (table == shared_table::endpoints)
    {
        std::erase_if(believed,
                      [this](const replicated_row& row) { return defer_if_leaving(row); });
    }
    if (era.deferred() > 0)
    {
        log_event(log_level::info, "era_rows_kept",
                  {{"table", to_string(table)}, {"rows", era.deferred()}});
    }
    believed.insert(believed.end(), fleet_records.begin(), fleet_records.end());
    apply_changes(table, believed, rewritten_by);
    if (table != shared_table::routers || stopping_ || !peer_service_)
    {
        return;
    }
    const std::string own = peer_service_->own_row();
    const bool stored = std::any_of(rows.begin(), rows.end(),
                                    [&](const replicated_row& row) {
                                        return row.key == settings_.name.view() && row.data == own;
                                    });
    if (!stored)
    {
        log_event(log_level::info, "router_row_rewritten", {});
        boost::asio::co_spawn(context_, announce_self(), boost::asio::detached);
    }
}

void server::apply_deferred_rows()
{
    for (const shared_table table : shared_tables)
    {
        const std::vector<replicated_row> due = eras_.at(table).take_due(time_.now());
        if (!due.empty())
        {
            apply_changes(table, due, std::nullopt);
        }
    }
}

} // namespace endivestage::serving
