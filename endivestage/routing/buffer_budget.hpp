/// \file
/// \brief Limit on the memory that the answers of endpoints take while they are read.
#pragma once

#include <endivestage/core.hpp>

#include <cstddef>
#include <utility>

namespace endivestage
{

/// \brief Memory for the answers that a router reads at the same time.
///
/// An answer may take as much as all answers leave free. Many answers without end therefore fill
/// less than the whole budget, and a small answer beside them still fits.
class buffer_budget
{
public:
    /// \param total Bytes for all answers.
    explicit buffer_budget(std::size_t total) : total_(total) {}

    std::size_t in_use() const { return in_use_; }
    std::size_t total() const { return total_; }

private:
    friend class buffer_share;

    std::size_t total_;
    std::size_t in_use_ = 0;
};

/// \brief Part of a \ref buffer_budget that one answer takes; returned by the destructor.
class buffer_share
{
public:
    /// \param budget Must outlive this object.
    explicit buffer_share(buffer_budget& budget) : budget_(&budget) {}
    buffer_share(const buffer_share&) = delete;
    buffer_share& operator=(const buffer_share&) = delete;
    ~buffer_share() { release(); }

    /// \brief Changes the size of this part.
    /// \returns Whether the budget allows it; if not, the size is unchanged. A part may always
    /// shrink.
    bool resize(std::size_t bytes)
    {
        const std::size_t others = budget_->in_use_ - held_;
        if (bytes > held_ &&
            (others + bytes > budget_->total_ || bytes > budget_->total_ - others - bytes))
        {
            return false;
        }
        budget_->in_use_ = others + bytes;
        held_ = bytes;
        return true;
    }

    void release() { budget_->in_use_ -= std::exchange(held_, 0); }

    std::size_t held() const { return held_; }

private:
    buffer_budget* budget_;
    std::size_t held_ = 0;
};

} // namespace endivestage
