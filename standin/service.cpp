#include "standin.hpp"

#include <map>
#include <utility>

namespace endivestage::standin
{

namespace json = boost::json;

namespace
{

class service
{
public:
    explicit service(service_options options) : options_(std::move(options)) {}

    awaitable<void> handle(http_request request, response_writer& writer)
    {
        http_target target;
        if (!parse_target(request.target, target))
        {
            co_await writer.send(error_response("invalid_request", 400));
            co_return;
        }
        if (!target.segments.empty() && target.segments[0] == "control")
        {
            co_await writer.send(control(target, request));
            co_return;
        }
        if (silent_ > 0)
        {
            --silent_;
            co_await sleep_for(millis{600000});
        }
        co_await sleep_for(options_.service_time + delay_);
        http_response response = execute(target, request);
        if (lose_answers_ > 0)
        {
            --lose_answers_;
            writer.abort();
            co_return;
        }
        co_await writer.send(std::move(response));
    }

private:
    http_response execute(const http_target& target, const http_request& request)
    {
        const std::string key(find_field(request.fields, "Idempotency-Key"));
        const std::string id(find_field(request.fields, "X-Request-Id"));
        ++execution_count_;
        if (!key.empty())
        {
            ++executions_[key];
        }
        json::object body{{"service", options_.id}, {"path", request.target}};
        if (request.method == "POST")
        {
            body["order"] = "order-" + std::to_string(execution_count_);
        }
        else
        {
            body["stock"] = hash64(target.segments.empty() ? "" : target.segments.back()) % 100;
        }
        http_response response = json_response(body);
        const bool crossed = crossed_ > 0;
        crossed_ -= crossed ? 1 : 0;
        response.fields.emplace_back("X-Request-Id", crossed ? "crossed-" + id : id);
        return response;
    }

    http_response control(const http_target& target, const http_request& request)
    {
        const json::object body = parse_object(request.body);
        if (target.segments.size() > 1 && target.segments[1] == "faults")
        {
            lose_answers_ = number_or(body, "lose_answers", lose_answers_);
            crossed_ = number_or(body, "crossed", crossed_);
            silent_ = number_or(body, "silent", silent_);
            delay_ = {number_or(body, "delay_ms", delay_.count)};
        }
        std::int64_t repeated = 0;
        json::object by_key;
        for (const std::pair<const std::string, std::int64_t>& entry : executions_)
        {
            repeated += entry.second > 1 ? 1 : 0;
            by_key[entry.first] = entry.second;
        }
        return json_response(json::object{{"executions", execution_count_},
                                          {"repeated_keys", repeated},
                                          {"by_key", std::move(by_key)}});
    }

    service_options options_;
    std::map<std::string, std::int64_t> executions_; ///< Number for each idempotency key.
    std::int64_t execution_count_ = 0;
    std::int64_t lose_answers_ = 0;
    std::int64_t crossed_ = 0;
    std::int64_t silent_ = 0;
    millis delay_{0};
};

} // namespace

int run_service(const service_options& options)
{
    boost::asio::io_context context(1);
    service instance(options);
    http_server server(context, {},
                       [&instance](http_request request, response_writer& writer)
                       { return instance.handle(std::move(request), writer); });
    return serve(context, server, options.listen);
}

} // namespace endivestage::standin
