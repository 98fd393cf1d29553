#include <endivestage/daemon/caller_error.hpp>

#include <boost/json.hpp>

namespace endivestage::daemon
{

namespace json = boost::json;

int http_status(errc code)
{
    switch (code)
    {
    case errc::ok:
        return 200;
    case errc::invalid_request:
    case errc::invalid_configuration:
    case errc::invalid_settings:
        return 400;
    case errc::unauthorized:
        return 401;
    case errc::not_found:
        return 404;
    case errc::conflict:
    case errc::outcome_pending:
        return 409;
    case errc::key_expired:
        return 410;
    case errc::too_large:
        return 413;
    case errc::key_reused:
        return 422;
    case errc::overloaded:
        return 429;
    case errc::outcome_unknown:
    case errc::answer_mismatch:
    case errc::stream_gap:
        return 502;
    case errc::deadline_exceeded:
        return 504;
    case errc::internal:
        return 500;
    default:
        return 503;
    }
}

errc to_errc(const std::error_code& ec)
{
    return ec.category() == endivestage_category() ? static_cast<errc>(ec.value()) : errc::internal;
}

std::string to_json_text(const caller_error& error)
{
    json::object body{{"code", std::string(to_string(error.code))},
                      {"execution", std::string(to_string(error.ran))}};
    if (!error.reason.empty())
    {
        body["reason"] = error.reason;
    }
    if (error.retry_after)
    {
        body["retry_after_ms"] = error.retry_after->count;
    }
    return json::serialize(json::object{{"error", std::move(body)}});
}

http_response make_json_response(std::string body, int status)
{
    http_response response;
    response.status = status;
    response.fields.emplace_back("Content-Type", "application/json");
    response.body = std::move(body) + "\n";
    return response;
}

http_response make_error_response(const caller_error& error)
{
    http_response response = make_json_response(to_json_text(error), http_status(error.code));
    if (error.retry_after)
    {
        const std::int64_t seconds = (error.retry_after->count + 999) / 1000;
        response.fields.emplace_back("Retry-After", std::to_string(seconds));
    }
    return response;
}

} // namespace endivestage::daemon
