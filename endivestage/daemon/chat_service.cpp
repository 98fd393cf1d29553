#include <endivestage/daemon/chat_service.hpp>

#include <endivestage/daemon/chat_session.hpp>
#include <endivestage/daemon/json_access.hpp>
#include <endivestage/daemon/sleep.hpp>

#include <boost/asio/this_coro.hpp>
#include <utility>

namespace endivestage::daemon
{

namespace json = boost::json;

namespace
{

/// Time for a caller whose connection broke to resume, before its request is cancelled.
constexpr millis resume_grace{3000};
constexpr millis handover_poll{100};
constexpr millis token_lifetime{3600000};
constexpr millis peer_timeout{500};
constexpr millis cancel_timeout{1000};
/// Bounds what resumes of requests that this router does not know can take up.
constexpr std::size_t max_early_handovers = 10000;
constexpr std::string_view token_purpose = "resume";

} // namespace

std::string fleet_token_signer::sign(std::string_view text) const
{
    const mac value = keys_->sign({token_purpose, text});
    return {value.begin(), value.end()};
}

bool fleet_token_signer::verify(std::string_view text, std::string_view signature) const
{
    return signature.size() == mac{}.size() && keys_->verify({token_purpose, text}, signature);
}

chat_service::chat_service(node_context& node, configuration_service& configuration,
                           admission_service& admission, placement_service& placement,
                           cluster_service& cluster, const token_signer& signer)
    : node_(node),
      configuration_(configuration),
      admission_(admission),
      placement_(placement),
      cluster_(cluster),
      signer_(signer)
{
}

void chat_service::start()
{
    const auto handler = [this](handover state)
    {
        return [this, state](router_id, const json::object& body) -> awaitable<rpc_answer>
        {
            const bool known = set_handover(request_id(get_text(body, "request")), state);
            co_return json::object{{"known", known}};
        };
    };
    node_.rpc.handle("/stream/resumed", handler(handover::taken));
    node_.rpc.handle("/stream/ended", handler(handover::ended));
}

awaitable<void> chat_service::answer(chat_request request, response_writer& writer)
{
    node_.events.record(event_kind::request_received, {{"team", request.placement.team.str()}},
                        request.placement.request);
    chat_session session(*this, std::move(request), writer,
                         co_await boost::asio::this_coro::executor, 0);
    co_await session.run();
}

awaitable<void> chat_service::resume(resume_request request, response_writer& writer)
{
    const std::shared_ptr<const fleet_configuration> configuration = configuration_.current();
    const pool* settings = configuration ? configuration->find(request.token.pool) : nullptr;
    const endpoint_entry* engine = nullptr;
    if (settings != nullptr)
    {
        for (const endpoint_entry& entry : settings->engines)
        {
            engine = entry.id == request.token.engine ? &entry : engine;
        }
    }
    if (engine == nullptr || request.offset < request.base ||
        is_token_expired(request.token, node_.time.wall_now(), token_lifetime))
    {
        http_response refused =
            make_error_response({errc::not_found,
                                 execution::unknown,
                                 "the stream cannot be resumed; send the request again",
                                 {}});
        co_await writer.send(std::move(refused));
        co_return;
    }
    tell_entry(request.token, "/stream/resumed");
    chat_request wanted;
    wanted.placement.request = request.token.request;
    wanted.placement.team = request.token.team;
    wanted.placement.pool = request.token.pool;
    wanted.placement.deadline = node_.time.now() + configuration->limits.request_deadline;
    node_.events.record(event_kind::stream_resumed, {{"offset", std::to_string(request.offset)}},
                        request.token.request, engine->id);
    chat_session session(*this, std::move(wanted), writer,
                         co_await boost::asio::this_coro::executor, request.offset - request.base);
    network_address address{engine->host, engine->port};
    co_await session.run_resume(engine->id, std::move(address), request.base);
    tell_entry(request.token, "/stream/ended");
}

result<resume_token> chat_service::read_token(std::string_view text) const
{
    return decode_token(text, signer_);
}

void chat_service::tell_entry(const resume_token& token, const char* path)
{
    if (token.entry_router == node_.settings.id)
    {
        set_handover(token.request, std::string_view(path) == "/stream/resumed" ? handover::taken
                                                                                : handover::ended);
        return;
    }
    const view_pointer present = cluster_.view_now();
    const member* entry = present ? find_member(present->members, token.entry_router) : nullptr;
    if (entry == nullptr)
    {
        return;
    }
    spawn(node_.io,
          [this, to = peer_address{entry->host, entry->port}, path = std::string(path),
           request = token.request.str()]() -> awaitable<void>
          {
              json::object body{{"request", request}};
              co_await node_.rpc.call(to, path, std::move(body), peer_timeout);
          });
}

bool chat_service::set_handover(const request_id& request, handover state)
{
    const std::scoped_lock lock(mutex_);
    const auto it = left_.find(request);
    if (it == left_.end())
    {
        // The caller may resume before this router has noticed that its connection broke.
        if (state == handover::taken && left_.size() < max_early_handovers)
        {
            left_.emplace(request, state);
        }
        return false;
    }
    it->second = state;
    return true;
}

// Keeps the permit while the caller may come back on another router, because the engine goes on
// with the request for that time.
awaitable<void> chat_service::keep_for_resume(holding held, network_address address,
                                              time_point deadline)
{
    const request_id request = held.request;
    {
        const std::scoped_lock lock(mutex_);
        left_.try_emplace(request, handover::waiting);
    }
    const time_point give_up = node_.time.now() + resume_grace;
    handover state = handover::waiting;
    while (state != handover::ended && node_.time.now() < deadline)
    {
        co_await sleep_for(handover_poll);
        const std::scoped_lock lock(mutex_);
        state = left_[request];
        if (state == handover::waiting && node_.time.now() >= give_up)
        {
            break;
        }
    }
    {
        const std::scoped_lock lock(mutex_);
        left_.erase(request);
    }
    if (state == handover::waiting)
    {
        node_.events.record(event_kind::request_failed, {{"error", "cancelled"}}, request,
                            held.engine);
        co_await cancel_on_engine(std::move(address), request);
    }
    admission_.release(held, {permit_outcome::kind::failed, {}, 0});
}

awaitable<void> chat_service::cancel_on_engine(network_address address, request_id request)
{
    http_request cancel;
    cancel.method = "DELETE";
    cancel.target = "/v1/generate/" + request.str();
    co_await http_call(std::move(address), std::move(cancel), cancel_timeout);
}

void chat_service::count_first_attempt(const pool_id& pool)
{
    const std::scoped_lock lock(mutex_);
    retries_[pool].budget.record_first_attempt();
}

bool chat_service::take_retry(const pool_id& pool)
{
    const std::scoped_lock lock(mutex_);
    return retries_[pool].budget.try_acquire();
}

} // namespace endivestage::daemon
