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

struct tenure
{
    std::string holder;
    std::uint64_t fencing_token = 0;
};

std::string encode(const router_id& holder, std::uint64_t fencing_token, std::uint64_t write)
{
    return json::serialize(
        json::object{{"holder", holder.str()}, {"fencing", fencing_token}, {"write", write}});
}

/// \returns The tenure of a row; fencing 0 when there is no row or it is unreadable.
tenure decode(const table_row& row)
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

lease_manager::lease_manager(std::string key, router_id self, lease_config settings)
    : key_(std::move(key)),
      self_(std::move(self)),
      settings_(settings)
{
    assert(settings_.safety_margin < settings_.duration);
    assert(settings_.renewal_interval < settings_.duration - settings_.safety_margin);
}

std::optional<table_operation> lease_manager::tick(time_point now)
{
    if (held_from_ && !is_held(now))
    {
        held_from_.reset();
    }
    if (waiting_ != waiting::nothing || now < next_)
    {
        return std::nullopt;
    }
    if (unsettled_ || !seen_)
    {
        return read();
    }
    if (held_from_)
    {
        return write(fencing_, now);
    }
    if (may_take(now))
    {
        return write(std::max(decode(*seen_).fencing_token, fencing_) + 1, now);
    }
    return read();
}

void lease_manager::on_table_result(const table_result& answer, time_point now)
{
    assert(waiting_ != waiting::nothing);
    const bool was_write = std::exchange(waiting_, waiting::nothing) == waiting::write;
    next_ = now + settings_.renewal_interval;
    switch (answer.what)
    {
    case table_result::outcome::unavailable:
        next_ = now + settings_.renewal_interval / 4;
        return;
    case table_result::outcome::lost:
        unsettled_ = unsettled_ || was_write;
        next_ = now + settings_.renewal_interval / 4;
        return;
    case table_result::outcome::not_found:
        settle({key_, 0, {}}, now);
        return;
    case table_result::outcome::applied:
    case table_result::outcome::conflict:
        settle(answer.row, now);
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
    return *held_from_ + settings_.duration - settings_.safety_margin;
}

table_operation lease_manager::read()
{
    waiting_ = waiting::read;
    return {table_operation::kind::read, key_, 0, {}};
}

table_operation lease_manager::write(std::uint64_t fencing_token, time_point now)
{
    waiting_ = waiting::write;
    written_ = encode(self_, fencing_token, ++writes_);
    written_at_ = now;
    const table_operation::kind kind =
        seen_->version == 0 ? table_operation::kind::insert : table_operation::kind::replace;
    return {kind, key_, seen_->version, written_};
}

bool lease_manager::own(const table_row& row) const
{
    const tenure value = decode(row);
    return fencing_ != 0 && value.fencing_token == fencing_ && value.holder == self_.view();
}

bool lease_manager::may_take(time_point now) const
{
    // This router's own row names no other holder that could still act.
    return seen_->version == 0 || own(*seen_) ||
           now >= seen_since_ + settings_.duration + settings_.safety_margin;
}

void lease_manager::settle(const table_row& row, time_point now)
{
    unsettled_ = false;
    if (!seen_ || seen_->version != row.version)
    {
        seen_ = row;
        seen_since_ = now;
    }
    if (row.version > 0 && row.value == written_)
    {
        held_from_ = written_at_;
        fencing_ = decode(row).fencing_token;
    }
    else if (!own(row))
    {
        held_from_.reset();
    }
    if (!held_from_ && may_take(now))
    {
        next_ = now;
    }
}

} // namespace endivestage
