#include <soak/caller.hpp>

#include <endivestage/daemon/json_access.hpp>
#include <endivestage/daemon/sleep.hpp>

#include <algorithm>
#include <cstdlib>
#include <set>
#include <utility>

namespace endivestage::soak
{

namespace asio = boost::asio;
namespace json = boost::json;
using daemon::awaitable;
using daemon::http_connection;
using daemon::http_request;
using daemon::http_response;

namespace
{

constexpr millis connect_timeout{1000};
constexpr millis idle_timeout{1000};
constexpr millis request_timeout{4500};
/// Routers answer at a request's deadline at the latest, and get time to deliver the answer.
constexpr millis answer_timeout{request_timeout.count + 2000};
constexpr millis directory_timeout{1000};
constexpr std::size_t keeping_ratio = 3; ///< One in three callers keeps its connections.
constexpr std::size_t max_body_bytes = 1U << 20U;

struct request_template
{
    request_kind kind;
    const char* method;
    const char* target;
};

constexpr std::array<request_template, 4> request_templates{
    {{request_kind::once, "POST", "/o/place"},
     {request_kind::idempotent, "GET", "/i/look"},
     {request_kind::stream, "POST", "/s/brief"},
     {request_kind::resumable, "POST", "/r/note"}}};

/// \returns Whether a status guarantees that the request was not executed.
bool is_refusal(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

constexpr std::string_view event_end = "\n\n";
constexpr std::string_view id_line = "id: ";

/// \returns The text up to the end of the last whole event.
std::string keep_whole_events(const std::string& text)
{
    const std::size_t end = text.rfind(event_end);
    return end == std::string::npos ? std::string() : text.substr(0, end + event_end.size());
}

/// \returns The versions of the engines that made the events.
std::set<std::string> versions_in(const std::string& events)
{
    std::set<std::string> found;
    for (std::size_t end = events.find(event_end); end != std::string::npos;
         end = events.find(event_end, end + 1))
    {
        const std::size_t begin = events.rfind(' ', end) + 1;
        found.insert(events.substr(begin, end - begin));
    }
    return found;
}

/// \returns Number of the last event, or 0 without one.
int last_event_in(const std::string& events)
{
    const std::size_t at = events.rfind(id_line);
    return at == std::string::npos ? 0 : std::atoi(events.c_str() + at + id_line.size());
}

} // namespace

caller::caller(asio::io_context& context, soak_fleet& fleet, std::size_t number)
    : context_(context),
      fleet_(fleet),
      name_("c" + std::to_string(number)),
      keeps_connection_(number % keeping_ratio == 0),
      random_(hash64(name_, fleet.random.next()))
{
}

soak_router* caller::find_router(const daemon::network_address& address)
{
    for (const std::unique_ptr<soak_router>& router : fleet_.routers)
    {
        if (router->host == address.host)
        {
            return router.get();
        }
    }
    return nullptr;
}

awaitable<void> caller::refresh_addresses()
{
    const std::size_t n = random_.below(fleet_.routers.size());
    http_connection directory(context_.get_executor());
    const std::error_code ec = co_await directory.connect(
        soak_fleet::directory_address(*fleet_.routers[n]), directory_timeout, directory_timeout);
    if (ec)
    {
        co_return;
    }
    http_request request;
    request.target = "/v1/resolve?name=soak.example&region=north&zone=zone-a";
    request.fields.emplace_back("Host", "soak.example");
    directory.send(std::move(request));
    const result<http_response> head = co_await directory.read_head(directory_timeout);
    if (!head || head->status != 200)
    {
        co_return;
    }
    const result<std::string> body =
        co_await daemon::read_body(directory, directory_timeout, max_body_bytes);
    const result<json::object> response =
        body ? daemon::parse_json_object(*body) : result<json::object>(body.error());
    if (!response)
    {
        co_return;
    }
    std::vector<daemon::network_address> addresses;
    for (const json::value& text : daemon::get_array(*response, "addresses"))
    {
        daemon::network_address address;
        if (text.is_string() &&
            daemon::parse_network_address(std::string(text.get_string()), address))
        {
            addresses.push_back(std::move(address));
        }
    }
    if (!addresses.empty())
    {
        addresses_ = std::move(addresses);
        addresses_expire_at_ =
            fleet_.now() + millis{daemon::get_number(*response, "ttl_s", 1) * 1000};
    }
}

awaitable<bool> caller::connect()
{
    const bool is_listed =
        std::find(addresses_.begin(), addresses_.end(), connected_to_) != addresses_.end();
    // Reuses the connection in most cases and opens a new one now and then.
    if (connection_ && connection_->reusable() &&
        (keeps_connection_ || (is_listed && random_.below(5) != 0)))
    {
        co_return true;
    }
    // Some callers hold on to an address that is no longer listed, as long as it accepts them.
    if (!keeps_connection_ || !connection_ || random_.below(2) == 0)
    {
        connected_to_ = addresses_[random_.below(addresses_.size())];
    }
    connection_ = std::make_shared<http_connection>(context_.get_executor());
    const std::error_code ec =
        co_await connection_->connect(connected_to_, connect_timeout, idle_timeout);
    if (ec)
    {
        connection_.reset();
        std::erase(addresses_, connected_to_);
    }
    co_return !ec;
}

awaitable<caller::exchange_result> caller::receive_events(std::string id, time_point sent_at)
{
    exchange_result received;
    constexpr millis clock_resolution{1};
    std::string text;
    const bool abandons = random_.below(15) == 0;
    for (;;)
    {
        const result<std::string> part = co_await connection_->read_some(answer_timeout);
        received.events = keep_whole_events(text);
        if (!part)
        {
            if (fleet_.now() - sent_at + clock_resolution >= soak_fleet::route_timeout)
            {
                received.outcome = caller_outcome::timed_out;
            }
            co_return received;
        }
        if (part->empty())
        {
            break;
        }
        text += *part;
        if (abandons)
        {
            connection_->close();
            received.abandoned = true;
            co_return received;
        }
    }
    received.outcome = caller_outcome::served;
    received.complete = received.events == text && is_expected(id, text);
    co_return received;
}

bool caller::is_expected(const std::string& stream, const std::string& events)
{
    const std::set<std::string> versions = versions_in(events);
    std::string expected;
    for (int n = 1; n <= soak_fleet::event_count(stream) && versions.size() == 1; ++n)
    {
        expected += soak_fleet::make_event(stream, n, *versions.begin());
    }
    return events == expected;
}

http_request caller::make_request(const std::string& id, const std::string& key, const char* method,
                                  const char* target)
{
    http_request request;
    request.method = method;
    request.target = target;
    request.fields.emplace_back("Host", "soak.example");
    request.fields.emplace_back("X-Attempt-Id", id);
    request.fields.emplace_back("X-Deadline-Ms", std::to_string(request_timeout.count));
    request.fields.emplace_back("Authorization", "Bearer " + key);
    return request;
}

awaitable<void> caller::take_up(std::string first_attempt, std::string events, std::string key)
{
    if (addresses_.empty())
    {
        co_return;
    }
    connected_to_ = addresses_[random_.below(addresses_.size())];
    connection_ = std::make_shared<http_connection>(context_.get_executor());
    const std::error_code ec =
        co_await connection_->connect(connected_to_, connect_timeout, idle_timeout);
    if (ec)
    {
        connection_.reset();
        co_return;
    }
    const std::string id = name_ + "-" + std::to_string(++sent_count_);
    http_request request = make_request(id, key, "POST", "/r/note");
    add_chat(request, first_attempt);
    request.fields.emplace_back("Last-Event-Id", std::to_string(last_event_in(events)));
    request.fields.emplace_back("Resumes", first_attempt);
    fleet_.checker.record_sent(id, request_kind::resumable, key, fleet_.now());
    connection_->send(std::move(request));
    exchange_result received = co_await receive(id, request_kind::resumable);
    const std::string joined = events + received.events;
    fleet_.checker.record_versions(first_attempt, versions_in(joined));
    // The events of this attempt are only the rest of the stream.
    received.complete = is_expected(first_attempt, joined);
    if (received.abandoned)
    {
        fleet_.checker.record_abandoned(id);
    }
    else if (received.outcome != caller_outcome::no_answer)
    {
        fleet_.checker.record_outcome(id, received.outcome, received.complete, false, fleet_.now());
    }
    if (received.outcome == caller_outcome::no_answer ||
        received.outcome == caller_outcome::timed_out)
    {
        connection_.reset();
    }
}

awaitable<caller::exchange_result> caller::receive(std::string id, request_kind kind)
{
    const time_point sent_at = fleet_.now();
    exchange_result received;
    const result<http_response> head = co_await connection_->read_head(answer_timeout);
    if (!head)
    {
        co_return received;
    }
    const bool events = kind == request_kind::stream || kind == request_kind::resumable;
    if (events && head->status == 200)
    {
        exchange_result streamed = co_await receive_events(id, sent_at);
        co_return streamed;
    }
    const result<std::string> body =
        co_await daemon::read_body(*connection_, answer_timeout, max_body_bytes);
    if (!body)
    {
        co_return received;
    }
    if (head->status == 200)
    {
        received.outcome = caller_outcome::served;
        received.complete = *body == soak_fleet::expected_body(id) &&
                            daemon::find_field(head->fields, "X-Attempt-Id") == id;
        co_return received;
    }
    received.outcome = is_refusal(head->status) ? caller_outcome::refused : caller_outcome::failed;
    co_return received;
}

awaitable<void> caller::send_request()
{
    const request_template& chosen = request_templates[random_.below(request_templates.size())];
    const std::string id = name_ + "-" + std::to_string(++sent_count_);
    // Some requests use any key, which may have been withdrawn.
    const std::vector<std::string>& usable_keys =
        random_.below(10) == 0 ? fleet_.all_keys : fleet_.keys;
    const std::string key = usable_keys[random_.below(usable_keys.size())];
    http_request request = make_request(id, key, chosen.method, chosen.target);
    if (chosen.kind == request_kind::stream || chosen.kind == request_kind::resumable)
    {
        add_chat(request, id);
    }
    soak_router* router = find_router(connected_to_);
    fleet_.checker.record_sent(id, chosen.kind, key, fleet_.now());
    connection_->send(std::move(request));
    const exchange_result received = co_await receive(id, chosen.kind);
    const time_point ended_at = fleet_.now();
    if (received.outcome == caller_outcome::no_answer)
    {
        // Until a delay of this process at the end of the connection is measured.
        co_await daemon::sleep_for(soak_fleet::observation_interval * 2);
    }
    const bool planned_stop = router != nullptr && router->stopping;
    if (received.abandoned)
    {
        fleet_.checker.record_abandoned(id);
    }
    else
    {
        fleet_.checker.record_outcome(id, received.outcome, received.complete, planned_stop,
                                      ended_at);
    }
    if (received.outcome == caller_outcome::no_answer ||
        received.outcome == caller_outcome::timed_out)
    {
        connection_.reset();
    }
    fleet_.checker.record_versions(id, versions_in(received.events));
    const bool broke_off =
        received.outcome == caller_outcome::no_answer && !received.events.empty();
    if (broke_off && chosen.kind == request_kind::resumable && !received.abandoned)
    {
        co_await take_up(id, received.events, key);
    }
    if (received.outcome == caller_outcome::refused || received.outcome == caller_outcome::failed)
    {
        co_await daemon::sleep_for(millis{200});
    }
}

void caller::add_chat(http_request& request, const std::string& id)
{
    constexpr std::uint64_t chats = 30;
    request.fields.emplace_back("X-Prefix-Hash", "aa:400,c" + std::to_string(hash64(id) % chats) +
                                                     ":900,f" + id + ":20");
}

/// Callers that keep a connection often use it again when routers are about to close it.
millis caller::choose_pause()
{
    constexpr millis max_idle{1500};
    constexpr std::int64_t router_margin_ms = 1000; // Routers wait this much longer.
    constexpr std::int64_t spread_ms = 600;
    if (keeps_connection_ && fleet_.idle_timeout() < max_idle && random_.below(4) == 0)
    {
        const millis earliest = fleet_.idle_timeout() + millis{router_margin_ms - spread_ms / 2};
        return earliest + millis{static_cast<std::int64_t>(random_.below(spread_ms))};
    }
    return millis{static_cast<std::int64_t>(5 + random_.below(60))};
}

awaitable<void> caller::run(const bool& stopping)
{
    while (!stopping)
    {
        if (addresses_.empty() || fleet_.now() >= addresses_expire_at_)
        {
            co_await refresh_addresses();
        }
        if (addresses_.empty())
        {
            co_await daemon::sleep_for(millis{100});
            continue;
        }
        const bool connected = co_await connect();
        if (connected)
        {
            co_await send_request();
        }
        co_await daemon::sleep_for(choose_pause());
    }
}

} // namespace endivestage::soak
