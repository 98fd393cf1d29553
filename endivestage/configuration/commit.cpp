#include <endivestage/configuration/commit.hpp>

#include <endivestage/configuration/serialize.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace endivestage
{

namespace
{

const configuration_commit_entry* find_apply(const configuration_record& record,
                                             const std::string& apply)
{
    const auto it = std::find_if(record.entries.begin(), record.entries.end(),
                                 [&apply](const configuration_commit_entry& entry)
                                 { return entry.apply_id == apply; });
    return it == record.entries.end() ? nullptr : &*it;
}

const configuration_commit_entry* find_version(const configuration_record& record,
                                               std::uint64_t version)
{
    const auto it = std::find_if(record.entries.begin(), record.entries.end(),
                                 [version](const configuration_commit_entry& entry)
                                 { return entry.stamp.version == version; });
    return it == record.entries.end() ? nullptr : &*it;
}

result<configuration_record> read_record(const table_row& row)
{
    return row.version == 0 ? configuration_record() : configuration_record_from_json(row.value);
}

} // namespace

configuration_commit::configuration_commit(configuration_commit_request apply)
    : apply_(std::move(apply))
{
    assert(!apply_.apply_id.empty());
    assert(apply_.max_attempts > 0);
}

commit_action configuration_commit::start()
{
    assert(step_ == step::created);
    attempts_left_ = apply_.max_attempts - 1;
    return read_row(step::reading, {});
}

commit_action configuration_commit::on_body_stored(bool stored)
{
    assert(step_ == step::storing);
    if (stored)
    {
        attempts_left_ = apply_.max_attempts - 1;
        return write_row({});
    }
    return spend_attempt() ? write_body(apply_.retry_delay) : finish(errc::store_unavailable);
}

commit_action configuration_commit::on_table_result(const table_result& answer)
{
    switch (step_)
    {
    case step::reading:
        return on_read(answer);
    case step::writing:
        return on_write(answer);
    default:
        assert(step_ == step::settling);
        return on_settling_read(answer);
    }
}

commit_action configuration_commit::on_read(const table_result& answer)
{
    switch (answer.what)
    {
    case table_result::outcome::applied:
        return prepare(answer.row);
    case table_result::outcome::not_found:
        return prepare({});
    default:
        return spend_attempt() ? read_row(step::reading, apply_.retry_delay)
                               : finish(errc::store_unavailable);
    }
}

commit_action configuration_commit::prepare(const table_row& row)
{
    const result<configuration_record> record = read_record(row);
    if (!record)
    {
        return finish(errc::invalid_configuration);
    }
    const std::uint64_t present = record->current().version;
    if (apply_.base_version && *apply_.base_version != present)
    {
        return finish_conflict(record->entries.empty() ? configuration_commit_entry()
                                                       : record->entries.front());
    }
    apply_.configuration.version = present + 1;
    body_ = to_json(apply_.configuration);
    stamp_ = {present + 1, configuration_digest(body_)};
    configuration_record next = *record;
    next.entries.insert(next.entries.begin(), {stamp_, apply_.author, apply_.apply_id});
    next.entries.resize(std::min(next.entries.size(), configuration_record::max_entries));
    const table_operation::kind kind =
        row.version == 0 ? table_operation::kind::insert : table_operation::kind::replace;
    write_ = {kind, std::string(configuration_row_key), row.version, to_json(next)};
    attempts_left_ = apply_.max_attempts - 1;
    return write_body({});
}

commit_action configuration_commit::on_write(const table_result& answer)
{
    switch (answer.what)
    {
    case table_result::outcome::applied:
        return finish(errc::ok);
    case table_result::outcome::conflict:
        return settle(answer.row);
    case table_result::outcome::unavailable:
        return spend_attempt() ? write_row(apply_.retry_delay) : finish(failure_code());
    case table_result::outcome::not_found:
        return read_row(step::settling, {});
    case table_result::outcome::lost:
        break;
    }
    maybe_written_ = true;
    return spend_attempt() ? read_row(step::settling, {}) : finish(failure_code());
}

commit_action configuration_commit::on_settling_read(const table_result& answer)
{
    switch (answer.what)
    {
    case table_result::outcome::applied:
        return settle(answer.row);
    case table_result::outcome::not_found:
        return settle({});
    default:
        return spend_attempt() ? read_row(step::settling, apply_.retry_delay)
                               : finish(failure_code());
    }
}

commit_action configuration_commit::settle(const table_row& row)
{
    const result<configuration_record> record = read_record(row);
    if (!record)
    {
        return finish(errc::invalid_configuration);
    }
    if (find_apply(*record, apply_.apply_id) != nullptr)
    {
        commit_action action = finish(errc::ok);
        std::get<commit_finished>(action).superseded = record->current() != stamp_;
        return action;
    }
    if (record->current().version < stamp_.version)
    {
        // The lost write may still arrive. Its condition and that of the repeated one are the
        // same, so at most one of them takes effect.
        return spend_attempt() ? write_row(apply_.retry_delay) : finish(failure_code());
    }
    const configuration_commit_entry* rival = find_version(*record, stamp_.version);
    if (rival == nullptr && maybe_written_)
    {
        return finish(errc::outcome_unknown);
    }
    return finish_conflict(rival == nullptr ? record->entries.front() : *rival);
}

commit_action configuration_commit::read_row(step next, millis delay)
{
    step_ = next;
    return call_table{{table_operation::kind::read, std::string(configuration_row_key), 0, {}},
                      delay};
}

commit_action configuration_commit::write_body(millis delay)
{
    step_ = step::storing;
    return store_body{stamp_.digest, body_, delay};
}

commit_action configuration_commit::write_row(millis delay)
{
    step_ = step::writing;
    return call_table{write_, delay};
}

commit_action configuration_commit::finish(errc code)
{
    step_ = step::finished;
    return commit_finished{code, stamp_, {}, false};
}

commit_action
configuration_commit::finish_conflict(const configuration_commit_entry& conflicting_commit)
{
    step_ = step::finished;
    return commit_finished{errc::conflict, stamp_, conflicting_commit, false};
}

bool configuration_commit::spend_attempt()
{
    if (attempts_left_ == 0)
    {
        return false;
    }
    --attempts_left_;
    return true;
}

errc configuration_commit::failure_code() const
{
    return maybe_written_ ? errc::outcome_unknown : errc::store_unavailable;
}

} // namespace endivestage
