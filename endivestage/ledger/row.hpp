/// \file
/// \brief The table row that records the state of one non-idempotent request.
#pragma once

#include <endivestage/core.hpp>

#include <string>
#include <string_view>

namespace endivestage
{

/// \brief State of a request.
///
/// A row starts as reserved and becomes sending before the request is sent, then done or unknown.
/// It becomes not_run if the request was not sent or is known not to have run. A later attempt may
/// reserve a row again that is not_run, or that is reserved and has expired. An unknown row may
/// still become done or not_run; done is final.
enum class ledger_state
{
    reserved, ///< An attempt has reserved the key and has sent nothing.
    sending,  ///< The attempt may have sent the request.
    done,     ///< The request ran; the row holds the result.
    unknown,  ///< The request may have run; the result is unknown.
    not_run,  ///< The attempt did not run and will not run.
};

/// \returns The stable snake_case name of a state.
std::string_view to_string(ledger_state state);

/// \brief Answer of an endpoint.
struct endpoint_result
{
    int status = 0;   ///< HTTP status code.
    std::string body; ///< May contain any bytes.

    bool operator==(const endpoint_result&) const = default;
};

/// \brief Value of the row "request/<team>/<key>".
struct ledger_row
{
    ledger_state state = ledger_state::reserved;
    attempt_id attempt;      ///< Attempt that the state refers to; never empty.
    router_id router;        ///< Router of that attempt.
    std::string body_digest; ///< Digest of the request body; constant for a key.
    time_point deadline;     ///< Wall clock; the attempt sends nothing from then on.
    time_point changed;      ///< Time of the last write, on the wall clock of the writer.
    endpoint_result answer;  ///< Set if state is done.
    bool body_stored = true; ///< False if the body of the answer was too large to record.

    bool operator==(const ledger_row&) const = default;
};

/// \brief Maximum size of a row text that decode_row accepts, in bytes.
inline constexpr std::size_t max_row_size = 2UL * 1024 * 1024;

/// \returns The key of a request's row. '/' and '%' in the parts are percent-encoded, so that two
/// different pairs of team and key never share a row.
std::string row_key(const team_id& team, std::string_view key);

/// \returns JSON text of \p row. A body that is not valid UTF-8 is encoded in hexadecimal.
std::string encode_row(const ledger_row& row);

/// \brief Decodes a text written by encode_row. Unknown members are ignored.
/// \returns The row; errc::too_large if the text is larger than max_row_size; errc::invalid_request
/// if it is not a row.
result<ledger_row> decode_row(std::string_view text);

} // namespace endivestage
