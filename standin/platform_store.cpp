#include <standin/platform_store.hpp>

#include <endivestage/daemon/json_access.hpp>
#include <endivestage/daemon/process_clock.hpp>
#include <endivestage/daemon/sleep.hpp>
#include <platform/store_client.hpp>

#include <algorithm>
#include <cstdlib>

namespace endivestage::standin
{

namespace asio = boost::asio;
namespace json = boost::json;
using daemon::awaitable;
using daemon::http_request;
using daemon::http_response;
using daemon::http_target;
using daemon::response_writer;

namespace
{

constexpr millis poll_interval{5};
constexpr millis test_horizon{60000};
constexpr std::size_t max_page_rows = 500;
constexpr std::size_t max_page_bytes = 1UL * 1024 * 1024;

std::uint64_t parse_number(std::string_view text)
{
    return std::strtoull(std::string(text).c_str(), nullptr, 10);
}

} // namespace

platform_store::platform_store(asio::io_context& context)
    : context_(context),
      server_(context, {},
              [this](http_request request, response_writer& writer)
              { return respond(std::move(request), writer); })
{
}

std::error_code platform_store::start()
{
    return server_.listen({"127.0.0.1", 0});
}

void platform_store::put(const std::string& table, const std::string& key, const std::string& data)
{
    rows_[{table, key}] = {platform::encode_base64(data), ++revision_, false};
}

void platform_store::erase(const std::string& table, const std::string& key)
{
    rows_[{table, key}] = {{}, ++revision_, true};
}

void platform_store::restore()
{
    rows_ = copy_.rows;
    revision_ = copy_.revision;
    ++era;
    ++restores_;
}

awaitable<void> platform_store::send(http_response response, response_writer& writer) const
{
    if (era != 0)
    {
        response.fields.emplace_back("Store-Era", std::to_string(era));
    }
    co_await writer.send(std::move(response));
}

std::string platform_store::get(const std::string& table, const std::string& key) const
{
    const auto it = rows_.find({table, key});
    if (it == rows_.end() || it->second.deleted)
    {
        return {};
    }
    const result<std::string> data = platform::decode_base64(it->second.data);
    return data ? *data : std::string();
}

bool platform_store::has_changed(const std::string& table, std::uint64_t since) const
{
    return std::any_of(rows_.begin(), rows_.end(),
                       [&](const std::pair<const row_key, row>& entry)
                       { return entry.first.first == table && entry.second.revision > since; });
}

std::string platform_store::list_rows(const row_selection& selection) const
{
    const bool paged = selection.max_rows > 0;
    json::array rows;
    std::size_t bytes = 0;
    bool has_more = false;
    for (const std::pair<const row_key, row>& entry : rows_)
    {
        const row& stored = entry.second;
        if (entry.first.first != selection.table || stored.revision <= selection.since ||
            entry.first.second < selection.first_key || (stored.deleted && paged))
        {
            continue;
        }
        bytes += stored.data.size();
        if (paged && (rows.size() == selection.max_rows || bytes > max_page_bytes))
        {
            has_more = true;
            break;
        }
        json::object fields{{"table", selection.table},
                            {"part", ""},
                            {"key", entry.first.second},
                            {"row_version", stored.revision}};
        if (stored.deleted)
        {
            fields["deleted"] = true;
        }
        else
        {
            fields["data"] = stored.data;
        }
        rows.push_back(std::move(fields));
    }
    const daemon::process_clock clock;
    return json::serialize(json::object{{"rows", std::move(rows)},
                                        {"has_more", has_more},
                                        {"row_version", revision_},
                                        {"now_ms", clock.now().since_epoch}});
}

awaitable<void> platform_store::respond_to_feed(const http_target& target, response_writer& writer)
{
    http_response response;
    if (faults.drop_history)
    {
        faults.drop_history = false;
        response.status = 410;
        co_await send(std::move(response), writer);
        co_return;
    }
    const std::string table(target.parameter("table"));
    const std::uint64_t since = parse_number(target.parameter("since_rev"));
    const std::uint64_t restores = restores_;
    if (since > revision_)
    {
        response.status = 410;
        co_await send(std::move(response), writer);
        co_return;
    }
    const daemon::process_clock clock;
    const time_point deadline =
        clock.now() + millis{static_cast<std::int64_t>(parse_number(target.parameter("wait_ms")))};
    while (!has_changed(table, since) && clock.now() < deadline && restores == restores_)
    {
        co_await daemon::sleep_for(poll_interval);
    }
    if (restores != restores_)
    {
        writer.abort();
        co_return;
    }
    co_await lose_response(table);
    response.body = list_rows({table, since, {}, 0});
    co_await send(std::move(response), writer);
}

awaitable<void> platform_store::lose_response(std::string table) const
{
    if (faults.lose_responses || (!faults.lost_table.empty() && faults.lost_table == table))
    {
        for (;;)
        {
            co_await daemon::sleep_for(test_horizon);
        }
    }
}

awaitable<void> platform_store::respond_to_transaction(std::string body, response_writer& writer)
{
    const result<json::object> parsed = daemon::parse_json_object(body);
    http_response response;
    if (!parsed)
    {
        response.status = 400;
        co_await send(std::move(response), writer);
        co_return;
    }
    for (const json::value& entry : daemon::get_array(*parsed, "expected_rev"))
    {
        const json::object& fields = entry.as_object();
        const auto it =
            rows_.find({daemon::get_text(fields, "table"), daemon::get_text(fields, "key")});
        const std::uint64_t revision =
            it == rows_.end() || it->second.deleted ? 0 : it->second.revision;
        if (revision != daemon::get_unsigned(fields, "row_version"))
        {
            response.status = 412;
            co_await send(std::move(response), writer);
            co_return;
        }
    }
    for (const json::value& entry : daemon::get_array(*parsed, "write"))
    {
        const json::object& fields = entry.as_object();
        rows_[{daemon::get_text(fields, "table"), daemon::get_text(fields, "key")}] = {
            daemon::get_text(fields, "data"), ++revision_, false};
    }
    for (const json::value& entry : daemon::get_array(*parsed, "delete"))
    {
        const json::object& fields = entry.as_object();
        erase(daemon::get_text(fields, "table"), daemon::get_text(fields, "key"));
    }
    if (faults.lose_write_responses)
    {
        writer.abort();
        co_return;
    }
    response.body = json::serialize(json::object{{"row_version", revision_}, {"now_ms", 0}});
    co_await send(std::move(response), writer);
}

awaitable<void> platform_store::respond(http_request request, response_writer& writer)
{
    ++calls_;
    while (faults.silent)
    {
        co_await daemon::sleep_for(poll_interval);
    }
    if (faults.reset)
    {
        writer.abort();
        co_return;
    }
    co_await lose_response({});
    http_response response;
    http_target target;
    if (faults.status != 0 || !daemon::parse_target(request.target, target) ||
        target.segments.size() != 2)
    {
        response.status = faults.status != 0 ? faults.status : 404;
        co_await send(std::move(response), writer);
        co_return;
    }
    if (target.segments[1] == "rows-feed")
    {
        co_await respond_to_feed(target, writer);
        co_return;
    }
    if (target.segments[1] == "rows-tx")
    {
        co_await respond_to_transaction(std::move(request.body), writer);
        co_return;
    }
    ++lists_;
    row_selection page{std::string(target.parameter("table")), 0, {}, max_page_rows};
    if (!faults.repeat_pages)
    {
        page.first_key = target.parameter("source");
    }
    response.body = list_rows(page);
    co_await send(std::move(response), writer);
}

} // namespace endivestage::standin
