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

/// Generations are kept for this long after their end, so that a client can resume the stream.
constexpr millis resume_retention_period{15000};
constexpr millis poll_interval{2};

/// Generated text and progress of one request.
struct generation
{
    std::string id;
    std::string text;                    ///< The complete response.
    std::vector<std::size_t> token_ends; ///< Offset in bytes of the end of each token.
    std::size_t generated_tokens = 0;    ///< Including those before the requested offset.
    std::int64_t prompt_tokens = 0;
    std::int64_t cached_tokens = 0;
    std::int64_t priority = 0;
    bool running = false;
    bool done = false;
    bool cancelled = false;
};

struct load_sample
{
    time_point sampled_at;
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::int64_t incarnation = 0;
};

/// Number of upcoming streams that each fault affects.
struct engine_faults
{
    std::int64_t silent_streams = 0; ///< Streams that stop halfway but stay open.
    std::int64_t cut_streams = 0;    ///< Streams whose connection is aborted halfway.
    std::int64_t crossed = 0;        ///< Streams that carry the id of another request.
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
            co_await writer.send(request.method == "POST" ? apply_order(request) : order_state());
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
        if (it == generations_.end() && is_overloaded())
        {
            fail_and_restart();
            writer.abort();
            co_return;
        }
        co_await send_stream(current, offset, writer);
    }

    /// Generates the text from chat, prompt and length only, so that clients can verify every byte.
    static void generate_text(generation& current, const std::string& chat,
                              const std::string& prompt, std::size_t tokens)
    {
        const std::uint64_t seed = hash64(chat + "\n" + prompt);
        for (std::size_t n = 0; n < tokens; ++n)
        {
            current.text += "w" + std::to_string(hash64(std::to_string(n), seed) % 10000) + " ";
            current.token_ends.push_back(current.text.size());
        }
    }

    /// Removes the bytes that another engine has already generated; offsets start after them.
    static void remove_prefix(generation& current, std::size_t bytes)
    {
        current.text.erase(0, bytes);
        std::vector<std::size_t> remaining;
        for (const std::size_t end : current.token_ends)
        {
            if (end > bytes)
            {
                remaining.push_back(end - bytes);
            }
        }
        current.token_ends = std::move(remaining);
    }

    generation_ptr create(const json::object& body, std::size_t offset)
    {
        generation_ptr current = std::make_shared<generation>();
        const std::string chat = text_or_empty(body, "chat");
        current->id = text_or_empty(body, "request_id");
        current->priority = number_or(body, "priority", 0);
        generate_text(*current, chat, text_or_empty(body, "prompt"),
                      static_cast<std::size_t>(number_or(body, "max_tokens", 16)));
        remove_prefix(*current, text_or_empty(body, "prefix").size());
        while (current->generated_tokens < current->token_ends.size() &&
               current->token_ends[current->generated_tokens] <= offset)
        {
            ++current->generated_tokens;
        }
        const std::int64_t history = number_or(body, "history_tokens", 0);
        current->prompt_tokens = history + number_or(body, "prompt_tokens", 16);
        current->cached_tokens = update_cache(
            chat, history,
            current->prompt_tokens + static_cast<std::int64_t>(current->token_ends.size()));
        generations_[current->id] = current;
        ++started_;
        last_start_ms_ = unix_time_ms();
        waiting_.push_back(current);
        boost::asio::co_spawn(context_, run(current), boost::asio::detached);
        return current;
    }

    /// Stores the new length of a chat in the prefix cache; evicts least recently used chats.
    /// \returns Number of tokens of the history that were cached.
    std::int64_t update_cache(const std::string& chat, std::int64_t history, std::int64_t tokens)
    {
        std::int64_t hit = 0;
        const auto it = cache_index_.find(chat);
        if (it != cache_index_.end())
        {
            hit = std::min(it->second->second, history);
            cached_tokens_ -= it->second->second;
            lru_chats_.erase(it->second);
        }
        lru_chats_.emplace_front(chat, tokens);
        cache_index_[chat] = lru_chats_.begin();
        cached_tokens_ += tokens;
        while (cached_tokens_ > options_.cache_tokens && lru_chats_.size() > 1)
        {
            cached_tokens_ -= lru_chats_.back().second;
            cache_index_.erase(lru_chats_.back().first);
            lru_chats_.pop_back();
        }
        return hit;
    }

    bool is_cold() const { return completed_since_cold_ < options_.warmup_requests; }

    /// Records the load. A cold engine fails above max_cold_load requests.
    bool is_overloaded()
    {
        const std::size_t load = running_ + waiting_.size();
        max_load_ = std::max(max_load_, load);
        return is_cold() && load > options_.max_cold_load;
    }

    /// Simulates an engine that fails under overload and restarts: it loses all requests and its
    /// cache.
    void fail_and_restart()
    {
        ++collapses_;
        reset_to_cold();
        for (const std::pair<const std::string, generation_ptr>& entry : generations_)
        {
            entry.second->cancelled = true;
        }
        generations_.clear();
        waiting_.clear();
    }

    void reset_to_cold()
    {
        ++incarnation_;
        completed_since_cold_ = 0;
        cache_index_.clear();
        lru_chats_.clear();
        cached_tokens_ = 0;
    }

    awaitable<void> run(generation_ptr current)
    {
        while (!current->cancelled && !can_start(current))
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
            while (!current->cancelled && current->generated_tokens < current->token_ends.size())
            {
                co_await sleep_for(options_.token_interval);
                ++current->generated_tokens;
            }
            --running_;
            current->done = !current->cancelled;
            completed_since_cold_ += current->cancelled ? 0 : 1;
            completed_ += current->cancelled ? 0 : 1;
        }
        co_await sleep_for(resume_retention_period);
        const auto it = generations_.find(current->id);
        if (it != generations_.end() && it->second == current)
        {
            generations_.erase(it);
        }
    }

    /// \returns Whether a slot is free and no waiting request has a higher priority.
    bool can_start(const generation_ptr& current) const
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

    /// \returns The event with bytes [from, to) of the text; the final event if the range is empty.
    std::string make_event(const generation& current, std::size_t from, std::size_t to) const
    {
        json::object data{{"request_id", current.id}, {"offset", from}};
        if (from == to)
        {
            data["done"] = true;
            data["cached_tokens"] = current.cached_tokens;
            data["prompt_tokens"] = current.prompt_tokens;
            data["total_tokens"] =
                current.prompt_tokens + static_cast<std::int64_t>(current.token_ends.size());
            data["engine"] = options_.id;
        }
        else
        {
            data["text"] = current.text.substr(from, to - from);
        }
        return "data: " + json::serialize(data) + "\n\n";
    }

    awaitable<void> send_stream(generation_ptr current, std::size_t offset, response_writer& writer)
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
            const std::size_t ready = current->generated_tokens == 0
                                          ? 0
                                          : current->token_ends[current->generated_tokens - 1];
            if (ready > sent)
            {
                const generation& sent_as = alias.id.empty() ? *current : alias;
                ec = co_await writer.write(make_event(sent_as, sent, ready));
                sent = ready;
            }
            if (cut && current->generated_tokens * 2 >= current->token_ends.size())
            {
                writer.abort();
                co_return;
            }
            if (silent && current->generated_tokens * 2 >= current->token_ends.size())
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
            co_await writer.write(make_event(*current, sent, sent));
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

    /// Reports the newest load sample that is at least load_report_delay old.
    http_response load()
    {
        const time_point now = steady_now();
        samples_.push_back({now, running_, waiting_.size(), incarnation_});
        while (samples_.size() > 1 && samples_[1].sampled_at + options_.load_report_delay <= now)
        {
            samples_.pop_front();
        }
        const load_sample& sample = samples_.front();
        return json_response(json::object{{"engine", options_.id},
                                          {"running", sample.running},
                                          {"waiting", sample.waiting},
                                          {"slots", options_.slots},
                                          {"incarnation", sample.incarnation},
                                          {"cold", is_cold()},
                                          {"age_ms", (now - sample.sampled_at).count}});
    }

    /// Stores an order unless a newer fencing number has been received.
    http_response apply_order(const http_request& request)
    {
        const json::object body = parse_object(request.body);
        const std::int64_t fencing_number = number_or(body, "fencing_number", 0);
        if (options_.fencing && fencing_number < fencing_number_)
        {
            ++refused_orders_;
            return error_response("stale_fencing_token", 409);
        }
        fencing_number_ = std::max(fencing_number_, fencing_number);
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
                reset_to_cold();
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
                                          {"cached_chats", cache_index_.size()}});
    }

    boost::asio::io_context& context_;
    engine_options options_;
    engine_faults faults_;
    std::map<std::string, generation_ptr> generations_;
    std::list<generation_ptr> waiting_;
    std::list<std::pair<std::string, std::int64_t>> lru_chats_;
    std::map<std::string, std::list<std::pair<std::string, std::int64_t>>::iterator> cache_index_;
    std::int64_t cached_tokens_ = 0;
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
