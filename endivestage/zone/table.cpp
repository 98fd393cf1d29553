#include <endivestage/zone/table.hpp>

#include <cassert>

namespace endivestage
{

std::vector<zone_action> zone_table::set(const zone_id& zone, zone_state state,
                                         std::string_view author, time_point now)
{
    assert(!zone.empty());
    slot& entry = slot_of(zone);
    entry.value = {zone, entry.value.counter + 1, state, std::string(author)};
    entry.storage = zone_storage::not_stored;
    entry.must_store = true;
    std::vector<zone_action> actions{broadcast_zone{entry.value}};
    store(entry, actions, now);
    return actions;
}

std::vector<zone_action> zone_table::merge(const zone_register& value)
{
    slot& entry = slot_of(value.zone);
    if (!supersedes(value, entry.value))
    {
        return {};
    }
    entry.value = value;
    // A router that already had something to store also stores what replaced it: the author of the
    // newer register may be gone.
    entry.storage = entry.must_store ? zone_storage::not_stored : zone_storage::unknown;
    return {broadcast_zone{value}};
}

std::vector<zone_action> zone_table::on_table_result(const zone_id& zone,
                                                     const table_result& answer, time_point now)
{
    slot& entry = slot_of(zone);
    assert(entry.in_flight);
    entry.in_flight = false;
    std::vector<zone_action> actions;
    switch (answer.what)
    {
    case table_result::outcome::unavailable:
        return actions;
    case table_result::outcome::lost:
        entry.row_known = false;
        return actions;
    case table_result::outcome::not_found:
        learn_absence(entry);
        break;
    case table_result::outcome::conflict:
        learn_row(entry, answer.row, actions);
        break;
    case table_result::outcome::applied:
        on_applied(entry, answer, actions);
        break;
    }
    store(entry, actions, now);
    return actions;
}

std::vector<zone_action> zone_table::on_polled(const zone_id& zone, const table_row& row,
                                               time_point now)
{
    slot& entry = slot_of(zone);
    const bool outdated = entry.row_known && row.version < entry.row_version;
    std::vector<zone_action> actions;
    if (entry.in_flight || outdated)
    {
        return actions;
    }
    if (row.version == 0)
    {
        learn_absence(entry);
    }
    else
    {
        learn_row(entry, row, actions);
    }
    store(entry, actions, now);
    return actions;
}

std::vector<zone_action> zone_table::tick(time_point now)
{
    std::vector<zone_action> actions;
    for (auto& [zone, entry] : slots_)
    {
        if (now - entry.sent >= retry_)
        {
            store(entry, actions, now);
        }
    }
    return actions;
}

bool zone_table::in_service(const zone_id& zone) const
{
    const auto it = slots_.find(zone);
    return it == slots_.end() || it->second.value.state == zone_state::in_service;
}

zone_register zone_table::current(const zone_id& zone) const
{
    const auto it = slots_.find(zone);
    return it == slots_.end() ? zone_register{zone, 0, zone_state::in_service, {}}
                              : it->second.value;
}

std::vector<zone_register> zone_table::all() const
{
    std::vector<zone_register> registers;
    for (const auto& [zone, entry] : slots_)
    {
        if (entry.value.counter > 0)
        {
            registers.push_back(entry.value);
        }
    }
    return registers;
}

zone_storage zone_table::storage(const zone_id& zone) const
{
    const auto it = slots_.find(zone);
    return it == slots_.end() ? zone_storage::unknown : it->second.storage;
}

zone_table::slot& zone_table::slot_of(const zone_id& zone)
{
    slot& entry = slots_[zone];
    entry.value.zone = zone;
    return entry;
}

void zone_table::learn_absence(slot& entry)
{
    entry.row_known = true;
    entry.row_version = 0;
    entry.must_store = entry.value.counter > 0;
    entry.storage = entry.must_store ? zone_storage::not_stored : zone_storage::unknown;
}

void zone_table::learn_row(slot& entry, const table_row& row, std::vector<zone_action>& actions)
{
    entry.row_known = true;
    entry.row_version = row.version;
    const result<zone_register> found = zone_register_from_json(row.value);
    const bool readable = found && found->zone == entry.value.zone;
    if (readable && supersedes(*found, entry.value))
    {
        entry.value = *found;
        actions.emplace_back(broadcast_zone{*found});
    }
    entry.must_store = entry.value.counter > 0 && !(readable && *found == entry.value);
    entry.storage = entry.must_store ? zone_storage::not_stored : zone_storage::stored;
}

void zone_table::on_applied(slot& entry, const table_result& answer,
                            std::vector<zone_action>& actions)
{
    if (entry.reading)
    {
        learn_row(entry, answer.row, actions);
        return;
    }
    entry.row_known = true;
    entry.row_version = answer.row.version;
    entry.must_store = entry.written != entry.value;
    entry.storage = entry.must_store ? zone_storage::not_stored : zone_storage::stored;
}

void zone_table::store(slot& entry, std::vector<zone_action>& actions, time_point now)
{
    if (!entry.must_store || entry.in_flight)
    {
        return;
    }
    table_operation operation;
    operation.key = zone_row_key(entry.value.zone);
    entry.reading = !entry.row_known;
    if (entry.row_known)
    {
        operation.what =
            entry.row_version == 0 ? table_operation::kind::insert : table_operation::kind::replace;
        operation.expected_version = entry.row_version;
        operation.value = to_json(entry.value);
        entry.written = entry.value;
    }
    entry.in_flight = true;
    entry.sent = now;
    actions.emplace_back(call_zone_table{entry.value.zone, std::move(operation)});
}

} // namespace endivestage
