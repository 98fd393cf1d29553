#include <endivestage/admission/internal/load_account.hpp>

#include <algorithm>
#include <cassert>

namespace endivestage::internal
{

std::uint32_t load_account::unattributed() const
{
    return std::max(reported_ > attributed_ ? reported_ - attributed_ : 0, inherited_);
}

void load_account::add(time_point now)
{
    set_count(count_ + 1, now);
}

void load_account::remove(time_point now)
{
    assert(count_ > 0);
    set_count(count_ - 1, now);
}

void load_account::restore(std::uint32_t permits, time_point now)
{
    // The permits were issued before the last report was requested, which shows their requests.
    attributed_ += permits;
    inherited_ -= std::min(inherited_, permits);
    max_inherited_ -= std::min(max_inherited_, permits);
    set_count(count_ + permits, now);
}

void load_account::orphan(std::uint32_t permits, time_point now)
{
    if (!has_report_)
    {
        set_count(count_ - permits, now);
        return;
    }
    orphans_.push_back({now, permits});
}

void load_account::apply_report(std::uint32_t requests, time_point requested_at,
                                std::uint32_t visible, bool first_complete)
{
    release_orphans(requested_at);
    has_report_ = true;
    reported_ = requests;
    attributed_ = peak_count(requested_at - lag_);
    const std::uint32_t excess = requests - std::min(requests, visible);
    max_inherited_ = first_complete ? excess : std::min(max_inherited_, excess);
    inherited_ = max_inherited_;
}

void load_account::set_count(std::uint32_t count, time_point now)
{
    while (!past_counts_.empty() && past_counts_.back().count <= count_)
    {
        past_counts_.pop_back();
    }
    past_counts_.push_back({now, count_});
    // A report is used until one lag after its request, and shows a state up to one lag before it.
    while (past_counts_.front().end < now - lag_ * 2)
    {
        past_counts_.pop_front();
    }
    count_ = count;
}

void load_account::release_orphans(time_point requested_at)
{
    std::uint32_t released = 0;
    std::erase_if(orphans_,
                  [&](const orphaned_permits& orphaned)
                  {
                      const bool is_shown = requested_at - lag_ >= orphaned.since;
                      released += is_shown ? orphaned.count : 0;
                      return is_shown;
                  });
    count_ -= released;
    // Counts since the failure include the orphaned permits; older counts are outside of the lag.
    std::erase_if(past_counts_,
                  [&](const past_count& old) { return old.end < requested_at - lag_; });
    for (past_count& old : past_counts_)
    {
        old.count -= std::min(old.count, released);
    }
}

std::uint32_t load_account::peak_count(time_point from)
{
    while (!past_counts_.empty() && past_counts_.front().end < from)
    {
        past_counts_.pop_front();
    }
    return past_counts_.empty() ? count_ : std::max(count_, past_counts_.front().count);
}

} // namespace endivestage::internal
