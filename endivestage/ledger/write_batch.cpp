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
    std::optional<group> ready;
    if (contains(operation.key))
    {
        ready = release_group();
    }
    if (waiting_.empty())
    {
        first_added_at_ = now;
    }
    waiting_.push_back({ticket, std::move(operation)});
    // If the row was already in the waiting group, the new group has one operation. That fills a
    // group only if max_size_ is 1, but then no group can have been waiting.
    if (!ready && waiting_.size() >= max_size_)
    {
        ready = release_group();
    }
    return ready;
}

std::optional<write_batch::group> write_batch::take_due(time_point now)
{
    if (waiting_.empty() || now < first_added_at_ + max_wait_)
    {
        return std::nullopt;
    }
    return release_group();
}

std::optional<time_point> write_batch::due_at() const
{
    return waiting_.empty() ? std::nullopt : std::optional<time_point>(first_added_at_ + max_wait_);
}

bool write_batch::contains(const std::string& key) const
{
    return std::any_of(waiting_.begin(), waiting_.end(),
                       [&](const batched_operation& it) { return it.operation.key == key; });
}

write_batch::group write_batch::release_group()
{
    return std::exchange(waiting_, {});
}

} // namespace endivestage
