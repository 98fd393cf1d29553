#include <endivestage/rollout/record.hpp>

#include <array>

namespace endivestage
{

namespace
{

constexpr std::array<std::string_view, 4> phase_names{"serving", "switching", "completed",
                                                      "reverted"};

} // namespace

std::string_view to_string(rollout_phase phase)
{
    return phase_names.at(static_cast<std::size_t>(phase));
}

std::optional<rollout_phase> parse_rollout_phase(std::string_view name)
{
    for (std::size_t n = 0; n < phase_names.size(); ++n)
    {
        if (phase_names.at(n) == name)
        {
            return static_cast<rollout_phase>(n);
        }
    }
    return std::nullopt;
}

bool is_final(rollout_phase phase)
{
    return phase == rollout_phase::completed || phase == rollout_phase::reverted;
}

bool is_ended(const rollout_record& record)
{
    return is_final(record.phase) && record.announced;
}

bool has_same_content(const rollout_order& a, const rollout_order& b)
{
    return a.service == b.service && a.to == b.to && a.duration == b.duration;
}

rollout_record begin_rollout(const rollout_order& order, const rollout_record* previous,
                             time_point wall_now)
{
    rollout_record record;
    record.service = order.service;
    record.order_revision = order.revision;
    record.order_era = order.era;
    record.to = order.to;
    record.reason = "ordered";
    record.ordered_at = wall_now;
    if (previous != nullptr)
    {
        record.row_revision = previous->row_revision;
        record.row_era = previous->row_era;
        if (previous->phase == rollout_phase::completed)
        {
            record.base = previous->to;
        }
        else
        {
            // A version that was reverted, or whose order was replaced before it was proven.
            record.base = previous->base;
            record.excluded = previous->excluded;
            record.excluded.insert(previous->to);
        }
    }
    if (previous != nullptr && previous->phase == rollout_phase::completed &&
        previous->to == order.to)
    {
        // The version has all requests already, and there may be no other endpoints.
        record.phase = rollout_phase::completed;
        record.share = 1.0;
    }
    record.excluded.erase(order.to);
    if (record.base == order.to)
    {
        record.base.clear();
    }
    return record;
}

bool may_replace(const rollout_record& next, const rollout_record& current)
{
    if (next.order_identity() != current.order_identity())
    {
        return next.order_identity() > current.order_identity();
    }
    if (is_final(current.phase))
    {
        return next.phase == current.phase && !current.announced;
    }
    return static_cast<int>(next.phase) >= static_cast<int>(current.phase);
}

} // namespace endivestage
