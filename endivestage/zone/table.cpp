#include <endivestage/zone/table.hpp>

#include <cassert>

namespace endivestage
{

std::vector<zone_action> zone_table::set(const zone_id& zone, zone_state state,
                                         std::string_view author, time_point now)
{
    assert(!zone.empty());
    entry& it = find_or_add(zone);
    it.value = {zone, it.value.counter + 1, state, std::string(author)};
    it.storage = zone_storage::not_stored;
    it.needs_store = true;
    std::vector<zone_action> actions{broadcast_zone{it.value}};
    store(it, actions, now);
    return actions;
}

std::vector<zone_action> zone_table::merge(const zone_register& value)
{
    entry& it = find_or_add(value.zone);
    if (!supersedes(value, it.value))
    {
        return {};
    }
    it.value = value;
    // A router with a pending store also stores the register that replaced it: the router that set
    // the newer register may have failed.
    it.storage = it.needs_store ? zone_storage::not_stored : zone_storage::unknown;
    return {broadcast_zone{value}};
}

std::vector<zone_action> zone_table::on_table_result(const zone_id& zone,
                                                     const table_result& answer, time_point now)
{
    entry& it = find_or_add(zone);
    assert(it.in_flight);
    it.in_flight = false;
    std::vector<zone_action> actions;
    switch (answer.what)
    {
    case table_result::outcome::unavailable:
        return actions;
    case table_result::outcome::lost:
        it.row_known = false;
        return actions;
    case table_result::outcome::not_found:
        apply_missing_row(it);
        break;
    case table_result::outcome::conflict:
        apply_row(it, answer.row, actions);
        break;
    case table_result::outcome::applied:
        apply_success(it, answer, actions);
        break;
    }
    store(it, actions, now);
    return actions;
}

std::vector<zone_action> zone_table::on_polled(const zone_id& zone, const table_row& row,
                                               time_point now)
{
    entry& it = find_or_add(zone);
    const bool outdated = it.row_known && row.version < it.row_version;
    std::vector<zone_action> actions;
    if (it.in_flight || outdated)
    {
        return actions;
    }
    if (row.version == 0)
    {
        apply_missing_row(it);
    }
    else
    {
        apply_row(it, row, actions);
    }
    store(it, actions, now);
    return actions;
}

std::vector<zone_action> zone_table::tick(time_point now)
{
    std::vector<zone_action> actions;
    for (auto& [zone, it] : entries_)
    {
        if (now - it.sent_at >= retry_interval_)
        {
            store(it, actions, now);
        }
    }
    return actions;
}

bool zone_table::in_service(const zone_id& zone) const
{
    const auto it = entries_.find(zone);
    return it == entries_.end() || it->second.value.state == zone_state::in_service;
}

zone_register zone_table::current(const zone_id& zone) const
{
    const auto it = entries_.find(zone);
    return it == entries_.end() ? zone_register{zone, 0, zone_state::in_service, {}}
                                : it->second.value;
}

std::vector<zone_register> zone_table::all() const
{
    std::vector<zone_register> registers;
    for (const auto& [zone, it] : entries_)
    {
        if (it.value.counter > 0)
        {
            registers.push_back(it.value);
        }
    }
    return registers;
}

zone_storage zone_table::storage(const zone_id& zone) const
{
    const auto it = entries_.find(zone);
    return it == entries_.end() ? zone_storage::unknown : it->second.storage;
}

zone_table::entry& zone_table::find_or_add(const zone_id& zone)
{
    entry& it = entries_[zone];
    it.value.zone = zone;
    return it;
}

void zone_table::apply_missing_row(entry& it)
{
    it.row_known = true;
    it.row_version = 0;
    it.needs_store = it.value.counter > 0;
    it.storage = it.needs_store ? zone_storage::not_stored : zone_storage::unknown;
}

void zone_table::apply_row(entry& it, const table_row& row, std::vector<zone_action>& actions)
{
    it.row_known = true;
    it.row_version = row.version;
    const result<zone_register> found = zone_register_from_json(row.value);
    const bool readable = found && found->zone == it.value.zone;
    if (readable && supersedes(*found, it.value))
    {
        it.value = *found;
        actions.emplace_back(broadcast_zone{*found});
    }
    it.needs_store = it.value.counter > 0 && !(readable && *found == it.value);
    it.storage = it.needs_store ? zone_storage::not_stored : zone_storage::stored;
}

void zone_table::apply_success(entry& it, const table_result& answer,
                               std::vector<zone_action>& actions)
{
    if (it.reading)
    {
        apply_row(it, answer.row, actions);
        return;
    }
    it.row_known = true;
    it.row_version = answer.row.version;
    it.needs_store = it.written != it.value;
    it.storage = it.needs_store ? zone_storage::not_stored : zone_storage::stored;
}

void zone_table::store(entry& it, std::vector<zone_action>& actions, time_point now)
{
    if (!it.needs_store || it.in_flight)
    {
        return;
    }
    table_operation operation;
    operation.key = zone_row_key(it.value.zone);
    it.reading = !it.row_known;
    if (it.row_known)
    {
        operation.what =
            it.row_version == 0 ? table_operation::kind::insert : table_operation::kind::replace;
        operation.expected_version = it.row_version;
        operation.value = to_json(it.value);
        it.written = it.value;
    }
    it.in_flight = true;
    it.sent_at = now;
    actions.emplace_back(call_zone_table{it.value.zone, std::move(operation)});
}

} // namespace endivestage
