/// \file
/// \brief Grouping of table operations into transactions.
#pragma once

#include <endivestage/core.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace endivestage
{

/// \brief A table operation with a number that identifies it when its result arrives.
struct batched_operation
{
    std::uint64_t ticket = 0;
    table_operation operation;
};

/// \brief Collects operations until, by default, 64 are waiting or the first has waited 5 ms.
///
/// Each operation of a group succeeds or fails by its own condition. A group never includes two
/// operations on one row, because the condition of the second would depend on the first.
class write_batch
{
public:
    using group = std::vector<batched_operation>;

    /// \param max_size Maximum number of operations per group; at least 1.
    /// \param max_wait Maximum time that an operation waits for others.
    explicit write_batch(std::size_t max_size = 64, millis max_wait = millis{5});

    /// \brief Adds an operation.
    /// \returns A group to send now, if the operation filled it or if the waiting group already had
    /// an operation on the same row.
    std::optional<group> add(std::uint64_t ticket, table_operation operation, time_point now);

    /// \returns The waiting group if its first operation has waited long enough.
    std::optional<group> take_due(time_point now);

    /// \returns When take_due returns a group; nothing while no operation waits.
    std::optional<time_point> due_at() const;

private:
    bool contains(const std::string& key) const;
    group release_group();

    std::size_t max_size_;
    millis max_wait_;
    group waiting_;
    time_point first_added_at_;
};

} // namespace endivestage
