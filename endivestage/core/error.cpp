#include <endivestage/core/error.hpp>

#include <string>

namespace endivestage
{

namespace
{

class category final : public std::error_category
{
public:
    const char* name() const noexcept override { return "endivestage"; }

    std::string message(int value) const override
    {
        return std::string(to_string(static_cast<errc>(value)));
    }
};

} // namespace

std::string_view to_string(errc code)
{
    switch (code)
    {
    case errc::ok:
        return "ok";
    case errc::invalid_request:
        return "invalid_request";
    case errc::too_large:
        return "too_large";
    case errc::unauthorized:
        return "unauthorized";
    case errc::not_found:
        return "not_found";
    case errc::conflict:
        return "conflict";
    case errc::key_reused:
        return "key_reused";
    case errc::key_expired:
        return "key_expired";
    case errc::outcome_unknown:
        return "outcome_unknown";
    case errc::outcome_pending:
        return "outcome_pending";
    case errc::deadline_exceeded:
        return "deadline_exceeded";
    case errc::overloaded:
        return "overloaded";
    case errc::no_endpoint:
        return "no_endpoint";
    case errc::zone_out_of_service:
        return "zone_out_of_service";
    case errc::endpoint_leaving:
        return "endpoint_leaving";
    case errc::not_owner:
        return "not_owner";
    case errc::stale_view:
        return "stale_view";
    case errc::unconfirmed_view:
        return "unconfirmed_view";
    case errc::store_unavailable:
        return "store_unavailable";
    case errc::peer_unavailable:
        return "peer_unavailable";
    case errc::endpoint_unavailable:
        return "endpoint_unavailable";
    case errc::answer_mismatch:
        return "answer_mismatch";
    case errc::stream_gap:
        return "stream_gap";
    case errc::shutting_down:
        return "shutting_down";
    case errc::invalid_configuration:
        return "invalid_configuration";
    case errc::invalid_settings:
        return "invalid_settings";
    case errc::stale_fencing_token:
        return "stale_fencing_token";
    case errc::cancelled:
        return "cancelled";
    case errc::prompt_quarantined:
        return "prompt_quarantined";
    case errc::unknown_version:
        return "unknown_version";
    case errc::internal:
        break;
    }
    return "internal";
}

std::string_view to_string(execution state)
{
    switch (state)
    {
    case execution::not_run:
        return "not_run";
    case execution::done:
        return "done";
    case execution::unknown:
        break;
    }
    return "unknown";
}

const std::error_category& endivestage_category()
{
    static const category instance;
    return instance;
}

std::error_code make_error_code(errc code)
{
    return {static_cast<int>(code), endivestage_category()};
}

} // namespace endivestage
