/// \file
/// \brief Error codes of the library.
#pragma once

#include <boost/system/result.hpp>
#include <string_view>
#include <system_error>

namespace endivestage
{

/// \brief Error code. Values are stable; callers see the name that to_string returns.
enum class errc
{
    ok = 0,
    invalid_request,
    too_large,
    unauthorized,
    not_found,
    conflict,
    key_reused,
    key_expired,
    outcome_unknown,
    outcome_pending,
    deadline_exceeded,
    overloaded,
    no_endpoint,
    zone_out_of_service,
    endpoint_leaving,
    not_owner,
    stale_view,
    unconfirmed_view,
    store_unavailable,
    peer_unavailable,
    endpoint_unavailable,
    answer_mismatch,
    stream_gap,
    shutting_down,
    invalid_configuration,
    invalid_settings,
    stale_fencing_token,
    cancelled,
    internal,
    prompt_quarantined,
    unknown_version,
};

/// \brief Whether a request was executed by an endpoint.
enum class execution
{
    not_run, ///< No endpoint has executed it, and none will execute it for this attempt.
    unknown, ///< It was sent; whether an endpoint executed it cannot be determined.
    done,    ///< An endpoint executed it, and its result is known.
};

/// \returns The stable snake_case name of a code, as used in responses and logs.
std::string_view to_string(errc code);

/// \returns "not_run", "unknown" or "done".
std::string_view to_string(execution state);

/// \returns The category of errc; its name is "endivestage".
const std::error_category& endivestage_category();

/// \brief Converts errc to std::error_code.
std::error_code make_error_code(errc code);

/// \brief A value or the error that prevented it.
template <class T>
using result = boost::system::result<T, std::error_code>;

} // namespace endivestage

/// \cond
template <>
struct std::is_error_code_enum<endivestage::errc> : std::true_type
{
};
/// \endcond
