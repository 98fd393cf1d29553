#include "standin.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <utility>

namespace endivestage::standin
{

namespace json = boost::json;

namespace
{

constexpr millis resume_retention{15000};
constexpr millis poll_interval{2};

/// One request on the engine; kept for a while after its end so that a reader can resume.
struct generation
{
    std::string id;
    std::string text;                   ///< The complete answer.
    std::vector<std::size_t> piece_end; ///< Offsets in bytes after each token.
    std::size_t produced = 0;           ///< Tokens generated so far.
    std::int64_t prompt_tokens = 0;
    std::int64_t cached_tokens = 0;
    std::int64_t priority = 0;
    bool running = false;
    bool done = false;
    bool cancelled = false;
};

struct load_sample
{
    time_point at;
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::int64_t incarnation = 0;
};

struct engine_faults
{
    std::int64_t silent_streams = 0; ///< Number of streams to leave silent for good.
    std::int64_t cut_streams = 0;    ///< Number of streams to cut after some tokens.
    std::int64_t crossed = 0;        ///< Number of answers to give with another request's id.
};

class engine
{
public:
    engine(boost::asio::io_context& context, engine_options options)
        : context_(context),
          options_(std::move(options)),
          incarnation_(unix_time_ms())
    {
    }

    awaitable<void> handle(http_request request, response_writer& writer)
    {
        http_target target;
        if (!parse_target(request.target, target) || target.segments.size() < 2)
        {
            co_await writer.send(error_response("not_found", 404));
            co_return;
        }
        const std::string& resource = target.segments[1];
        if (target.segments[0] == "control")
        {
            co_await writer.send(control(resource, request));
        }
        else if (resource == "generate" && request.method == "POST")
        {
            co_await generate(request, writer);
        }
        else if (resource == "generate" && request.method == "DELETE" &&
                 target.segments.size() == 3)
        {
            co_await writer.send(cancel(target.segments[2]));
        }
        else if (resource == "load")
        {
            co_await writer.send(load());
        }
        else if (resource == "orders")
        {
            co_await writer.send(request.method == "POST" ? order(request) : order_state());
        }
        else
        {
            co_await writer.send(error_response("not_found", 404));
        }
    }

private:
    using generation_ptr = std::shared_ptr<generation>;

    awaitable<void> generate(const http_request& request, response_writer& writer)
    {
        const json::object body = parse_object(request.body);
        const std::string id = text_or_empty(body, "request_id");
        const std::size_t offset = static_cast<std::size_t>(number_or(body, "offset", 0));
        const bool resume = number_or(body, "resume", 0) != 0;
        const auto it = generations_.find(id);
        if (resume && it == generations_.end())
        {
            co_await writer.send(error_response("unknown_request", 404));
            co_return;
        }
        generation_ptr current = it != generations_.end() ? it->second : create(body, offset);
        if (it == generations_.end() && overloaded())
        {
            collapse();
            writer.abort();
            co_return;
        }
        co_await stream(current, offset, writer);
    }

    /// The text depends on chat, prompt and length only, so that readers can check every byte.
    static void compose(generation& current, const std::string& chat, const std::string& prompt,
                        std::size_t tokens)
    {
        const std::uint64_t seed = hash64(chat + "\n" + prompt);
        for (std::size_t n = 0; n < tokens; ++n)
        {
            current.text += "w" + std::to_string(hash64(std::to_string(n), seed) % 10000) + " ";
            current.piece_end.push_back(current.text.size());
        }
    }

    /// Continues an answer whose first bytes were generated elsewhere; offsets begin behind them.
    static void drop_prefix(generation& current, std::size_t bytes)
    {
        current.text.erase(0, bytes);
        std::vector<std::size_t> remaining;
        for (const std::size_t end : current.piece_end)
        {
            if (end > bytes)
            {
                remaining.push_back(end - bytes);
            }
        }
        current.piece_end = std::move(remaining);
    }

    generation_ptr create(const json::object& body, std::size_t offset)
    {
        generation_ptr current = std::make_shared<generation>();
        const std::string chat = text_or_empty(body, "chat");
        current->id = text_or_empty(body, "request_id");
        current->priority = number_or(body, "priority", 0);
        compose(*current, chat, text_or_empty(body, "prompt"),
                static_cast<std::size_t>(number_or(body, "max_tokens", 16)));
        drop_prefix(*current, text_or_empty(body, "prefix").size());
        while (current->produced < current->piece_end.size() &&
               current->piece_end[current->produced] <= offset)
        {
            ++current->produced;
        }
        const std::int64_t history = number_or(body, "history_tokens", 0);
        current->prompt_tokens = history + number_or(body, "prompt_tokens", 16);
        current->cached_tokens = use_cache(
            chat, history,
            current->prompt_tokens + static_cast<std::int64_t>(current->piece_end.size()));
        generations_[current->id] = current;
        ++started_;
        last_start_ms_ = unix_time_ms();
        waiting_.push_back(current);
        boost::asio::co_spawn(context_, run(current), boost::asio::detached);
        return current;
    }

    std::int64_t use_cache(const std::string& chat, std::int64_t history, std::int64_t tokens)
    {
        std::int64_t hit = 0;
        const auto it = cached_.find(chat);
        if (it != cached_.end())
        {
            hit = std::min(it->second->second, history);
            cache_used_ -= it->second->second;
            recency_.erase(it->second);
        }
        recency_.emplace_front(chat, tokens);
        cached_[chat] = recency_.begin();
        cache_used_ += tokens;
        while (cache_used_ > options_.cache_tokens && recency_.size() > 1)
        {
            cache_used_ -= recency_.back().second;
            cached_.erase(recency_.back().first);
            recency_.pop_back();
        }
        return hit;
    }

    bool cold() const { return completed_since_cold_ < options_.warmup_requests; }

    bool overloaded()
    {
        const std::size_t load = running_ + waiting_.size();
        max_load_ = std::max(max_load_, load);
        return cold() && load > options_.max_cold_load;
    }

    void collapse()
    {
        ++collapses_;
        become_cold();
        for (const std::pair<const std::string, generation_ptr>& entry : generations_)
        {
            entry.second->cancelled = true;
        }
        generations_.clear();
        waiting_.clear();
    }

    void become_cold()
    {
        ++incarnation_;
        completed_since_cold_ = 0;
        cached_.clear();
        recency_.clear();
        cache_used_ = 0;
    }

    awaitable<void> run(generation_ptr current)
    {
        while (!current->cancelled && !may_start(current))
        {
            co_await sleep_for(poll_interval);
        }
        waiting_.remove(current);
        if (!current->cancelled)
        {
            current->running = true;
            ++running_;
            const double uncached =
                static_cast<double>(current->prompt_tokens - current->cached_tokens);
            co_await sleep_for(
                millis{static_cast<std::int64_t>(uncached / options_.prefill_tokens_per_ms)});
            while (!current->cancelled && current->produced < current->piece_end.size())
            {
                co_await sleep_for(options_.token_interval);
                ++current->produced;
            }
            --running_;
            current->done = !current->cancelled;
            completed_since_cold_ += current->cancelled ? 0 : 1;
            completed_ += current->cancelled ? 0 : 1;
        }
        co_await sleep_for(resume_retention);
        const auto it = generations_.find(current->id);
        if (it != generations_.end() && it->second == current)
        {
            generations_.erase(it);
        }
    }

    bool may_start(const generation_ptr& current) const
    {
        if (running_ >= options_.slots)
        {
            return false;
        }
        for (const generation_ptr& other : waiting_)
        {
            if (other->priority > current->priority)
            {
                return false;
            }
        }
        return true;
    }

    std::string event(const generation& current, std::size_t from, std::size_t to) const
    {
        json::object data{{"request_id", current.id}, {"offset", from}};
        if (from == to)
        {
            data["done"] = true;
            data["cached_tokens"] = current.cached_tokens;
            data["prompt_tokens"] = current.prompt_tokens;
            data["total_tokens"] =
                current.prompt_tokens + static_cast<std::int64_t>(current.piece_end.size());
            data["engine"] = options_.id;
        }
        else
        {
            data["text"] = current.text.substr(from, to - from);
        }
        return "data: " + json::serialize(data) + "\n\n";
    }

    awaitable<void> stream(generation_ptr current, std::size_t offset, response_writer& writer)
    {
        const bool silent =
            std::exchange(faults_.silent_streams,
                          std::max<std::int64_t>(0, faults_.silent_streams - 1)) > 0;
        const bool cut = std::exchange(faults_.cut_streams,
                                       std::max<std::int64_t>(0, faults_.cut_streams - 1)) > 0;
        generation alias;
        if (faults_.crossed > 0)
        {
            --faults_.crossed;
            alias = *current;
            alias.id = "crossed-" + current->id;
        }
        std::error_code ec = co_await writer.begin(event_stream_head());
        std::size_t sent = offset;
        while (!ec)
        {
            const std::size_t ready =
                current->produced == 0 ? 0 : current->piece_end[current->produced - 1];
            if (ready > sent)
            {
                const generation& shown = alias.id.empty() ? *current : alias;
                ec = co_await writer.write(event(shown, sent, ready));
                sent = ready;
            }
            if (cut && current->produced * 2 >= current->piece_end.size())
            {
                writer.abort();
                co_return;
            }
            if (silent && current->produced * 2 >= current->piece_end.size())
            {
                co_await sleep_for(millis{600000});
            }
            if (current->cancelled)
            {
                writer.abort();
                co_return;
            }
            if (current->done && sent == current->text.size())
            {
                break;
            }
            co_await sleep_for(poll_interval);
        }
        if (!ec)
        {
            co_await writer.write(event(*current, sent, sent));
            co_await writer.end();
        }
    }

    http_response cancel(const std::string& id)
    {
        const auto it = generations_.find(id);
        if (it == generations_.end())
        {
            return error_response("unknown_request", 404);
        }
        it->second->cancelled = !it->second->done;
        cancelled_ += it->second->cancelled ? 1 : 0;
        generations_.erase(it);
        return json_response(json::object{{"cancelled", true}});
    }

    http_response load()
    {
        const time_point now = steady_now();
        samples_.push_back({now, running_, waiting_.size(), incarnation_});
        while (samples_.size() > 1 && samples_[1].at + options_.load_report_delay <= now)
        {
            samples_.pop_front();
        }
        const load_sample& sample = samples_.front();
        return json_response(json::object{{"engine", options_.id},
                                          {"running", sample.running},
                                          {"waiting", sample.waiting},
                                          {"slots", options_.slots},
                                          {"incarnation", sample.incarnation},
                                          {"cold", cold()},
                                          {"age_ms", (now - sample.at).count}});
    }

    http_response order(const http_request& request)
    {
        const json::object body = parse_object(request.body);
        const std::int64_t token = number_or(body, "fencing_number", 0);
        if (options_.fencing && token < fencing_number_)
        {
            ++refused_orders_;
            return error_response("stale_fencing_token", 409);
        }
        fencing_number_ = std::max(fencing_number_, token);
        order_ = body;
        return order_state();
    }

    http_response order_state() const
    {
        return json_response(json::object{{"order", order_}, {"fencing_number", fencing_number_}});
    }

    http_response control(const std::string& resource, const http_request& request)
    {
        const json::object body = parse_object(request.body);
        if (resource == "faults" && request.method == "POST")
        {
            faults_.silent_streams = number_or(body, "silent_streams", faults_.silent_streams);
            faults_.cut_streams = number_or(body, "cut_streams", faults_.cut_streams);
            faults_.crossed = number_or(body, "crossed", faults_.crossed);
            if (number_or(body, "cold", 0) != 0)
            {
                become_cold();
            }
        }
        return json_response(json::object{{"engine", options_.id},
                                          {"running", running_},
                                          {"waiting", waiting_.size()},
                                          {"started", started_},
                                          {"completed", completed_},
                                          {"cancelled", cancelled_},
                                          {"max_load", max_load_},
                                          {"collapses", collapses_},
                                          {"refused_orders", refused_orders_},
                                          {"last_start_ms", last_start_ms_},
                                          {"cached_chats", cached_.size()}});
    }

    boost::asio::io_context& context_;
    engine_options options_;
    engine_faults faults_;
    std::map<std::string, generation_ptr> generations_;
    std::list<generation_ptr> waiting_;
    std::list<std::pair<std::string, std::int64_t>> recency_;
    std::map<std::string, std::list<std::pair<std::string, std::int64_t>>::iterator> cached_;
    std::int64_t cache_used_ = 0;
    std::deque<load_sample> samples_;
    json::object order_;
    std::size_t running_ = 0;
    std::size_t max_load_ = 0;
    std::size_t completed_since_cold_ = 0;
    std::int64_t fencing_number_ = 0;
    std::int64_t incarnation_;
    std::int64_t started_ = 0;
    std::int64_t completed_ = 0;
    std::int64_t cancelled_ = 0;
    std::int64_t collapses_ = 0;
    std::int64_t refused_orders_ = 0;
    std::int64_t last_start_ms_ = 0;
};

} // namespace

int run_engine(const engine_options& options)
{
    boost::asio::io_context context(1);
    engine instance(context, options);
    http_server server(context, {},
                       [&instance](http_request request, response_writer& writer)
                       { return instance.handle(std::move(request), writer); });
    return serve(context, server, options.listen);
}

} // namespace endivestage::standin
