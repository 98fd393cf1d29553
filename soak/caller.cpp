#include <soak/caller.hpp>

#include <endivestage/daemon/json_access.hpp>
#include <endivestage/daemon/sleep.hpp>

#include <algorithm>
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

constexpr millis connect_wait{1000};
constexpr millis silence{1000};
constexpr millis deadline{4500};
constexpr millis address_wait{1000};
constexpr std::size_t body_limit = 1U << 20U;

struct kind_of_request
{
    request_kind kind;
    const char* method;
    const char* target;
};

constexpr std::array<kind_of_request, 4> kinds{{{request_kind::once, "POST", "/o/place"},
                                                {request_kind::idempotent, "GET", "/i/look"},
                                                {request_kind::stream, "POST", "/s/brief"},
                                                {request_kind::resumable, "POST", "/r/note"}}};

bool promises_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

caller::caller(asio::io_context& context, soak_fleet& fleet, std::size_t number)
    : context_(context),
      fleet_(fleet),
      name_("c" + std::to_string(number)),
      random_(hash64(name_, fleet.random.next()))
{
}

soak_router* caller::router_at(const daemon::network_address& address)
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
        soak_fleet::directory_address(*fleet_.routers[n]), address_wait, address_wait);
    if (ec)
    {
        co_return;
    }
    http_request question;
    question.target = "/v1/resolve?name=soak.example&region=north&zone=zone-a";
    question.fields.emplace_back("Host", "soak.example");
    directory.send(std::move(question));
    const result<http_response> head = co_await directory.read_head(address_wait);
    if (!head || head->status != 200)
    {
        co_return;
    }
    const result<std::string> body =
        co_await daemon::read_body(directory, address_wait, body_limit);
    const result<json::object> answer =
        body ? daemon::parse_json_object(*body) : result<json::object>(body.error());
    if (!answer)
    {
        co_return;
    }
    std::vector<daemon::network_address> found;
    for (const json::value& text : daemon::get_array(*answer, "addresses"))
    {
        daemon::network_address address;
        if (text.is_string() &&
            daemon::parse_network_address(std::string(text.get_string()), address))
        {
            found.push_back(std::move(address));
        }
    }
    if (!found.empty())
    {
        addresses_ = std::move(found);
        addresses_until_ = fleet_.now() + millis{daemon::get_number(*answer, "ttl_s", 1) * 1000};
    }
}

awaitable<bool> caller::connect()
{
    const bool listed =
        std::find(addresses_.begin(), addresses_.end(), connected_to_) != addresses_.end();
    // Most callers keep a connection while it works; some open a new one each time.
    if (connection_ && connection_->reusable() && listed && random_.below(5) != 0)
    {
        co_return true;
    }
    connected_to_ = addresses_[random_.below(addresses_.size())];
    connection_ = std::make_shared<http_connection>(context_.get_executor());
    const std::error_code ec = co_await connection_->connect(connected_to_, connect_wait, silence);
    if (ec)
    {
        connection_.reset();
        std::erase(addresses_, connected_to_);
    }
    co_return !ec;
}

awaitable<caller::received> caller::receive_events(std::string id)
{
    received got;
    std::string text;
    const bool leaves = random_.below(15) == 0;
    for (;;)
    {
        const result<std::string> part = co_await connection_->read_some(deadline);
        if (!part)
        {
            co_return got;
        }
        if (part->empty())
        {
            break;
        }
        text += *part;
        if (leaves)
        {
            connection_->close();
            got.gave_up = true;
            co_return got;
        }
    }
    std::string wanted;
    for (int n = 1; n <= soak_fleet::event_count(id); ++n)
    {
        wanted += soak_fleet::expected_event(id, n);
    }
    got.outcome = caller_outcome::served;
    got.whole = text == wanted;
    co_return got;
}

awaitable<caller::received> caller::receive(std::string id, request_kind kind)
{
    received got;
    const result<http_response> head = co_await connection_->read_head(deadline);
    if (!head)
    {
        co_return got;
    }
    const bool events = kind == request_kind::stream || kind == request_kind::resumable;
    if (events && head->status == 200)
    {
        received streamed = co_await receive_events(id);
        co_return streamed;
    }
    const result<std::string> body = co_await daemon::read_body(*connection_, deadline, body_limit);
    if (!body)
    {
        co_return got;
    }
    if (head->status == 200)
    {
        got.outcome = caller_outcome::served;
        got.whole = *body == soak_fleet::expected_body(id) &&
                    daemon::find_field(head->fields, "X-Attempt-Id") == id;
        co_return got;
    }
    got.outcome = promises_not_run(head->status) ? caller_outcome::refused : caller_outcome::failed;
    co_return got;
}

awaitable<void> caller::send_one()
{
    const kind_of_request& what = kinds[random_.below(kinds.size())];
    const std::string id = name_ + "-" + std::to_string(++sent_);
    // Now and then a caller uses any key, which may have been withdrawn.
    const std::vector<std::string>& known = random_.below(10) == 0 ? fleet_.all_keys : fleet_.keys;
    const std::string key = known[random_.below(known.size())];
    http_request request;
    request.method = what.method;
    request.target = what.target;
    request.fields.emplace_back("Host", "soak.example");
    request.fields.emplace_back("X-Attempt-Id", id);
    request.fields.emplace_back("X-Deadline-Ms", std::to_string(deadline.count));
    request.fields.emplace_back("Authorization", "Bearer " + key);
    if (what.kind == request_kind::stream || what.kind == request_kind::resumable)
    {
        const std::string chat = std::to_string(random_.below(30));
        request.fields.emplace_back("X-Prefix-Hash", "aa:400,c" + chat + ":900,f" + id + ":20");
    }
    soak_router* router = router_at(connected_to_);
    fleet_.checker.record_sent(id, what.kind, key, fleet_.now());
    connection_->send(std::move(request));
    const received got = co_await receive(id, what.kind);
    const bool planned = router != nullptr && router->stopping;
    if (got.gave_up)
    {
        fleet_.checker.record_abandoned(id);
    }
    else
    {
        fleet_.checker.record_outcome(id, got.outcome, got.whole, planned, fleet_.now());
    }
    if (got.outcome == caller_outcome::no_answer)
    {
        connection_.reset();
    }
    if (got.outcome == caller_outcome::refused || got.outcome == caller_outcome::failed)
    {
        co_await daemon::sleep_for(millis{200});
    }
}

awaitable<void> caller::run(const bool& ending)
{
    while (!ending)
    {
        if (addresses_.empty() || fleet_.now() >= addresses_until_)
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
            co_await send_one();
        }
        co_await daemon::sleep_for(millis{static_cast<std::int64_t>(5 + random_.below(60))});
    }
}

} // namespace endivestage::soak
