/// \file
/// \brief Load of an engine from permits and reports, without counting a request twice.
#pragma once

#include <endivestage/core.hpp>

#include <cstdint>
#include <deque>
#include <vector>

namespace endivestage::internal
{

/// \brief Counts permits and the reported load that no permit explains.
///
/// A report asked for at r shows the engine at an instant of [r - lag, r + lag]; an answer that
/// takes longer is not used. The permits that
/// were outstanding at that instant explain at most the largest permit count of this interval, so
/// only what a report shows above this largest count is unexplained. Requests that began or ended
/// within the lag are therefore never counted twice.
///
/// Permits of a dead holder may still run on the engine. They stay in the count until a report that
/// was taken after the death shows what is left of them.
class load_account
{
public:
    explicit load_account(millis lag) : lag_(lag) {}

    /// \returns Requests on the engine: permits, permits of dead holders, and unexplained load.
    std::uint32_t load() const { return count_ + unexplained(); }

    /// \returns Reported load that no permit explains.
    std::uint32_t unexplained() const;

    /// \brief Counts an issued permit.
    void add(time_point now);

    /// \brief Stops counting a permit that was returned.
    void remove(time_point now);

    /// \brief Counts permits issued earlier that were learned now, by a rebuild.
    void restore(std::uint32_t permits, time_point now);

    /// \brief Marks permits as held by nobody.
    void orphan(std::uint32_t permits, time_point now);

    /// \brief Takes over a report.
    /// \param requests Running and waiting requests on the engine.
    /// \param asked When the report was asked for.
    /// \param certain Outstanding permits that the report certainly shows if they run.
    /// \param foreign Whether the report is the first one that shows all permits of former owners.
    void apply_report(std::uint32_t requests, time_point asked, std::uint32_t certain,
                      bool foreign);

private:
    struct segment
    {
        time_point end; // The count was in force until this instant.
        std::uint32_t count = 0;
    };
    struct orphans
    {
        time_point since;
        std::uint32_t count = 0;
    };

    void change(std::uint32_t count, time_point now);
    void retire_orphans(time_point asked);
    std::uint32_t peak(time_point from);

    millis lag_;
    std::uint32_t count_ = 0;
    std::deque<segment> past_; // Counts fall from front to back.
    std::vector<orphans> orphans_;
    std::uint32_t reported_ = 0;
    std::uint32_t explained_ = 0;
    bool has_report_ = false;
    // Load of former owners' permits. It only falls, and own young permits must not hide it.
    std::uint32_t foreign_ = 0;
    std::uint32_t most_foreign_ = 0;
};

} // namespace endivestage::internal
