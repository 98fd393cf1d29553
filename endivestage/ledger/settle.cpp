#include <endivestage/ledger/settle.hpp>

namespace endivestage
{

namespace
{

table_operation replace_with(const table_row& row, ledger_row value, ledger_state state,
                             time_point wall_now)
{
    value.state = state;
    value.changed = wall_now;
    return {table_operation::kind::replace, row.key, row.version, encode_row(value)};
}

} // namespace

bool is_expired(const ledger_row& row, time_point wall_now, const ledger_config& limits)
{
    return wall_now > row.deadline + limits.settle_margin;
}

bool is_erasable(const ledger_row& row, time_point wall_now, const ledger_config& limits)
{
    // The key was created at most one skew after the first write, is accepted for its lifetime on a
    // clock that may be one skew behind, and may then be sent until the longest deadline.
    return wall_now >
           row.changed + limits.key_lifetime + limits.max_deadline + limits.clock_skew * 3;
}

std::optional<table_operation> settle_expired(const table_row& row, time_point wall_now,
                                              const ledger_config& limits)
{
    const result<ledger_row> value = decode_row(row.value);
    if (!value || !is_expired(*value, wall_now, limits))
    {
        return std::nullopt;
    }
    switch (value->state)
    {
    case ledger_state::reserved:
        return replace_with(row, *value, ledger_state::not_run, wall_now);
    case ledger_state::sending:
        return replace_with(row, *value, ledger_state::unknown, wall_now);
    default:
        return std::nullopt;
    }
}

result<table_operation> settle_unknown(const table_row& row, ledger_state verdict,
                                       const endpoint_result& answer, time_point wall_now,
                                       const ledger_config& limits)
{
    result<ledger_row> value = decode_row(row.value);
    if (!value || (verdict != ledger_state::done && verdict != ledger_state::not_run))
    {
        return make_error_code(errc::invalid_request);
    }
    if (value->state != ledger_state::unknown || !is_expired(*value, wall_now, limits))
    {
        return make_error_code(errc::conflict);
    }
    value->answer = verdict == ledger_state::done ? answer : endpoint_result{};
    return replace_with(row, *value, verdict, wall_now);
}

} // namespace endivestage
