#include <endivestage/endpoint/lease.hpp>

#include <algorithm>
#include <boost/json.hpp>
#include <cassert>
#include <utility>

namespace endivestage
{

namespace
{

namespace json = boost::json;

struct lease_value
{
    std::string holder;
    std::uint64_t fencing_token = 0;
};

std::string encode(const router_id& holder, std::uint64_t fencing_token, std::uint64_t write)
{
    return json::serialize(
        json::object{{"holder", holder.str()}, {"fencing", fencing_token}, {"write", write}});
}

/// \returns The value of a row; with fencing token 0 when there is no row or it is malformed.
lease_value decode(const table_row& row)
{
    try
    {
        const json::value document = json::parse(row.value);
        return {json::value_to<std::string>(document.at("holder")),
                document.at("fencing").to_number<std::uint64_t>()};
    }
    catch (const std::exception&)
    {
        return {};
    }
}

} // namespace

lease_manager::lease_manager(std::string key, router_id self, lease_config config)
    : key_(std::move(key)),
      self_(std::move(self)),
      config_(config)
{
    assert(config_.safety_margin < config_.duration);
    assert(config_.renewal_interval < config_.duration - config_.safety_margin);
}

std::optional<table_operation> lease_manager::tick(time_point now)
{
    if (held_from_ && !is_held(now))
    {
        held_from_.reset();
    }
    if (pending_ != pending::none || now < next_operation_)
    {
        return std::nullopt;
    }
    if (write_outcome_unknown_ || !last_row_)
    {
        return read();
    }
    if (held_from_)
    {
        return write(fencing_token_, now);
    }
    if (can_acquire(now))
    {
        return write(std::max(decode(*last_row_).fencing_token, fencing_token_) + 1, now);
    }
    return read();
}

void lease_manager::on_table_result(const table_result& answer, time_point now)
{
    assert(pending_ != pending::none);
    const bool was_write = std::exchange(pending_, pending::none) == pending::write;
    next_operation_ = now + config_.renewal_interval;
    switch (answer.what)
    {
    case table_result::outcome::unavailable:
        next_operation_ = now + config_.renewal_interval / 4;
        return;
    case table_result::outcome::lost:
        write_outcome_unknown_ = write_outcome_unknown_ || was_write;
        next_operation_ = now + config_.renewal_interval / 4;
        return;
    case table_result::outcome::not_found:
        update({key_, 0, {}}, now);
        return;
    case table_result::outcome::applied:
    case table_result::outcome::conflict:
        update(answer.row, now);
        return;
    }
}

bool lease_manager::is_held(time_point now) const
{
    return held_from_ && now < expires_at();
}

time_point lease_manager::expires_at() const
{
    assert(held_from_);
    return *held_from_ + config_.duration - config_.safety_margin;
}

table_operation lease_manager::read()
{
    pending_ = pending::read;
    return {table_operation::kind::read, key_, 0, {}};
}

table_operation lease_manager::write(std::uint64_t fencing_token, time_point now)
{
    pending_ = pending::write;
    written_value_ = encode(self_, fencing_token, ++write_count_);
    written_at_ = now;
    const table_operation::kind kind =
        last_row_->version == 0 ? table_operation::kind::insert : table_operation::kind::replace;
    return {kind, key_, last_row_->version, written_value_};
}

bool lease_manager::is_own(const table_row& row) const
{
    const lease_value value = decode(row);
    return fencing_token_ != 0 && value.fencing_token == fencing_token_ &&
           value.holder == self_.view();
}

bool lease_manager::can_acquire(time_point now) const
{
    // This router's own row rules out another holder, so there is no lease to wait for.
    return last_row_->version == 0 || is_own(*last_row_) ||
           now >= version_seen_since_ + config_.duration + config_.safety_margin;
}

void lease_manager::update(const table_row& row, time_point now)
{
    write_outcome_unknown_ = false;
    if (!last_row_ || last_row_->version != row.version)
    {
        last_row_ = row;
        version_seen_since_ = now;
    }
    if (row.version > 0 && row.value == written_value_)
    {
        held_from_ = written_at_;
        fencing_token_ = decode(row).fencing_token;
    }
    else if (!is_own(row))
    {
        held_from_.reset();
    }
    if (!held_from_ && can_acquire(now))
    {
        next_operation_ = now;
    }
}

} // namespace endivestage
