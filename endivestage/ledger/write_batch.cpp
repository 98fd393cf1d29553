#include <endivestage/ledger/write_batch.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace endivestage
{

write_batch::write_batch(std::size_t max_size, millis max_wait)
    : max_size_(max_size),
      max_wait_(max_wait)
{
    assert(max_size > 0);
}

std::optional<write_batch::group> write_batch::add(std::uint64_t ticket, table_operation operation,
                                                   time_point now)
{
    std::optional<group> full;
    if (holds(operation.key))
    {
        full = take();
    }
    if (waiting_.empty())
    {
        first_ = now;
    }
    waiting_.push_back({ticket, std::move(operation)});
    // After a row repeated, the new group has one operation; it fills at once only for size 1, and
    // then no group can hold a row yet.
    if (!full && waiting_.size() >= max_size_)
    {
        full = take();
    }
    return full;
}

std::optional<write_batch::group> write_batch::take_due(time_point now)
{
    if (waiting_.empty() || now < first_ + max_wait_)
    {
        return std::nullopt;
    }
    return take();
}

std::optional<time_point> write_batch::due_at() const
{
    return waiting_.empty() ? std::nullopt : std::optional<time_point>(first_ + max_wait_);
}

bool write_batch::holds(const std::string& key) const
{
    return std::any_of(waiting_.begin(), waiting_.end(),
                       [&](const batched_operation& it) { return it.operation.key == key; });
}

write_batch::group write_batch::take()
{
    return std::exchange(waiting_, {});
}

} // namespace endivestage
