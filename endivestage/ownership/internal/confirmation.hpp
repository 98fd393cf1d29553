/// \file
/// \brief Age of a router's confirmation of its view (rule R1).
#pragma once

#include <endivestage/core/clock.hpp>
#include <endivestage/ownership/messages.hpp>
#include <endivestage/ownership/view.hpp>
#include <optional>
#include <vector>

namespace endivestage::internal
{

/// \brief Collects the evidence that no newer view has taken effect for this router.
class confirmation
{
public:
    /// \brief Forgets all evidence and takes the witnesses of a new view.
    void reset(std::vector<member> witnesses);

    /// \brief A witness confirmed the view. \param sent When the question was sent.
    void record_answer(const message_origin& witness, time_point sent);

    /// \brief A read of the row showed the view. \param sent When the read was sent.
    void record_row_read(time_point sent);

    /// \returns The instant from which the confirmation counts; nothing without confirmation.
    std::optional<time_point> since() const;

    const std::vector<member>& witnesses() const { return witnesses_; }

private:
    std::optional<time_point> since_majority() const;

    std::vector<member> witnesses_;
    std::vector<std::optional<time_point>> answered_; ///< For each witness.
    std::optional<time_point> read_;
};

} // namespace endivestage::internal
