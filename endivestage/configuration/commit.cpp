#include <endivestage/configuration/commit.hpp>

#include <endivestage/configuration/serialize.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace endivestage
{

namespace
{

const configuration_commit_entry* find_by_apply_id(const configuration_record& record,
                                                   const std::string& apply_id)
{
    const auto it = std::find_if(record.entries.begin(), record.entries.end(),
                                 [&apply_id](const configuration_commit_entry& entry)
                                 { return entry.apply_id == apply_id; });
    return it == record.entries.end() ? nullptr : &*it;
}

const configuration_commit_entry* find_by_version(const configuration_record& record,
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

configuration_commit::configuration_commit(configuration_commit_request request)
    : request_(std::move(request))
{
    assert(!request_.apply_id.empty());
    assert(request_.max_attempts > 0);
}

commit_action configuration_commit::start()
{
    assert(step_ == step::created);
    attempts_left_ = request_.max_attempts - 1;
    return read_row(step::reading, {});
}

commit_action configuration_commit::on_body_stored(bool stored)
{
    assert(step_ == step::storing);
    if (stored)
    {
        attempts_left_ = request_.max_attempts - 1;
        return write_row({});
    }
    return consume_attempt() ? write_body(request_.retry_delay) : finish(errc::store_unavailable);
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
        assert(step_ == step::resolving);
        return on_resolving_read(answer);
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
        return consume_attempt() ? read_row(step::reading, request_.retry_delay)
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
    const std::uint64_t current_version = record->current().version;
    if (request_.base_version && *request_.base_version != current_version)
    {
        return finish_conflict(record->entries.empty() ? configuration_commit_entry()
                                                       : record->entries.front());
    }
    request_.configuration.version = current_version + 1;
    body_ = to_json(request_.configuration);
    stamp_ = {current_version + 1, configuration_digest(body_)};
    configuration_record next = *record;
    next.entries.insert(next.entries.begin(), {stamp_, request_.author, request_.apply_id});
    next.entries.resize(std::min(next.entries.size(), configuration_record::max_entries));
    const table_operation::kind kind =
        row.version == 0 ? table_operation::kind::insert : table_operation::kind::replace;
    row_write_ = {kind, std::string(configuration_row_key), row.version, to_json(next)};
    attempts_left_ = request_.max_attempts - 1;
    return write_body({});
}

commit_action configuration_commit::on_write(const table_result& answer)
{
    switch (answer.what)
    {
    case table_result::outcome::applied:
        return finish(errc::ok);
    case table_result::outcome::conflict:
        return resolve(answer.row);
    case table_result::outcome::unavailable:
        return consume_attempt() ? write_row(request_.retry_delay) : finish(failure_code());
    case table_result::outcome::not_found:
        return read_row(step::resolving, {});
    case table_result::outcome::lost:
        break;
    }
    may_be_written_ = true;
    return consume_attempt() ? read_row(step::resolving, {}) : finish(failure_code());
}

commit_action configuration_commit::on_resolving_read(const table_result& answer)
{
    switch (answer.what)
    {
    case table_result::outcome::applied:
        return resolve(answer.row);
    case table_result::outcome::not_found:
        return resolve({});
    default:
        return consume_attempt() ? read_row(step::resolving, request_.retry_delay)
                                 : finish(failure_code());
    }
}

commit_action configuration_commit::resolve(const table_row& row)
{
    const result<configuration_record> record = read_record(row);
    if (!record)
    {
        return finish(errc::invalid_configuration);
    }
    if (find_by_apply_id(*record, request_.apply_id) != nullptr)
    {
        commit_action action = finish(errc::ok);
        std::get<commit_finished>(action).superseded = record->current() != stamp_;
        return action;
    }
    if (record->current().version < stamp_.version)
    {
        // The lost write may still reach the table. The retry has the same expected version, so at
        // most one of the two takes effect.
        return consume_attempt() ? write_row(request_.retry_delay) : finish(failure_code());
    }
    const configuration_commit_entry* concurrent_commit = find_by_version(*record, stamp_.version);
    if (concurrent_commit == nullptr && may_be_written_)
    {
        return finish(errc::outcome_unknown);
    }
    return finish_conflict(concurrent_commit == nullptr ? record->entries.front()
                                                        : *concurrent_commit);
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
    return call_table{row_write_, delay};
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

bool configuration_commit::consume_attempt()
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
    return may_be_written_ ? errc::outcome_unknown : errc::store_unavailable;
}

} // namespace endivestage
