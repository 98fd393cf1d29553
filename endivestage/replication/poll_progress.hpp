/// \file
/// \brief Pauses between polls of the table service whose answers tell nothing new.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/replication/table_position.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace endivestage
{

/// \brief A successful answer of the table service to a poll.
struct poll_answer
{
    std::optional<table_position> known; ///< Of the copy before it.
    table_position position;             ///< Of the answer.
    bool listed = false;                 ///< The whole table, since the feed lacked the history.
    millis took{0};
    millis max_wait{0};   ///< Time that the service was to wait for a change.
    bool changed = false; ///< It changed the copy.
};

/// \brief Why an answer makes no progress.
enum class poll_stall
{
    none,
    listed_again, ///< The feed lacks the history of the list before it.
    older,        ///< The answer is older than the copy.
    early,        ///< The feed did not wait for a change, or had none that was new.
};

/// \returns The snake_case name of a reason.
std::string_view to_string(poll_stall stall);

/// \brief Follows the answers to one poller about one table.
///
/// Load: a service that answers every call at once, and never in a way that the poller can go on
/// from. Without a pause the poller would ask as fast as it is answered.
class poll_progress
{
public:
    /// \brief Records a successful answer.
    poll_stall record(const poll_answer& answer);

    /// \returns How many answers in a row have made no progress.
    std::int64_t stalls() const { return stalls_; }

    /// \returns The time until the next poll: none after progress; otherwise it grows with
    /// \ref stalls up to half a second, of which \p seed takes up to a half, so that routers that
    /// stall together do not ask together.
    millis pause(std::uint64_t seed) const;

private:
    bool listed_ = false; ///< The last answer was a list.
    std::int64_t stalls_ = 0;
};

} // namespace endivestage
