/// \file
/// \brief Which rows of a restored table service are believed.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/replication/table_replica.hpp>

#include <map>
#include <span>
#include <string>
#include <vector>

namespace endivestage
{

/// \brief What a router goes on to believe about a table when the service loses its latest changes.
struct era_policy
{
    /// Rows that the service has lost count as present until their writers have written them again.
    bool keeps_missing = false;
    /// Rows that were deleted lately and are back count as deleted for this time; 0 for none.
    millis returned_period{0};
};

/// \brief Follows the rows of one table across a restore of the table service from an older copy.
///
/// Failure: the first batch of an era shows the table as it was some time ago. What was written
/// since is written again by its writers, and a router that believed the batch meanwhile would undo
/// what it has acted on. Changes within the era are believed at once.
class era_transition
{
public:
    explicit era_transition(era_policy policy = {}) : policy_(policy) {}

    /// \brief Records changes within an era. They end what was believed against the service.
    void record_changes(std::span<const replicated_row> rows, time_point now);

    /// \brief Enters an era.
    /// \param rows All changes by its first batch, see table_replica::apply.
    /// \param rewritten_by When the writers have written lost rows again.
    /// \returns The rows to be applied now; \ref take_due returns the others.
    std::vector<replicated_row> enter(std::span<const replicated_row> rows, time_point now,
                                      time_point rewritten_by);

    /// \brief Applies a row later unless its key is written before.
    void defer(const replicated_row& row, time_point until) { deferred_[row.key] = {row, until}; }

    /// \returns Rows to be applied now, since the service has not changed them in the meantime.
    std::vector<replicated_row> take_due(time_point now);

    /// \returns Number of rows that are not applied yet.
    std::size_t deferred() const { return deferred_.size(); }

    const era_policy& policy() const { return policy_; }

private:
    /// \brief A row of the service that is not believed yet.
    struct deferred_row
    {
        replicated_row row;
        time_point until;
    };

    /// Copies are some seconds old.
    static constexpr millis deletion_memory{30000};

    void expire(time_point now);

    era_policy policy_;
    std::map<std::string, deferred_row, std::less<>> deferred_;
    std::map<std::string, time_point, std::less<>> deleted_at_;
};

} // namespace endivestage
