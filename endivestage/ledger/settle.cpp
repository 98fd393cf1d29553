#include <endivestage/ledger/settle.hpp>

namespace endivestage
{

namespace
{

table_operation make_replacement(const table_row& row, ledger_row value, ledger_state state,
                                 time_point wall_now)
{
    value.state = state;
    value.changed = wall_now;
    return {table_operation::kind::replace, row.key, row.version, encode_row(value)};
}

} // namespace

bool is_expired(const ledger_row& row, time_point wall_now, const ledger_config& config)
{
    return wall_now > row.deadline + config.settle_margin;
}

bool is_erasable(const ledger_row& row, time_point wall_now, const ledger_config& config)
{
    // The key was created at most one clock skew after the first write. It is accepted for its
    // lifetime, on a clock that may be one skew behind, and may then be sent until the maximum
    // deadline.
    return wall_now >
           row.changed + config.key_lifetime + config.max_deadline + config.clock_skew * 3;
}

std::optional<table_operation> settle_expired(const table_row& row, time_point wall_now,
                                              const ledger_config& config)
{
    const result<ledger_row> value = decode_row(row.value);
    if (!value || !is_expired(*value, wall_now, config))
    {
        return std::nullopt;
    }
    switch (value->state)
    {
    case ledger_state::reserved:
        return make_replacement(row, *value, ledger_state::not_run, wall_now);
    case ledger_state::sending:
        return make_replacement(row, *value, ledger_state::unknown, wall_now);
    default:
        return std::nullopt;
    }
}

result<table_operation> settle_unknown(const table_row& row, ledger_state final_state,
                                       const endpoint_result& answer, time_point wall_now,
                                       const ledger_config& config)
{
    result<ledger_row> value = decode_row(row.value);
    if (!value || (final_state != ledger_state::done && final_state != ledger_state::not_run))
    {
        return make_error_code(errc::invalid_request);
    }
    if (value->state != ledger_state::unknown || !is_expired(*value, wall_now, config))
    {
        return make_error_code(errc::conflict);
    }
    value->answer = final_state == ledger_state::done ? answer : endpoint_result{};
    return make_replacement(row, *value, final_state, wall_now);
}

} // namespace endivestage
