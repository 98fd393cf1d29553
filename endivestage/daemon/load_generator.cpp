#include <endivestage/daemon/commands.hpp>

#include <endivestage/daemon/event_stream.hpp>
#include <endivestage/daemon/http_client.hpp>
#include <endivestage/daemon/json_access.hpp>
#include <endivestage/daemon/node_context.hpp>
#include <endivestage/daemon/process_clock.hpp>
#include <endivestage/daemon/remote.hpp>
#include <endivestage/daemon/sleep.hpp>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/json.hpp>
#include <cmath>
#include <iostream>
#include <map>
#include <utility>
#include <vector>

namespace endivestage::daemon
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr millis call_timeout{10000};
constexpr millis request_limit{30000};
constexpr millis retry_pause{100};

/// What one request has received so far.
struct chat_progress
{
    std::uint64_t offset = 0;
    std::uint64_t base = 0;
    std::string resume; ///< Token of the last start event.
    bool complete = false;
    bool gap = false;
    std::string error;
    std::optional<millis> first_token;
    std::uint64_t cached_tokens = 0;
    std::uint64_t total_tokens = 0;
};

struct load_totals
{
    std::vector<std::int64_t> first_token_ms;
    std::vector<std::int64_t> total_ms;
    std::map<std::string, std::uint64_t> errors;
    std::uint64_t started = 0;
    std::uint64_t complete = 0;
    std::uint64_t failed = 0;
    std::uint64_t resumed = 0;
    std::uint64_t retried = 0;
    std::uint64_t cached_tokens = 0;
    std::uint64_t total_tokens = 0;
};

class load_generator
{
public:
    explicit load_generator(const load_options& options) : options_(options), random_(options.seed)
    {
        for (const std::string& text : options.routers)
        {
            network_address address;
            if (parse_network_address(text, address))
            {
                known_.push_back(address);
            }
        }
    }

    bool has_routers() const { return !known_.empty(); }

    int run()
    {
        asio::co_spawn(
            io_, [this] { return arrivals(); }, asio::detached);
        io_.run();
        report();
        return totals_.failed == 0 && totals_.complete == totals_.started ? exit_success
                                                                          : exit_failure;
    }

private:
    // Open loop: arrivals do not wait for earlier requests, so that a slow system is not spared.
    awaitable<void> arrivals()
    {
        const time_point begin = time_.now();
        double due = 0.0;
        while (due < options_.seconds * 1000.0)
        {
            const millis wait = begin + millis{static_cast<std::int64_t>(due)} - time_.now();
            if (wait.count > 0)
            {
                co_await sleep_for(wait);
            }
            const std::uint64_t chat = random_.below(options_.chats);
            asio::co_spawn(
                io_, [this, chat] { return request(chat); }, asio::detached);
            due += -std::log(1.0 - random_.unit()) * 1000.0 / options_.rate;
        }
    }

    awaitable<std::vector<network_address>> find_routers()
    {
        std::vector<network_address> found;
        for (std::size_t n = 0; n < known_.size() && found.empty(); ++n)
        {
            http_request question;
            question.target = "/v1/addresses?zone=" + encode_component(options_.zone);
            const network_address asked = known_[(asked_ + n) % known_.size()];
            const result<http_response> answer =
                co_await http_call(asked, std::move(question), millis{1000});
            const result<json::object> body =
                answer ? parse_json_object(answer->body)
                       : result<json::object>(make_error_code(errc::peer_unavailable));
            if (!body)
            {
                continue;
            }
            for (const json::value& entry : get_array(*body, "addresses"))
            {
                found.push_back(
                    {get_text(entry.as_object(), "host"),
                     static_cast<std::uint16_t>(get_number(entry.as_object(), "port"))});
            }
        }
        ++asked_;
        co_return found;
    }

    http_request make_request(const chat_progress& progress, std::uint64_t chat) const
    {
        http_request request;
        if (!progress.resume.empty())
        {
            request.target = "/v1/streams?resume=" + progress.resume +
                             "&base=" + std::to_string(progress.base) +
                             "&offset=" + std::to_string(progress.offset);
            return request;
        }
        json::array messages;
        messages.push_back(json::object{{"content", std::string(options_.history_bytes, 'h')}});
        messages.push_back(json::object{{"content", "message of chat " + std::to_string(chat)}});
        request.method = "POST";
        request.target = "/v1/chats/load-" + std::to_string(chat) + "/messages";
        request.fields.emplace_back("X-Team", options_.team);
        request.body = json::serialize(json::object{{"pool", options_.pool},
                                                    {"max_tokens", options_.max_tokens},
                                                    {"messages", std::move(messages)}});
        return request;
    }

    awaitable<void> request(std::uint64_t chat)
    {
        ++totals_.started;
        chat_progress progress;
        const time_point begin = time_.now();
        bool first = true;
        std::size_t turn = 0;
        while (!progress.complete && !progress.gap && time_.now() - begin < request_limit)
        {
            if (!first)
            {
                ++(progress.resume.empty() ? totals_.retried : totals_.resumed);
                co_await sleep_for(retry_pause);
            }
            first = false;
            const std::vector<network_address> routers = co_await find_routers();
            if (!routers.empty())
            {
                co_await attempt(routers[turn++ % routers.size()], chat, progress, begin);
            }
        }
        finish(progress, begin);
    }

    awaitable<void> attempt(const network_address& router, std::uint64_t chat,
                            chat_progress& progress, time_point begin)
    {
        http_exchange exchange(co_await asio::this_coro::executor);
        if (co_await exchange.connect(router, millis{1000}))
        {
            co_return;
        }
        const result<http_response> head =
            co_await exchange.start(make_request(progress, chat), call_timeout);
        if (!head)
        {
            co_return;
        }
        if (head->status != 200)
        {
            // A stream that cannot be resumed is asked for again from the beginning.
            progress = {};
            progress.error = "status_" + std::to_string(head->status);
            co_return;
        }
        event_stream_reader reader;
        for (;;)
        {
            const result<std::string> bytes = co_await exchange.read_some(call_timeout);
            if (!bytes || bytes->empty())
            {
                co_return;
            }
            for (const std::string& data : reader.add(*bytes))
            {
                take(data, progress, begin);
            }
        }
    }

    void take(const std::string& data, chat_progress& progress, time_point begin)
    {
        const result<json::object> body = parse_json_object(data);
        if (!body)
        {
            progress.gap = true;
        }
        else if (body->contains("error"))
        {
            progress.error = get_text(get_object(*body, "error"), "code");
            progress.resume.clear();
            progress.offset = 0;
        }
        else if (body->contains("text"))
        {
            progress.gap = progress.gap || get_unsigned(*body, "offset") != progress.offset;
            progress.offset += get_text(*body, "text").size();
            if (!progress.first_token)
            {
                progress.first_token = time_.now() - begin;
            }
        }
        else if (body->contains("resume"))
        {
            progress.resume = get_text(*body, "resume");
            progress.base = get_unsigned(*body, "base");
        }
        else if (body->contains("total_tokens"))
        {
            progress.complete = get_unsigned(*body, "offset") == progress.offset;
            progress.gap = progress.gap || !progress.complete;
            progress.cached_tokens = get_unsigned(*body, "cached_tokens");
            progress.total_tokens = get_unsigned(*body, "total_tokens");
        }
    }

    void finish(const chat_progress& progress, time_point begin)
    {
        if (progress.complete && !progress.gap)
        {
            ++totals_.complete;
            totals_.total_ms.push_back((time_.now() - begin).count);
            if (progress.first_token)
            {
                totals_.first_token_ms.push_back(progress.first_token->count);
            }
            totals_.cached_tokens += progress.cached_tokens;
            totals_.total_tokens += progress.total_tokens;
            return;
        }
        ++totals_.failed;
        ++totals_.errors[progress.gap ? "gap" : progress.error.empty() ? "cut" : progress.error];
    }

    static std::int64_t percentile(const std::vector<std::int64_t>& sorted, double share)
    {
        if (sorted.empty())
        {
            return 0;
        }
        const std::size_t last = sorted.size() - 1;
        return sorted[static_cast<std::size_t>(std::round(share * static_cast<double>(last)))];
    }

    static json::object summarize(std::vector<std::int64_t>& values)
    {
        std::sort(values.begin(), values.end());
        return {{"p50", percentile(values, 0.5)},
                {"p95", percentile(values, 0.95)},
                {"p99", percentile(values, 0.99)},
                {"max", values.empty() ? 0 : values.back()}};
    }

    static json::array histogram(const std::vector<std::int64_t>& values)
    {
        constexpr std::array<std::int64_t, 12> bounds{1,   2,   5,   10,   20,   50,
                                                      100, 200, 500, 1000, 2000, 5000};
        json::array rows;
        std::int64_t below = 0;
        for (const std::int64_t bound : bounds)
        {
            const auto count =
                std::count_if(values.begin(), values.end(),
                              [&](std::int64_t value) { return value > below && value <= bound; });
            rows.push_back(json::object{{"up_to_ms", bound}, {"count", count}});
            below = bound;
        }
        return rows;
    }

    void report()
    {
        json::object errors;
        for (const std::pair<const std::string, std::uint64_t>& entry : totals_.errors)
        {
            errors[entry.first] = entry.second;
        }
        const json::object first = summarize(totals_.first_token_ms);
        const json::object total = summarize(totals_.total_ms);
        const json::object body{{"started", totals_.started},
                                {"complete", totals_.complete},
                                {"failed", totals_.failed},
                                {"resumed", totals_.resumed},
                                {"retried", totals_.retried},
                                {"cached_tokens", totals_.cached_tokens},
                                {"total_tokens", totals_.total_tokens},
                                {"first_token_ms", first},
                                {"total_ms", total},
                                {"first_token_histogram", histogram(totals_.first_token_ms)},
                                {"errors", std::move(errors)}};
        if (options_.json)
        {
            std::cout << body << "\n";
            return;
        }
        std::cout << "started=" << totals_.started << " complete=" << totals_.complete
                  << " failed=" << totals_.failed << " resumed=" << totals_.resumed
                  << " retried=" << totals_.retried << "\nfirst_token_ms=" << first
                  << "\ntotal_ms=" << total << "\n";
        for (const json::value& row : get_array(body, "first_token_histogram"))
        {
            const std::uint64_t count = get_unsigned(row.as_object(), "count");
            std::cout << "  <= " << get_number(row.as_object(), "up_to_ms") << " ms: " << count
                      << "\n";
        }
        for (const std::pair<const std::string, std::uint64_t>& entry : totals_.errors)
        {
            std::cout << "error=" << entry.first << " count=" << entry.second << "\n";
        }
    }

    const load_options& options_;
    asio::io_context io_{1};
    process_clock time_;
    seeded_random random_;
    std::vector<network_address> known_;
    std::size_t asked_ = 0;
    load_totals totals_;
};

} // namespace

int run_load(const load_options& options)
{
    load_generator generator(options);
    if (!generator.has_routers())
    {
        std::cerr << "error=invalid_settings reason=\"--router must be IP:PORT\"\n";
        return exit_usage;
    }
    return generator.run();
}

} // namespace endivestage::daemon
