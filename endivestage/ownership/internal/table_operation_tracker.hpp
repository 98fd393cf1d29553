/// \file
/// \brief The table operation that a view agent has in progress.
#pragma once

#include <cstdint>
#include <endivestage/core/clock.hpp>
#include <endivestage/core/table.hpp>
#include <endivestage/ownership/messages.hpp>
#include <optional>

namespace endivestage::internal
{

/// \brief Issues operations on the view row one at a time and matches their results.
class table_operation_tracker
{
public:
    explicit table_operation_tracker(millis timeout) : timeout_(timeout) {}

    /// \returns Whether no operation is in progress. An operation without a result is abandoned
    /// after the timeout. It may still take effect, which the conditions of all operations allow.
    bool is_idle(time_point now) const { return !sent_ || now - *sent_ >= timeout_; }

    /// \returns The action that runs the operation. Requires is_idle().
    table_request start(table_operation operation, time_point now)
    {
        sent_ = now;
        last_sent_ = now;
        return {++token_, std::move(operation)};
    }

    /// \returns When the operation with this token was sent; nothing if its result is not expected.
    std::optional<time_point> finish(std::uint64_t token)
    {
        if (token != token_ || !sent_)
        {
            return std::nullopt;
        }
        const std::optional<time_point> sent = sent_;
        sent_.reset();
        return sent;
    }

    /// \returns When the last operation was sent, whether or not it has finished.
    std::optional<time_point> last_sent() const { return last_sent_; }

private:
    millis timeout_;
    std::uint64_t token_ = 0;
    std::optional<time_point> sent_; ///< Set while an operation is in progress.
    std::optional<time_point> last_sent_;
};

} // namespace endivestage::internal
