#include <endivestage/daemon/caller_api.hpp>

#include <endivestage/address.hpp>
#include <endivestage/daemon/digest.hpp>
#include <endivestage/daemon/json_access.hpp>
#include <endivestage/daemon/signing.hpp>

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <utility>

namespace endivestage::daemon
{

namespace json = boost::json;

namespace
{

/// Rough length of a token in bytes; only proportions matter for placement.
constexpr std::size_t bytes_per_token = 4;
constexpr std::uint32_t default_max_tokens = 256;
constexpr std::uint32_t highest_max_tokens = 32768;
constexpr std::size_t max_id_bytes = 128;
constexpr millis retry_pause{1000};

bool is_valid_id(std::string_view text)
{
    return !text.empty() && text.size() <= max_id_bytes &&
           std::all_of(text.begin(), text.end(),
                       [](char c)
                       {
                           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                                  (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.' ||
                                  c == ':' || c == '~';
                       });
}

bool parse_number(std::string_view text, std::uint64_t& value)
{
    const std::from_chars_result end =
        std::from_chars(text.data(), text.data() + text.size(), value);
    return end.ec == std::errc{} && end.ptr == text.data() + text.size();
}

std::uint32_t estimate_tokens(std::size_t bytes)
{
    return static_cast<std::uint32_t>(bytes / bytes_per_token);
}

std::string_view bearer_token(const http_fields& fields)
{
    std::string_view value = find_field(fields, "Authorization");
    constexpr std::string_view prefix = "Bearer ";
    if (!value.starts_with(prefix))
    {
        return {};
    }
    value.remove_prefix(prefix.size());
    return value;
}

awaitable<void> refuse(response_writer& writer, errc code, execution ran, std::string reason,
                       std::optional<millis> retry_after = std::nullopt)
{
    caller_error error;
    error.code = code;
    error.ran = ran;
    error.reason = std::move(reason);
    error.retry_after = retry_after;
    http_response response = make_error_response(error);
    co_await writer.send(std::move(response));
}

/// Reads the messages of a chat request: all but the last one are history.
bool read_messages(const json::object& body, chat_request& chat)
{
    const json::array& messages = get_array(body, "messages");
    if (messages.empty())
    {
        return false;
    }
    std::size_t history = 0;
    for (std::size_t n = 0; n < messages.size(); ++n)
    {
        if (!messages[n].is_object() || !messages[n].get_object().contains("content"))
        {
            return false;
        }
        const std::string content = get_text(messages[n].get_object(), "content");
        if (n + 1 < messages.size())
        {
            history += content.size();
        }
        else
        {
            chat.prompt = content;
        }
    }
    chat.placement.history_tokens = estimate_tokens(history);
    chat.prompt_tokens = estimate_tokens(chat.prompt.size()) + 1;
    return !chat.prompt.empty();
}

} // namespace

caller_api::caller_api(node_context& node, configuration_service& configuration,
                       cluster_service& cluster, chat_service& chats, service_caller& services,
                       std::function<bool()> serving)
    : node_(node),
      configuration_(configuration),
      cluster_(cluster),
      chats_(chats),
      services_(services),
      serving_(std::move(serving))
{
}

bool caller_api::handles(const http_target& target)
{
    if (target.segments.size() < 2 || target.segments[0] != "v1")
    {
        return false;
    }
    const std::string& resource = target.segments[1];
    return resource == "addresses" || resource == "chats" || resource == "streams" ||
           resource == "services" || resource == "requests";
}

bool caller_api::ready() const
{
    return serving_() && configuration_.state() == replica_state::ready;
}

awaitable<void> caller_api::handle(const http_request& request, const http_target& target,
                                   response_writer& writer)
{
    const std::string& resource = target.segments[1];
    const std::shared_ptr<const fleet_configuration> present = configuration_.current();
    if (present && request.body.size() > present->limits.request_bytes)
    {
        co_await refuse(writer, errc::too_large, execution::not_run, "the body is too large");
        co_return;
    }
    if (configuration_.state() != replica_state::ready)
    {
        co_await refuse(writer, errc::store_unavailable, execution::not_run,
                        "no configuration yet: " + std::string(to_string(configuration_.state())),
                        retry_pause);
        co_return;
    }
    if (resource == "addresses" && request.method == "GET")
    {
        http_response response = addresses(target);
        co_await writer.send(std::move(response));
    }
    else if (resource == "chats" && request.method == "POST" && target.segments.size() == 4 &&
             target.segments[3] == "messages")
    {
        co_await chat(request, target, writer);
    }
    else if (resource == "streams" && request.method == "GET")
    {
        co_await stream(target, writer);
    }
    else if (resource == "services" && target.segments.size() >= 3)
    {
        co_await service_call(request, target, writer);
    }
    else if (resource == "requests" && request.method == "GET" && target.segments.size() == 3)
    {
        co_await request_state(request, target, writer);
    }
    else
    {
        co_await refuse(writer, errc::not_found, execution::not_run, "no such resource");
    }
}

http_response caller_api::addresses(const http_target& target)
{
    const std::shared_ptr<const fleet_configuration> configuration = configuration_.current();
    std::vector<router_status> routers;
    for (const router_host& host : configuration_.routers())
    {
        const bool own = host.id == node_.settings.id;
        router_status status;
        status.id = host.id;
        status.host = host.host;
        status.port = host.port;
        status.zone = host.zone;
        status.region = host.region;
        // Routers of other regions are not probed by this one; their own region's list applies.
        status.live = own || host.region != node_.settings.region || cluster_.is_serving(host.id);
        status.leaving = host.leaving || (own && !serving_());
        status.zone_in_service = configuration_.in_service(host.zone);
        routers.push_back(std::move(status));
    }
    address_query query;
    query.zone = zone_id(std::string(target.parameter("zone")));
    const zone* known = configuration->find(query.zone);
    query.region = known != nullptr ? known->region : node_.settings.region;
    query.rotation = rotation_.fetch_add(1);
    query.lifetime = configuration->limits.address_lifetime;
    const address_answer answer = make_address_answer(routers, query);
    json::array list;
    for (const address_entry& entry : answer.routers)
    {
        list.push_back(json::object{{"id", entry.id.str()},
                                    {"host", entry.host},
                                    {"port", entry.port},
                                    {"zone", entry.zone.str()}});
    }
    return make_json_response(json::serialize(
        json::object{{"addresses", std::move(list)}, {"lifetime_ms", answer.lifetime.count}}));
}

request_id caller_api::make_request_id()
{
    return request_id(node_.settings.id.str() + "-" + std::to_string(node_.random.next()));
}

result<caller_api::caller_identity> caller_api::identify(const http_request& request) const
{
    const std::shared_ptr<const fleet_configuration> configuration = configuration_.current();
    caller_identity identity;
    identity.team = team_id(std::string(find_field(request.fields, "X-Team")));
    const team* known = configuration->find(identity.team);
    if (known == nullptr)
    {
        return make_error_code(errc::unauthorized);
    }
    if (!known->token_digest.empty() &&
        !constant_time_equal(sha256_hex(bearer_token(request.fields)), known->token_digest))
    {
        return make_error_code(errc::unauthorized);
    }
    const std::string priority(find_field(request.fields, "X-Priority"));
    if (!priority.empty())
    {
        const auto it = configuration->priorities.find(priority);
        if (it == configuration->priorities.end())
        {
            return make_error_code(errc::invalid_request);
        }
        identity.priority = static_cast<std::uint8_t>(
            std::min({it->second, known->priority_ceiling, std::uint32_t{255}}));
    }
    std::uint64_t deadline =
        static_cast<std::uint64_t>(configuration->limits.request_deadline.count);
    const std::string_view wanted = find_field(request.fields, "X-Deadline-Ms");
    if (!wanted.empty() && (!parse_number(wanted, deadline) || deadline == 0))
    {
        return make_error_code(errc::invalid_request);
    }
    constexpr std::uint64_t longest = 3600000;
    identity.deadline =
        node_.time.now() + millis{static_cast<std::int64_t>(std::min(deadline, longest))};
    const std::string_view id = find_field(request.fields, "X-Request-Id");
    if (!id.empty())
    {
        if (!is_valid_id(id))
        {
            return make_error_code(errc::invalid_request);
        }
        identity.request = request_id(std::string(id));
    }
    return identity;
}

awaitable<void> caller_api::chat(const http_request& request, const http_target& target,
                                 response_writer& writer)
{
    result<caller_identity> identity = identify(request);
    if (!identity)
    {
        co_await refuse(writer, to_errc(identity.error()), execution::not_run,
                        "check X-Team, its token, X-Priority, X-Deadline-Ms, X-Request-Id");
        co_return;
    }
    const result<json::object> body = parse_json_object(request.body);
    chat_request wanted;
    if (!body || !is_valid_id(target.segments[2]) || !read_messages(*body, wanted))
    {
        co_await refuse(writer, errc::invalid_request, execution::not_run,
                        "expected a JSON object with pool and messages, each "
                        "message with content");
        co_return;
    }
    wanted.placement.pool = pool_id(get_text(*body, "pool"));
    const std::shared_ptr<const fleet_configuration> configuration = configuration_.current();
    if (configuration->find(wanted.placement.pool) == nullptr)
    {
        co_await refuse(writer, errc::not_found, execution::not_run, "no such pool");
        co_return;
    }
    const std::int64_t tokens = get_number(*body, "max_tokens", default_max_tokens);
    if (tokens <= 0 || tokens > highest_max_tokens)
    {
        co_await refuse(writer, errc::invalid_request, execution::not_run,
                        "max_tokens must be from 1 to 32768");
        co_return;
    }
    wanted.max_tokens = static_cast<std::uint32_t>(tokens);
    // The engine's name of the request must be unique even when two callers use the same id.
    wanted.placement.request =
        identity->request.empty()
            ? make_request_id()
            : request_id(identity->request.str() + "." + std::to_string(node_.random.next()));
    wanted.placement.team = identity->team;
    wanted.placement.chat = chat_id(identity->team.str() + "/" + target.segments[2]);
    wanted.placement.priority = identity->priority;
    wanted.placement.deadline = identity->deadline;
    co_await chats_.answer(std::move(wanted), writer);
}

awaitable<void> caller_api::stream(const http_target& target, response_writer& writer)
{
    const result<resume_token> token = chats_.read_token(target.parameter("resume"));
    resume_request wanted;
    const std::string_view base = target.parameter("base");
    if (!token || !parse_number(target.parameter("offset"), wanted.offset) ||
        (!base.empty() && !parse_number(base, wanted.base)))
    {
        const errc code = token ? errc::invalid_request : to_errc(token.error());
        co_await refuse(writer, code, execution::unknown,
                        "expected resume (a token of a start event) and offset");
        co_return;
    }
    wanted.token = *token;
    co_await chats_.resume(std::move(wanted), writer);
}

awaitable<void> caller_api::service_call(const http_request& request, const http_target& target,
                                         response_writer& writer)
{
    result<caller_identity> identity = identify(request);
    if (!identity)
    {
        co_await refuse(writer, to_errc(identity.error()), execution::not_run,
                        "check X-Team, its token, X-Priority, X-Deadline-Ms, X-Request-Id");
        co_return;
    }
    service_request wanted;
    wanted.service = service_id(target.segments[2]);
    wanted.team = identity->team;
    wanted.request = identity->request.empty() ? make_request_id() : identity->request;
    wanted.method = request.method;
    // The rest of the target is passed on as it was received, still percent-encoded.
    std::size_t begin = 0;
    for (int n = 0; n < 3; ++n)
    {
        begin = request.target.find('/', begin + 1);
    }
    wanted.path = begin == std::string::npos ? "/" : request.target.substr(begin);
    wanted.content_type = std::string(find_field(request.fields, "Content-Type"));
    wanted.body = request.body;
    wanted.key = std::string(find_field(request.fields, "Idempotency-Key"));
    wanted.first_try = find_field(request.fields, "X-Attempt") == "1";
    wanted.deadline = identity->deadline;
    co_await services_.answer(std::move(wanted), writer);
}

awaitable<void> caller_api::request_state(const http_request& request, const http_target& target,
                                          response_writer& writer)
{
    const result<caller_identity> identity = identify(request);
    if (!identity)
    {
        co_await refuse(writer, to_errc(identity.error()), execution::unknown,
                        "check X-Team and its token");
        co_return;
    }
    const result<ledger_entry> entry = co_await services_.show(identity->team, target.segments[2]);
    if (!entry)
    {
        // Without a row an attempt on another router may still be about to begin.
        co_await refuse(writer, to_errc(entry.error()), execution::unknown, "");
        co_return;
    }
    http_response response = make_json_response(
        json::serialize(json::object{{"state", std::string(to_string(entry->row.state))},
                                     {"attempt", entry->row.attempt.str()},
                                     {"router", entry->row.router.str()},
                                     {"status", entry->row.answer.status},
                                     {"body", entry->row.answer.body}}));
    co_await writer.send(std::move(response));
}

} // namespace endivestage::daemon
