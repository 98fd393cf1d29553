/// \file
/// \brief Load of an engine from permits and reports, without counting a request twice.
#pragma once

#include <endivestage/core.hpp>

#include <cstdint>
#include <deque>
#include <vector>

namespace endivestage::internal
{

/// \brief Adds up the outstanding permits and the reported load that belongs to no permit.
///
/// A report that was requested at time t shows the engine at an unknown time within
/// [t - lag, t + lag]; an answer that takes longer is not used. The permits outstanding at that
/// time are at most the peak of the permit count in this interval, so that only the part of the
/// reported load above the peak is unattributed. Requests that start or end within the lag are
/// therefore never counted twice.
///
/// Permits of a failed holder are orphaned: their requests may still run on the engine. They stay
/// in the count until a report of a time after the failure shows how many of them still run.
class load_account
{
public:
    /// \param lag Maximum time between the request for a report and the state that it shows.
    explicit load_account(millis lag) : lag_(lag) {}

    /// \returns Requests on the engine: permits, orphaned permits included, and unattributed load.
    std::uint32_t load() const { return count_ + unattributed(); }

    /// \returns Reported load that belongs to no counted permit.
    std::uint32_t unattributed() const;

    /// \brief Counts an issued permit.
    void add(time_point now);

    /// \brief Stops counting a permit that was returned.
    void remove(time_point now);

    /// \brief Counts permits of former owners that a holder announced during the rebuild.
    void restore(std::uint32_t permits, time_point now);

    /// \brief Marks permits whose holder failed.
    void orphan(std::uint32_t permits, time_point now);

    /// \brief Applies a load report.
    /// \param requests Running and waiting requests on the engine.
    /// \param requested_at Time at which the report was requested.
    /// \param visible Outstanding permits that are old enough for the report to show their requests
    /// if they run.
    /// \param first_complete Whether the report is the first one that shows the requests of all
    /// permits of former owners.
    void apply_report(std::uint32_t requests, time_point requested_at, std::uint32_t visible,
                      bool first_complete);

private:
    struct past_count
    {
        time_point end; // The count was valid until this time.
        std::uint32_t count = 0;
    };
    struct orphaned_permits
    {
        time_point since;
        std::uint32_t count = 0;
    };

    void set_count(std::uint32_t count, time_point now);
    void release_orphans(time_point requested_at);
    std::uint32_t peak_count(time_point from);

    millis lag_;
    std::uint32_t count_ = 0;
    std::deque<past_count> past_counts_; // Counts decrease from front to back.
    std::vector<orphaned_permits> orphans_;
    std::uint32_t reported_ = 0;
    std::uint32_t attributed_ = 0;
    bool has_report_ = false;
    // Load of permits of former owners. It never rises. It is kept apart from the peak because own
    // permits that are too young to appear in a report would otherwise hide it.
    std::uint32_t inherited_ = 0;
    std::uint32_t max_inherited_ = 0;
};

} // namespace endivestage::internal
