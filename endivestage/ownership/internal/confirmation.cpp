#include <endivestage/ownership/internal/confirmation.hpp>

#include <algorithm>

namespace endivestage::internal
{

void confirmation::reset(std::vector<member> witnesses)
{
    witnesses_ = std::move(witnesses);
    confirmed_.assign(witnesses_.size(), std::nullopt);
    last_row_read_.reset();
}

void confirmation::record_answer(const message_origin& witness, time_point sent)
{
    for (std::size_t n = 0; n < witnesses_.size(); ++n)
    {
        // Another run of the witness does not know which views the listed run has acknowledged.
        if (witnesses_[n].id == witness.id && witnesses_[n].incarnation == witness.incarnation)
        {
            confirmed_[n] = std::max(confirmed_[n], std::optional<time_point>(sent));
        }
    }
}

void confirmation::record_row_read(time_point sent)
{
    last_row_read_ = std::max(last_row_read_, std::optional<time_point>(sent));
}

std::optional<time_point> confirmation::since() const
{
    return std::max(last_row_read_, since_majority());
}

std::optional<time_point> confirmation::since_majority() const
{
    if (witnesses_.empty())
    {
        return std::nullopt;
    }
    std::vector<std::optional<time_point>> latest = confirmed_;
    std::sort(latest.rbegin(), latest.rend());
    return latest[latest.size() / 2];
}

} // namespace endivestage::internal
