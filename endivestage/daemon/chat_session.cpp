#include <endivestage/daemon/chat_session.hpp>

#include <endivestage/daemon/json_access.hpp>

#include <boost/json.hpp>
#include <utility>

namespace endivestage::daemon
{

namespace json = boost::json;

namespace
{

constexpr millis connect_timeout{1000};

http_response make_stream_head()
{
    http_response head;
    head.fields.emplace_back("Content-Type", "text/event-stream");
    head.fields.emplace_back("Cache-Control", "no-store");
    return head;
}

stall_config make_stall_limits(const node_context& node)
{
    stall_config limits;
    limits.progress_timeout = node.settings.timing.stall_deadline;
    return limits;
}

} // namespace

chat_session::chat_session(chat_service& service, chat_request request, response_writer& writer,
                           boost::asio::any_io_executor executor, std::uint64_t delivered)
    : service_(service),
      node_(service.node_),
      request_(std::move(request)),
      writer_(writer),
      executor_(std::move(executor)),
      assembler_(request_.placement.request, {}, delivered),
      continuation_(request_.placement.request, true, request_.max_tokens),
      engine_request_(request_.placement.request),
      resume_at_(delivered)
{
}

awaitable<void> chat_session::run()
{
    service_.count_first_attempt(request_.placement.pool);
    if (!co_await place())
    {
        co_return;
    }
    for (;;)
    {
        const relay_end end = co_await relay(false);
        if (end == relay_end::complete)
        {
            release(permit_outcome::kind::completed);
            co_await write_end();
            co_return;
        }
        if (end == relay_end::caller_left)
        {
            holding held = *held_;
            held.request = engine_request_;
            co_await service_.keep_for_resume(std::move(held), address_,
                                              request_.placement.deadline);
            co_return;
        }
        if (end == relay_end::permit_expired)
        {
            release(permit_outcome::kind::unused);
            if (!co_await place())
            {
                co_return;
            }
            continue;
        }
        release(permit_outcome::kind::failed);
        if (end == relay_end::failed)
        {
            co_await fail(failure_, execution::unknown);
            co_return;
        }
        if (!co_await continue_elsewhere(make_error_code(failure_)))
        {
            co_return;
        }
    }
}

awaitable<void> chat_session::run_resume(endpoint_id engine, network_address address,
                                         std::uint64_t base)
{
    engine_ = std::move(engine);
    address_ = std::move(address);
    base_ = base;
    resume_at_ = assembler_.delivered();
    const relay_end end = co_await relay(true);
    if (end == relay_end::complete)
    {
        co_await write_end();
    }
    else if (end == relay_end::caller_left)
    {
        co_await service_.cancel_on_engine(address_, engine_request_);
    }
    else
    {
        // The text before the offset is not here, so the answer cannot go on elsewhere.
        co_await fail(failure_, execution::unknown);
    }
}

awaitable<bool> chat_session::place()
{
    writer_.on_caller_left([this] { on_caller_left(); });
    if (caller_left_)
    {
        co_return false;
    }
    const result<placed_request> placed =
        co_await service_.placement_.place(request_.placement, failed_engines_);
    if (placed && caller_left_)
    {
        // Nothing was sent for a caller that left while its request waited.
        held_ = placed->held;
        release(permit_outcome::kind::unused);
        co_return false;
    }
    if (!placed)
    {
        const errc code = to_errc(placed.error());
        co_await fail(code, begun_ ? execution::unknown : execution::not_run);
        co_return false;
    }
    held_ = placed->held;
    engine_ = placed->held.engine;
    address_ = placed->address;
    started_event_due_ = true;
    node_.events.record(event_kind::request_placed,
                        {{"load", std::to_string(held_->granted.value.load)},
                         {"limit", std::to_string(held_->granted.value.limit)},
                         {"cached", std::to_string(held_->granted.value.cached_tokens)}},
                        request_.placement.request, engine_);
    co_return true;
}

// A continued answer needs the delivered text; the retry budget bounds the extra load that a
// failing pool causes.
awaitable<bool> chat_session::continue_elsewhere(const std::error_code& reason)
{
    failed_engines_.insert(engine_);
    const result<continuation_request> next = continuation_.next_request();
    if (!next || !service_.take_retry(request_.placement.pool))
    {
        const errc code = next ? to_errc(reason) : to_errc(next.error());
        co_await fail(code, execution::unknown);
        co_return false;
    }
    node_.events.record(event_kind::stream_continued, {{"error", reason.message()}},
                        request_.placement.request, engine_);
    engine_request_ = next->request;
    prefix_ = std::string(next->prefix);
    base_ = assembler_.delivered();
    connection_ = assembler_.switch_endpoint(engine_request_);
    resume_at_ = 0;
    reader_ = {};
    co_return co_await place();
}

http_request chat_session::make_engine_request(bool resume) const
{
    json::object body{{"request_id", engine_request_.str()}, {"offset", resume_at_}};
    if (resume)
    {
        body["resume"] = 1;
    }
    else
    {
        body["chat"] = request_.placement.chat.str();
        body["prompt"] = request_.prompt;
        body["prompt_tokens"] = request_.prompt_tokens;
        body["history_tokens"] = request_.placement.history_tokens;
        body["max_tokens"] = request_.max_tokens;
        body["priority"] = request_.placement.priority;
        body["prefix"] = prefix_;
    }
    http_request request;
    request.method = "POST";
    request.target = "/v1/generate";
    request.fields.emplace_back("Content-Type", "application/json");
    request.body = json::serialize(body);
    return request;
}

awaitable<std::error_code> chat_session::open(bool resume)
{
    exchange_ = std::make_shared<http_exchange>(executor_);
    const std::error_code ec = co_await exchange_->connect(address_, connect_timeout);
    service_.configuration_.on_connection(engine_, !ec);
    if (ec)
    {
        co_return ec;
    }
    if (!resume)
    {
        if (const std::error_code expired = service_.admission_.check(*held_))
        {
            co_return make_error_code(errc::stale_view);
        }
        sent_ = node_.time.now();
    }
    const result<http_response> head = co_await exchange_->start(
        make_engine_request(resume), node_.settings.timing.stall_deadline);
    if (!head)
    {
        co_return head.error();
    }
    co_return head->status == 200 ? std::error_code{} : make_error_code(errc::endpoint_unavailable);
}

awaitable<chat_session::relay_end> chat_session::relay(bool resume)
{
    stall_.emplace(make_stall_limits(node_), node_.time.now());
    if (resume)
    {
        writer_.on_caller_left([this] { on_caller_left(); });
        if (caller_left_)
        {
            co_return relay_end::caller_left;
        }
    }
    const std::error_code ec = co_await open(resume);
    if (caller_left_)
    {
        co_return relay_end::caller_left;
    }
    if (ec == errc::stale_view)
    {
        co_return relay_end::permit_expired;
    }
    if (ec)
    {
        failure_ = errc::endpoint_unavailable;
        service_.configuration_.on_probe(engine_, co_await ping());
        co_return relay_end::engine_failed;
    }
    if (co_await begin_answer())
    {
        co_return relay_end::caller_left;
    }
    co_return co_await read_events();
}

awaitable<chat_session::relay_end> chat_session::read_events()
{
    for (;;)
    {
        const result<std::string> bytes =
            co_await exchange_->read_some(node_.settings.timing.stall_deadline);
        if (caller_left_)
        {
            co_return relay_end::caller_left;
        }
        if (node_.time.now() >= request_.placement.deadline)
        {
            failure_ = errc::deadline_exceeded;
            co_await service_.cancel_on_engine(address_, engine_request_);
            co_return relay_end::failed;
        }
        relay_end end = relay_end::engine_failed;
        bool decided = false;
        if (!bytes)
        {
            end = co_await handle_silence();
            decided = end != relay_end::permit_expired;
        }
        else if (bytes->empty() || reader_.overflowed())
        {
            end = co_await perform(assembler_.on_closed(connection_));
            decided = end != relay_end::permit_expired;
        }
        else
        {
            for (const std::string& data : reader_.add(*bytes))
            {
                end = co_await handle_event(data);
                if (end != relay_end::permit_expired)
                {
                    decided = true;
                    break;
                }
            }
        }
        if (decided)
        {
            co_return end;
        }
    }
}

awaitable<chat_session::relay_end> chat_session::handle_event(const std::string& data)
{
    const result<json::object> body = parse_json_object(data);
    if (!body)
    {
        co_return co_await perform(assembler_.on_closed(connection_));
    }
    const std::string text = get_text(*body, "text");
    stream_event event;
    event.request = request_id(get_text(*body, "request_id"));
    event.offset = get_unsigned(*body, "offset");
    event.data = text;
    event.final = get_flag(*body, "done");
    if (event.final)
    {
        cached_tokens_ = get_unsigned(*body, "cached_tokens");
        total_tokens_ = get_unsigned(*body, "total_tokens");
    }
    co_return co_await perform(assembler_.on_event(connection_, event));
}

// Returns permit_expired, which cannot occur here, when reading goes on.
awaitable<chat_session::relay_end> chat_session::perform(stream_actions actions)
{
    for (stream_action& action : actions)
    {
        if (deliver_bytes* bytes = std::get_if<deliver_bytes>(&action))
        {
            stall_->on_progress(node_.time.now());
            if (!first_token_ && sent_)
            {
                first_token_ = node_.time.now() - *sent_;
            }
            continuation_.on_delivered(bytes->data, bytes->data.size() / 4 + 1);
            json::object body{{"offset", bytes->offset}, {"text", bytes->data}};
            const std::uint64_t end = bytes->offset + bytes->data.size();
            if (co_await writer_.write(format_event_text("text", end, json::serialize(body))))
            {
                co_return relay_end::caller_left;
            }
            assembler_.on_consumed(bytes->data.size());
        }
        else if (const close_connection* closed = std::get_if<close_connection>(&action))
        {
            if (closed->reason == errc::answer_mismatch)
            {
                node_.events.record(event_kind::request_failed, {{"error", "answer_mismatch"}},
                                    request_.placement.request, engine_);
            }
            exchange_->cancel();
        }
        else if (const resume_stream* again = std::get_if<resume_stream>(&action))
        {
            connection_ = again->connection;
            resume_at_ = again->offset;
            reader_ = {};
            node_.events.record(event_kind::stream_resumed,
                                {{"offset", std::to_string(again->offset)}},
                                request_.placement.request, engine_);
            if (co_await open(true))
            {
                failure_ = errc::endpoint_unavailable;
                service_.configuration_.on_probe(engine_, co_await ping());
                co_return relay_end::engine_failed;
            }
        }
        else if (std::get_if<complete_answer>(&action) != nullptr)
        {
            co_return relay_end::complete;
        }
        else if (const fail_answer* failed = std::get_if<fail_answer>(&action))
        {
            failure_ = failed->reason;
            co_return relay_end::engine_failed;
        }
    }
    co_return caller_left_ ? relay_end::caller_left : relay_end::permit_expired;
}

// The connection broke or made no progress: resume on a new connection, and ping beside it. Only
// when both fail is the engine given up.
awaitable<chat_session::relay_end> chat_session::handle_silence()
{
    node_.events.record(event_kind::stream_stalled, {}, request_.placement.request, engine_);
    stream_actions actions = assembler_.reconnect();
    const relay_end end = co_await perform(std::move(actions));
    const bool resumed = end == relay_end::permit_expired;
    const time_point now = node_.time.now();
    stall_actions verdicts = stall_->on_tick(now);
    if (!verdicts.empty())
    {
        const bool alive = co_await ping();
        verdicts = stall_->on_ping(alive, node_.time.now());
        for (const stall_action& more : stall_->on_resume(resumed, node_.time.now()))
        {
            verdicts.push_back(more);
        }
    }
    for (const stall_action& verdict : verdicts)
    {
        if (std::holds_alternative<suspect_endpoint>(verdict) ||
            std::holds_alternative<abandon_stream>(verdict))
        {
            failure_ = errc::endpoint_unavailable;
            co_return relay_end::engine_failed;
        }
    }
    co_return end;
}

awaitable<bool> chat_session::ping()
{
    http_request request;
    request.target = "/v1/load";
    const result<http_response> response =
        co_await http_call(address_, std::move(request), connect_timeout);
    co_return response && response->status == 200;
}

awaitable<std::error_code> chat_session::begin_answer()
{
    if (!std::exchange(begun_, true))
    {
        const std::error_code ec = co_await writer_.begin(make_stream_head());
        if (ec)
        {
            co_return ec;
        }
    }
    if (std::exchange(started_event_due_, false))
    {
        co_return co_await write_start();
    }
    co_return std::error_code{};
}

awaitable<std::error_code> chat_session::write_start()
{
    resume_token token;
    token.request = engine_request_;
    token.pool = request_.placement.pool;
    token.engine = engine_;
    token.team = request_.placement.team;
    token.entry_router = node_.settings.id;
    token.created_at = node_.time.wall_now();
    json::object body{{"request_id", request_.placement.request.str()},
                      {"resume", encode_token(token, service_.signer_)},
                      {"base", base_},
                      {"engine", engine_.str()}};
    const std::string text =
        format_event_text("start", assembler_.delivered(), json::serialize(body));
    co_return co_await writer_.write(text);
}

awaitable<void> chat_session::write_end()
{
    json::object body{{"request_id", request_.placement.request.str()},
                      {"offset", assembler_.delivered()},
                      {"cached_tokens", cached_tokens_},
                      {"total_tokens", total_tokens_},
                      {"engine", engine_.str()}};
    node_.events.record(event_kind::request_answered,
                        {{"bytes", std::to_string(assembler_.delivered())}},
                        request_.placement.request, engine_);
    node_.metrics
        .get_counter("endivestage_chats_total", "Chat answers by outcome.",
                     {{"outcome", "complete"}})
        .add();
    if (first_token_)
    {
        node_.metrics
            .get_distribution("endivestage_first_token_ms",
                              "Time from the send to the first token.")
            .observe(static_cast<double>(first_token_->count));
    }
    const std::string text =
        format_event_text("end", assembler_.delivered(), json::serialize(body));
    if (!co_await writer_.write(text))
    {
        co_await writer_.end();
    }
}

awaitable<void> chat_session::fail(errc code, execution ran)
{
    caller_error error;
    error.code = code;
    error.ran = ran;
    if (code == errc::overloaded || code == errc::no_endpoint || http_status(code) == 503)
    {
        error.retry_after = millis{1000};
    }
    node_.events.record(
        event_kind::request_failed,
        {{"error", std::string(to_string(code))}, {"execution", std::string(to_string(ran))}},
        request_.placement.request, engine_);
    node_.metrics
        .get_counter("endivestage_chats_total", "Chat answers by outcome.",
                     {{"outcome", std::string(to_string(code))}})
        .add();
    if (!begun_)
    {
        http_response response = make_error_response(error);
        co_await writer_.send(std::move(response));
        co_return;
    }
    const std::string text =
        format_event_text("error", assembler_.delivered(), to_json_text(error));
    if (!co_await writer_.write(text))
    {
        co_await writer_.end();
    }
}

void chat_session::release(permit_outcome::kind what)
{
    if (!held_)
    {
        return;
    }
    permit_outcome outcome;
    outcome.status = what;
    outcome.first_token = first_token_;
    outcome.tokens = static_cast<std::uint32_t>(total_tokens_);
    service_.admission_.release(*held_, outcome);
    held_.reset();
    first_token_.reset();
    sent_.reset();
}

void chat_session::on_caller_left()
{
    caller_left_ = true;
    if (exchange_)
    {
        exchange_->cancel();
    }
}

} // namespace endivestage::daemon
