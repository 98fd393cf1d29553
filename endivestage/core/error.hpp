/// \file
/// \brief Typed failures of the library.
#pragma once

#include <boost/system/result.hpp>
#include <string_view>
#include <system_error>

namespace endivestage
{

/// \brief What went wrong. Values are stable; callers see them by the name that to_string gives.
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
};

/// \brief Whether a request was executed by an endpoint.
enum class execution
{
    not_run, ///< No endpoint has run it and none will run it for this attempt.
    unknown, ///< It was sent; whether it ran cannot be told.
    done,    ///< It ran and its result is known.
};

/// \returns The stable snake_case name of a code, as used in answers and logs.
std::string_view to_string(errc code);

/// \returns "not_run", "unknown" or "done".
std::string_view to_string(execution state);

/// \returns The category of errc; its name is "endivestage".
const std::error_category& endivestage_category();

/// \brief Makes errc usable as std::error_code.
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
