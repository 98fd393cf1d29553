/// \file
/// \brief Grouping of table operations into transactions.
#pragma once

#include <endivestage/core.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace endivestage
{

/// \brief An operation with the number by which its result is given back.
struct batched_operation
{
    std::uint64_t ticket = 0;
    table_operation operation;
};

/// \brief Collects operations until 64 are waiting or the first has waited 5 ms.
///
/// Each operation of a group succeeds or fails by its own condition. A group never holds two
/// operations on one row, because the condition of the second would depend on the first.
class write_batch
{
public:
    using group = std::vector<batched_operation>;

    /// \param max_size Operations per group; at least 1.
    /// \param max_wait Longest time that an operation waits for others.
    explicit write_batch(std::size_t max_size = 64, millis max_wait = millis{5});

    /// \brief Adds an operation.
    /// \returns A group to send now, when the addition filled one or the row was already in it.
    std::optional<group> add(std::uint64_t ticket, table_operation operation, time_point now);

    /// \returns The waiting group when its time has passed.
    std::optional<group> take_due(time_point now);

    /// \returns When take_due gives a group; nothing while no operation waits.
    std::optional<time_point> due_at() const;

private:
    bool holds(const std::string& key) const;
    group take();

    std::size_t max_size_;
    millis max_wait_;
    group waiting_;
    time_point first_;
};

} // namespace endivestage
