/// \file
/// \brief Time of the newest confirmation of a router's view (rule R1).
#pragma once

#include <endivestage/core/clock.hpp>
#include <endivestage/ownership/messages.hpp>
#include <endivestage/ownership/view.hpp>
#include <optional>
#include <vector>

namespace endivestage::internal
{

/// \brief Collects evidence that no newer view has taken effect for this router.
class confirmation
{
public:
    /// \brief Discards all confirmations and sets the witnesses of a new view.
    void reset(std::vector<member> witnesses);

    /// \brief Records that a witness confirmed the view. \param sent When the request was sent.
    void record_answer(const message_origin& witness, time_point sent);

    /// \brief Records that a read of the row returned the view. \param sent When the read was sent.
    void record_row_read(time_point sent);

    /// \returns The time at which the view was last confirmed, by a read of the row or by a
    /// majority of the witnesses; nothing if it was not.
    std::optional<time_point> since() const;

    const std::vector<member>& witnesses() const { return witnesses_; }

private:
    std::optional<time_point> since_majority() const;

    std::vector<member> witnesses_;
    /// For each witness, when the newest confirmed request was sent.
    std::vector<std::optional<time_point>> confirmed_;
    std::optional<time_point> last_row_read_;
};

} // namespace endivestage::internal
