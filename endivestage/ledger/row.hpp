/// \file
/// \brief The table row that records the state of one non-idempotent request.
#pragma once

#include <endivestage/core.hpp>

#include <string>
#include <string_view>

namespace endivestage
{

/// \brief State of a request; see section 2.6 of the design page for the transitions.
enum class ledger_state
{
    reserved, ///< An attempt holds the key; nothing was sent.
    sending,  ///< The attempt may have sent the request.
    done,     ///< The request ran; the row holds the result.
    unknown,  ///< The request may have run; the result is not known.
    not_run,  ///< The attempt did not run and will not run.
};

/// \returns The stable snake_case name of a state.
std::string_view to_string(ledger_state state);

/// \brief What an endpoint answered.
struct endpoint_result
{
    int status = 0;   ///< HTTP status code.
    std::string body; ///< Any bytes.

    bool operator==(const endpoint_result&) const = default;
};

/// \brief Value of the row "request/<team>/<key>".
struct ledger_row
{
    ledger_state state = ledger_state::reserved;
    attempt_id attempt;      ///< Attempt that the state is about; never empty.
    router_id router;        ///< Router of that attempt.
    std::string body_digest; ///< Digest of the request body; constant for the life of the key.
    time_point deadline;     ///< Wall clock; the attempt sends nothing after it.
    time_point changed;      ///< Wall clock of the writer at the last write.
    endpoint_result answer;  ///< Set when state is done.
    bool body_stored = true; ///< False when the answer's body was too large to record.

    bool operator==(const ledger_row&) const = default;
};

/// \brief Longest row text that decode_row accepts, in bytes.
inline constexpr std::size_t max_row_size = 2UL * 1024 * 1024;

/// \returns The key of the row of a request. '/' and '%' inside the parts are percent-encoded, so
/// that two different pairs of team and key never share a row.
std::string row_key(const team_id& team, std::string_view key);

/// \returns JSON text of \p row. Bytes of the body that are not UTF-8 are kept (as hexadecimal).
std::string encode_row(const ledger_row& row);

/// \brief Reads the text written by encode_row. Unknown members are ignored.
/// \returns The row, or errc::too_large, or errc::invalid_request when the text is not a row.
result<ledger_row> decode_row(std::string_view text);

} // namespace endivestage
