#include <endivestage/daemon/platform_client.hpp>

#include <endivestage/daemon/http_client.hpp>
#include <endivestage/daemon/json_access.hpp>

#include <atomic>
#include <boost/asio/async_result.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <utility>

namespace endivestage::daemon
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

std::string_view kind_name(table_operation::kind what)
{
    switch (what)
    {
    case table_operation::kind::insert:
        return "insert";
    case table_operation::kind::replace:
        return "replace";
    case table_operation::kind::erase:
        return "erase";
    case table_operation::kind::read:
        break;
    }
    return "read";
}

std::string encode_group(const write_batch::group& group)
{
    json::array operations;
    for (const batched_operation& entry : group)
    {
        operations.push_back(json::object{{"kind", kind_name(entry.operation.what)},
                                          {"key", entry.operation.key},
                                          {"expected_version", entry.operation.expected_version},
                                          {"value", entry.operation.value}});
    }
    return json::serialize(json::object{{"operations", std::move(operations)}});
}

table_row decode_row_object(const json::object& object)
{
    return {get_text(object, "key"), get_unsigned(object, "version"), get_text(object, "value")};
}

table_result decode_result(const json::value& value)
{
    table_result decoded;
    decoded.what = table_result::outcome::lost;
    if (!value.is_object())
    {
        return decoded;
    }
    const std::string outcome = get_text(value.get_object(), "outcome");
    decoded.row = decode_row_object(get_object(value.get_object(), "row"));
    if (outcome == "applied")
    {
        decoded.what = table_result::outcome::applied;
    }
    else if (outcome == "conflict")
    {
        decoded.what = table_result::outcome::conflict;
    }
    else if (outcome == "not_found")
    {
        decoded.what = table_result::outcome::not_found;
    }
    return decoded;
}

host_state parse_host_state(const std::string& text)
{
    return text == "leaving" ? host_state::leaving : host_state::live;
}

platform_hosts decode_hosts(const json::object& body)
{
    platform_hosts decoded;
    decoded.hosts.revision = get_unsigned(body, "revision");
    for (const json::value& entry : get_array(body, "hosts"))
    {
        if (!entry.is_object())
        {
            continue;
        }
        const json::object& host = entry.get_object();
        const host_state state = parse_host_state(get_text(host, "state"));
        decoded.hosts.hosts.push_back({get_text(host, "host"), get_unsigned(host, "start"), state});
        if (get_text(host, "role") == "router")
        {
            router_host router;
            router.id = router_id(get_text(host, "id"));
            router.zone = zone_id(get_text(host, "zone"));
            router.region = region_id(get_text(host, "region"));
            router.host = get_text(host, "host");
            router.port = static_cast<std::uint16_t>(get_number(host, "port"));
            router.peer_port = static_cast<std::uint16_t>(get_number(host, "peer_port"));
            router.udp_port = static_cast<std::uint16_t>(get_number(host, "udp_port"));
            router.leaving = state == host_state::leaving;
            decoded.routers.push_back(std::move(router));
        }
    }
    return decoded;
}

http_request make_request(std::string method, std::string target, std::string body = {})
{
    http_request request;
    request.method = std::move(method);
    request.target = std::move(target);
    request.body = std::move(body);
    return request;
}

} // namespace

struct platform_client::state : std::enable_shared_from_this<platform_client::state>
{
    state(asio::io_context& c, platform_addresses a, const clock& t, millis limit)
        : context(c),
          addresses(std::move(a)),
          time(t),
          timeout(limit),
          timer(asio::make_strand(c))
    {
    }

    void send(write_batch::group group);
    awaitable<void> run(write_batch::group group);
    void finish(const write_batch::group& group, std::vector<table_result> results);
    void arm();

    asio::io_context& context;
    platform_addresses addresses;
    const clock& time;
    millis timeout;
    std::mutex mutex;
    write_batch batch;
    std::map<std::uint64_t, table_callback> waiting;
    std::uint64_t last_ticket = 0;
    asio::steady_timer timer;
    bool armed = false;
    std::atomic<bool> available{true};
};

void platform_client::state::send(write_batch::group group)
{
    asio::co_spawn(
        asio::make_strand(context),
        [self = shared_from_this(), group = std::move(group)]() -> awaitable<void>
        { co_await self->run(group); },
        asio::detached);
}

awaitable<void> platform_client::state::run(write_batch::group group)
{
    http_request request = make_request("POST", "/v1/table", encode_group(group));
    const result<http_response> response =
        co_await http_call(addresses.table, std::move(request), timeout);
    table_result failed;
    failed.what = response ? table_result::outcome::unavailable : table_result::outcome::lost;
    if (!response && response.error() == errc::endpoint_unavailable)
    {
        failed.what = table_result::outcome::unavailable;
    }
    std::vector<table_result> results(group.size(), failed);
    available = response && response->status == 200;
    if (available)
    {
        const result<json::object> body = parse_json_object(response->body);
        const json::array none;
        const json::array& list = body ? get_array(*body, "results") : none;
        for (std::size_t n = 0; n < results.size(); ++n)
        {
            results[n].what = table_result::outcome::lost;
            if (n < list.size())
            {
                results[n] = decode_result(list[n]);
            }
        }
    }
    finish(group, std::move(results));
}

void platform_client::state::finish(const write_batch::group& group,
                                    std::vector<table_result> results)
{
    for (std::size_t n = 0; n < group.size(); ++n)
    {
        table_callback done;
        {
            const std::scoped_lock lock(mutex);
            const auto it = waiting.find(group[n].ticket);
            done = std::move(it->second);
            waiting.erase(it);
        }
        done(results[n]);
    }
}

// Must be called with the mutex held.
void platform_client::state::arm()
{
    if (armed || !batch.due_at())
    {
        return;
    }
    armed = true;
    const millis wait = *batch.due_at() - time.now();
    asio::post(timer.get_executor(),
               [self = shared_from_this(), wait]
               {
                   self->timer.expires_after(std::chrono::milliseconds(wait.count));
                   self->timer.async_wait(
                       [self](const boost::system::error_code&)
                       {
                           std::optional<write_batch::group> group;
                           {
                               const std::scoped_lock lock(self->mutex);
                               self->armed = false;
                               group = self->batch.take_due(self->time.now());
                               self->arm();
                           }
                           if (group)
                           {
                               self->send(std::move(*group));
                           }
                       });
               });
}

platform_client::platform_client(asio::io_context& context, platform_addresses addresses,
                                 const clock& time, millis timeout)
    : state_(std::make_shared<state>(context, std::move(addresses), time, timeout))
{
}

platform_client::~platform_client() = default;

void platform_client::submit(table_operation operation, table_callback done)
{
    std::optional<write_batch::group> group;
    {
        const std::scoped_lock lock(state_->mutex);
        const std::uint64_t ticket = ++state_->last_ticket;
        state_->waiting.emplace(ticket, std::move(done));
        group = state_->batch.add(ticket, std::move(operation), state_->time.now());
        state_->arm();
    }
    if (group)
    {
        state_->send(std::move(*group));
    }
}

awaitable<table_result> platform_client::table(table_operation operation)
{
    co_return co_await asio::async_initiate<const asio::use_awaitable_t<>&, void(table_result)>(
        [this](auto handler, table_operation op)
        {
            auto shared = std::make_shared<decltype(handler)>(std::move(handler));
            submit(std::move(op),
                   [shared](const table_result& answer)
                   {
                       auto executor = asio::get_associated_executor(*shared);
                       asio::post(executor, [shared, answer] { std::move (*shared)(answer); });
                   });
        },
        asio::use_awaitable, std::move(operation));
}

awaitable<result<std::vector<table_row>>> platform_client::rows(std::string prefix)
{
    const std::shared_ptr<state> self = state_;
    http_request request = make_request("GET", "/v1/table?prefix=" + encode_component(prefix));
    const result<http_response> response =
        co_await http_call(self->addresses.table, std::move(request), self->timeout);
    if (!response || response->status != 200)
    {
        co_return make_error_code(errc::store_unavailable);
    }
    std::vector<table_row> found;
    const result<json::object> body = parse_json_object(response->body);
    if (!body)
    {
        co_return make_error_code(errc::store_unavailable);
    }
    for (const json::value& row : get_array(*body, "rows"))
    {
        if (row.is_object())
        {
            found.push_back(decode_row_object(row.get_object()));
        }
    }
    co_return found;
}

awaitable<std::error_code> platform_client::put_object(std::string key, std::string body)
{
    const std::shared_ptr<state> self = state_;
    http_request request = make_request("PUT", "/v1/objects/" + key, std::move(body));
    const result<http_response> response =
        co_await http_call(self->addresses.objects, std::move(request), self->timeout);
    co_return response && response->status == 200 ? std::error_code{}
                                                  : make_error_code(errc::store_unavailable);
}

awaitable<result<std::string>> platform_client::get_object(std::string key)
{
    const std::shared_ptr<state> self = state_;
    http_request request = make_request("GET", "/v1/objects/" + key);
    result<http_response> response =
        co_await http_call(self->addresses.objects, std::move(request), self->timeout);
    if (!response || (response->status != 200 && response->status != 404))
    {
        co_return make_error_code(errc::store_unavailable);
    }
    if (response->status == 404)
    {
        co_return make_error_code(errc::not_found);
    }
    co_return std::move(response->body);
}

awaitable<result<platform_hosts>> platform_client::hosts()
{
    const std::shared_ptr<state> self = state_;
    http_request request = make_request("GET", "/v1/hosts");
    const result<http_response> response =
        co_await http_call(self->addresses.hosts, std::move(request), self->timeout);
    if (!response || response->status != 200)
    {
        co_return make_error_code(errc::store_unavailable);
    }
    const result<json::object> body = parse_json_object(response->body);
    if (!body)
    {
        co_return make_error_code(errc::store_unavailable);
    }
    co_return decode_hosts(*body);
}

bool platform_client::store_available() const
{
    return state_->available;
}

} // namespace endivestage::daemon
