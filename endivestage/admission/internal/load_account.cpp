#include <endivestage/admission/internal/load_account.hpp>

#include <algorithm>
#include <cassert>

namespace endivestage::internal
{

std::uint32_t load_account::unexplained() const
{
    return std::max(reported_ > explained_ ? reported_ - explained_ : 0, foreign_);
}

void load_account::add(time_point now)
{
    change(count_ + 1, now);
}

void load_account::remove(time_point now)
{
    assert(count_ > 0);
    change(count_ - 1, now);
}

void load_account::restore(std::uint32_t permits, time_point now)
{
    // They existed before the last report, which therefore shows them already.
    explained_ += permits;
    foreign_ -= std::min(foreign_, permits);
    most_foreign_ -= std::min(most_foreign_, permits);
    change(count_ + permits, now);
}

void load_account::orphan(std::uint32_t permits, time_point now)
{
    if (!has_report_)
    {
        change(count_ - permits, now);
        return;
    }
    orphans_.push_back({now, permits});
}

void load_account::apply_report(std::uint32_t requests, time_point asked, std::uint32_t certain,
                                bool foreign)
{
    retire_orphans(asked);
    has_report_ = true;
    reported_ = requests;
    explained_ = peak(asked - lag_);
    const std::uint32_t other = requests - std::min(requests, certain);
    most_foreign_ = foreign ? other : std::min(most_foreign_, other);
    foreign_ = most_foreign_;
}

void load_account::change(std::uint32_t count, time_point now)
{
    while (!past_.empty() && past_.back().count <= count_)
    {
        past_.pop_back();
    }
    past_.push_back({now, count_});
    // A report may be used until one lag after it was asked for.
    while (past_.front().end < now - lag_ * 2)
    {
        past_.pop_front();
    }
    count_ = count;
}

void load_account::retire_orphans(time_point asked)
{
    std::uint32_t retired = 0;
    std::erase_if(orphans_,
                  [&](const orphans& dead)
                  {
                      const bool shown = asked - lag_ >= dead.since;
                      retired += shown ? dead.count : 0;
                      return shown;
                  });
    count_ -= retired;
    // Counts in force since the death include the orphans; older ones are outside of the lag.
    std::erase_if(past_, [&](const segment& old) { return old.end < asked - lag_; });
    for (segment& old : past_)
    {
        old.count -= std::min(old.count, retired);
    }
}

std::uint32_t load_account::peak(time_point from)
{
    while (!past_.empty() && past_.front().end < from)
    {
        past_.pop_front();
    }
    return past_.empty() ? count_ : std::max(count_, past_.front().count);
}

} // namespace endivestage::internal
