#include "standin.hpp"

#include <deque>
#include <map>
#include <utility>

namespace endivestage::standin
{

namespace json = boost::json;

namespace
{

struct faults
{
    bool store_down = false;
    std::int64_t lose_answers = 0; ///< Responses to table writes to drop after they were applied.
    millis delay{0};               ///< Before each access to the table or the objects.
};

class platform
{
public:
    explicit platform(const platform_options& options) : options_(options) {}

    awaitable<void> handle(http_request request, response_writer& writer)
    {
        http_target target;
        if (!parse_target(request.target, target) || target.segments.size() < 2)
        {
            co_await writer.send(error_response("not_found", 404));
            co_return;
        }
        if (target.segments[0] == "control")
        {
            co_await writer.send(control(target, request));
            co_return;
        }
        const std::string& resource = target.segments[1];
        const bool uses_store = resource == "table" || resource == "objects";
        if (uses_store && faults_.delay.count > 0)
        {
            co_await sleep_for(faults_.delay);
        }
        if (uses_store && faults_.store_down)
        {
            co_await writer.send(error_response("unavailable", 503));
            co_return;
        }
        http_response response = dispatch(resource, target, request);
        if (resource == "table" && request.method == "POST" && faults_.lose_answers > 0)
        {
            --faults_.lose_answers;
            writer.abort();
            co_return;
        }
        co_await writer.send(std::move(response));
    }

private:
    http_response dispatch(const std::string& resource, const http_target& target,
                           const http_request& request)
    {
        if (resource == "table")
        {
            return request.method == "POST" ? apply_batch(request) : list_rows(target);
        }
        if (resource == "objects" && target.segments.size() == 3)
        {
            return object(target.segments[2], request);
        }
        if (resource == "hosts")
        {
            return hosts();
        }
        if (resource == "weights" && request.method == "POST")
        {
            return load_weights();
        }
        return error_response("not_found", 404);
    }

    http_response apply_batch(const http_request& request)
    {
        json::array results;
        const json::object body = parse_object(request.body);
        const json::value* operations = body.if_contains("operations");
        if (operations == nullptr || !operations->is_array())
        {
            return error_response("invalid_request", 400);
        }
        for (const json::value& operation : operations->as_array())
        {
            if (!operation.is_object())
            {
                return error_response("invalid_request", 400);
            }
            results.push_back(apply(operation.as_object()));
        }
        return json_response(json::object{{"results", std::move(results)}});
    }

    json::object apply(const json::object& operation)
    {
        const std::string kind = text_or_empty(operation, "kind");
        const std::string key = text_or_empty(operation, "key");
        const std::uint64_t expected =
            static_cast<std::uint64_t>(number_or(operation, "expected_version", 0));
        const auto it = rows_.find(key);
        const bool present = it != rows_.end() && it->second.version % 2 == 1;
        if (kind != "read")
        {
            ++writes_;
        }
        if (kind == "insert" ? present : !present)
        {
            return kind == "insert" ? make_result("conflict", it->second)
                                    : make_result("not_found", {});
        }
        if ((kind == "replace" || kind == "erase") && it->second.version != expected)
        {
            return make_result("conflict", it->second);
        }
        if (kind == "read")
        {
            return make_result("applied", it->second);
        }
        // Versions are odd while a row exists and become even when it is erased, so that a row that
        // is inserted again never reuses an earlier version.
        table_row& row = rows_[key];
        row.key = key;
        row.value = kind == "erase" ? std::string() : text_or_empty(operation, "value");
        row.version += kind == "replace" ? 2 : 1;
        return make_result("applied", row);
    }

    static json::object make_result(const char* outcome, const table_row& row)
    {
        return {{"outcome", outcome},
                {"row",
                 json::object{{"key", row.key}, {"version", row.version}, {"value", row.value}}}};
    }

    http_response list_rows(const http_target& target) const
    {
        const std::string prefix(target.parameter("prefix"));
        json::array rows;
        for (auto it = rows_.lower_bound(prefix);
             it != rows_.end() && it->first.starts_with(prefix) && rows.size() < 1000; ++it)
        {
            if (it->second.version % 2 == 1)
            {
                rows.push_back(json::object{{"key", it->first},
                                            {"version", it->second.version},
                                            {"value", it->second.value}});
            }
        }
        return json_response(json::object{{"rows", std::move(rows)}});
    }

    http_response object(const std::string& key, const http_request& request)
    {
        if (request.method == "PUT")
        {
            objects_[key] = request.body;
            ++writes_;
            return json_response(json::object{{"stored", key}});
        }
        const auto it = objects_.find(key);
        return it == objects_.end() ? error_response("not_found", 404)
                                    : http_response{200, {}, it->second};
    }

    http_response hosts()
    {
        while (!pending_hosts_.empty() && pending_hosts_.front().first <= steady_now())
        {
            const json::object& change = pending_hosts_.front().second;
            const std::string host = text_or_empty(change, "host");
            if (text_or_empty(change, "state") == "gone")
            {
                visible_hosts_.erase(host);
            }
            else
            {
                visible_hosts_[host] = change;
            }
            pending_hosts_.pop_front();
            ++host_revision_;
        }
        json::array list;
        for (const std::pair<const std::string, json::object>& host : visible_hosts_)
        {
            list.push_back(host.second);
        }
        return json_response(
            json::object{{"revision", host_revision_}, {"hosts", std::move(list)}});
    }

    http_response load_weights()
    {
        const time_point now = steady_now();
        while (!loads_.empty() && now - loads_.front() >= millis{1000})
        {
            loads_.pop_front();
        }
        if (static_cast<double>(loads_.size()) >= options_.max_weight_loads_per_second)
        {
            ++refused_loads_;
            return error_response("rate_limited", 429);
        }
        loads_.push_back(now);
        return json_response(json::object{{"loaded", true}});
    }

    http_response control(const http_target& target, const http_request& request)
    {
        const json::object body = parse_object(request.body);
        if (target.segments[1] == "faults" && request.method == "POST")
        {
            faults_.store_down = number_or(body, "store_down", faults_.store_down ? 1 : 0) != 0;
            faults_.lose_answers = number_or(body, "lose_answers", faults_.lose_answers);
            faults_.delay = {number_or(body, "delay_ms", faults_.delay.count)};
        }
        if (target.segments[1] == "hosts" && request.method == "POST")
        {
            const bool immediate = text_or_empty(body, "immediate") == "yes";
            pending_hosts_.emplace_back(
                immediate ? steady_now() : steady_now() + options_.host_list_delay, body);
        }
        return json_response(json::object{
            {"rows", rows_.size()}, {"writes", writes_}, {"refused_loads", refused_loads_}});
    }

    platform_options options_;
    faults faults_;
    std::map<std::string, table_row> rows_;
    std::map<std::string, std::string> objects_;
    std::map<std::string, json::object> visible_hosts_;
    std::deque<std::pair<time_point, json::object>> pending_hosts_;
    std::deque<time_point> loads_;
    std::int64_t host_revision_ = 0;
    std::int64_t refused_loads_ = 0;
    std::int64_t writes_ = 0;
};

} // namespace

int run_platform(const platform_options& options)
{
    boost::asio::io_context context(1);
    platform instance(options);
    http_server server(context, {},
                       [&instance](http_request request, response_writer& writer)
                       { return instance.handle(std::move(request), writer); });
    return serve(context, server, options.listen);
}

} // namespace endivestage::standin
