#include <endivestage/daemon/internal/http2_connection.hpp>
#include <endivestage/daemon/peer_transport.hpp>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cassert>
#include <charconv>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <utility>
#include <vector>

namespace endivestage::daemon
{

namespace asio = boost::asio;
using asio::ip::tcp;
using internal::header_field;
using internal::http2_connection;
using internal::steady_time;
using internal::strand_socket;
using internal::to_chrono;
using internal::traffic_counters;

using strand_timer =
    asio::basic_waitable_timer<std::chrono::steady_clock,
                               asio::wait_traits<std::chrono::steady_clock>, internal::strand>;

namespace
{

/// Sessions of a server are checked for slow requests and silence at least this often.
constexpr millis max_check_period{5000};
/// Pause after a failed accept, for example when the process has no free descriptor.
constexpr millis accept_retry{100};

class fault_category final : public std::error_category
{
public:
    const char* name() const noexcept override { return "endivestage.peer"; }

    std::string message(int value) const override
    {
        return std::string(to_string(static_cast<peer_fault>(value)));
    }
};

std::error_code to_error(int status)
{
    switch (status)
    {
    case 400:
        return make_error_code(errc::invalid_request);
    case 401:
        return make_error_code(errc::unauthorized);
    case 404:
        return make_error_code(errc::not_found);
    case 409:
        return make_error_code(errc::conflict);
    case 413:
        return make_error_code(errc::too_large);
    case 429:
    case 503:
        return make_error_code(errc::overloaded);
    default:
        return make_error_code(errc::internal);
    }
}

network_address to_address(const tcp::endpoint& endpoint)
{
    return {endpoint.address().to_string(), endpoint.port()};
}

std::error_code to_std(const boost::system::error_code& ec)
{
    return {ec.value(), ec.category()};
}

} // namespace

std::string_view to_string(peer_fault fault)
{
    switch (fault)
    {
    case peer_fault::none:
        return "none";
    case peer_fault::connect_failed:
        return "connect_failed";
    case peer_fault::connection_lost:
        return "connection_lost";
    case peer_fault::malformed_frame:
        return "malformed_frame";
    case peer_fault::header_too_large:
        return "header_too_large";
    case peer_fault::body_too_large:
        return "body_too_large";
    case peer_fault::too_many_streams:
        return "too_many_streams";
    case peer_fault::buffer_full:
        return "buffer_full";
    case peer_fault::too_many_sessions:
        return "too_many_sessions";
    case peer_fault::request_too_slow:
        return "request_too_slow";
    case peer_fault::silent:
        return "silent";
    case peer_fault::internal_error:
        break;
    }
    return "internal_error";
}

std::error_code make_error_code(peer_fault fault)
{
    static const fault_category instance;
    return {static_cast<int>(fault), instance};
}

asio::awaitable<result<std::string>> call_peer(peer_channel& channel, peer_address to,
                                               std::string path, std::string body, millis timeout)
{
    co_return co_await asio::async_initiate<const asio::use_awaitable_t<>&,
                                            void(result<std::string>)>(
        [&channel](auto handler, const peer_address& address, std::string&& where,
                   std::string&& content, millis limit)
        {
            // The callback must be copyable, which the coroutine's handler is not.
            const auto kept = std::make_shared<decltype(handler)>(std::move(handler));
            const auto executor = asio::get_associated_executor(*kept);
            channel.call(address, std::move(where), std::move(content), limit,
                         [kept, work = asio::make_work_guard(executor)](result<std::string> answer)
                         {
                             asio::post(work.get_executor(),
                                        [kept, answer = std::move(answer)]() mutable
                                        { (*kept)(std::move(answer)); });
                         });
        },
        asio::use_awaitable, std::move(to), std::move(path), std::move(body), timeout);
}

peer_handler
make_coroutine_handler(asio::any_io_executor executor,
                       std::function<asio::awaitable<peer_answer>(peer_request)> handler)
{
    return [executor = std::move(executor), handler = std::move(handler)](peer_request request,
                                                                          peer_reply reply)
    {
        asio::co_spawn(
            executor, handler(std::move(request)),
            [reply = std::move(reply)](const std::exception_ptr& failure, peer_answer answer)
            {
                if (failure)
                {
                    reply(500, {});
                    return;
                }
                reply(answer.status, std::move(answer.body));
            });
    };
}

// Server.

namespace
{

class server_session;

}

struct peer_server::state : std::enable_shared_from_this<peer_server::state>
{
    state(asio::io_context& io, peer_server_options limits, std::shared_ptr<const key_ring> keys,
          const clock& time, peer_handler handle)
        : context(io),
          options(std::move(limits)),
          verifier(std::move(keys), time),
          handler(std::move(handle)),
          acceptor(asio::make_strand(io)),
          retry(acceptor.get_executor())
    {
    }

    void accept();
    void accepted(strand_socket socket);
    void report(const std::string& peer, peer_fault fault) const;

    asio::io_context& context;
    peer_server_options options;
    request_verifier verifier;
    peer_handler handler;
    asio::basic_socket_acceptor<tcp, internal::strand> acceptor;
    strand_timer retry;
    std::shared_ptr<traffic_counters> traffic = std::make_shared<traffic_counters>();
    std::atomic<std::size_t> buffered{0};
    std::atomic<std::uint16_t> bound_port{0};
    std::mutex mutex; ///< Guards the two members below.
    /// Weak, because sessions hold this object; a session lives as long as it reads.
    std::map<const server_session*, std::weak_ptr<server_session>> sessions;
    bool stopped = false;
};

namespace
{

class server_session final : public http2_connection
{
public:
    server_session(strand_socket socket, std::shared_ptr<peer_server::state> owner)
        : http2_connection(std::move(socket), role::server, owner->options.max_streams,
                           owner->options.max_header_bytes, owner->traffic),
          owner_(std::move(owner)),
          timer_(this->socket().get_executor())
    {
        boost::system::error_code ignored;
        const tcp::endpoint local = this->socket().local_endpoint(ignored);
        const tcp::endpoint remote = this->socket().remote_endpoint(ignored);
        peer_ = to_string(to_address(remote));
        authorities_ = {to_string(to_address(local)),
                        to_string({owner_->options.advertised_host, local.port()})};
    }

    void start()
    {
        asio::dispatch(socket().get_executor(),
                       [this, self = shared_from_this()]
                       {
                           opened_ = std::chrono::steady_clock::now();
                           begin();
                           check_later();
                       });
    }

    void stop()
    {
        asio::post(socket().get_executor(),
                   [this, self = shared_from_this()] { close(peer_fault::none); });
    }

protected:
    void on_begin_headers(std::int32_t stream) override
    {
        requests_[stream].began = std::chrono::steady_clock::now();
    }

    void on_header(std::int32_t stream, std::string_view name, std::string_view value) override
    {
        const auto it = requests_.find(stream);
        if (it == requests_.end())
        {
            return;
        }
        incoming& request = it->second;
        request.header_bytes += name.size() + value.size();
        if (request.header_bytes > owner_->options.max_header_bytes)
        {
            fail(peer_fault::header_too_large);
            return;
        }
        const std::array<std::pair<std::string_view, std::string*>, 5> wanted{
            {{":method", &request.method},
             {":path", &request.path},
             {":authority", &request.authority},
             {"es-from", &request.from},
             {"es-auth", &request.signature}}};
        const auto* field = std::find_if(wanted.begin(), wanted.end(),
                                         [&](const auto& entry) { return entry.first == name; });
        if (field != wanted.end())
        {
            *field->second = value;
        }
    }

    void on_data(std::int32_t stream, std::string_view data) override
    {
        const auto it = requests_.find(stream);
        if (it == requests_.end())
        {
            return;
        }
        if (it->second.body.size() + data.size() > owner_->options.max_body_bytes)
        {
            fail(peer_fault::body_too_large);
            return;
        }
        buffered_ += data.size();
        if (owner_->buffered.fetch_add(data.size()) + data.size() >
            owner_->options.max_buffered_bytes)
        {
            fail(peer_fault::buffer_full);
            return;
        }
        it->second.body.append(data);
    }

    void on_end_of_message(std::int32_t stream) override
    {
        const auto it = requests_.find(stream);
        if (it == requests_.end() || it->second.complete)
        {
            return;
        }
        incoming& request = it->second;
        request.complete = true;
        release(request.body.size());
        const peer_reply reply =
            [weak = weak_from_this(), this, stream, executor = socket().get_executor(),
             used = std::make_shared<std::atomic_flag>()](int status, std::string body)
        {
            if (used->test_and_set())
            {
                return;
            }
            asio::post(executor,
                       [weak, this, stream, status, body = std::move(body)]() mutable
                       {
                           if (const auto self = weak.lock())
                           {
                               answer(stream, status, std::move(body));
                           }
                       });
        };
        const signature_fault fault = check(request);
        if (fault != signature_fault::none)
        {
            ++traffic().refused;
            reply(fault == signature_fault::cache_full ? 503 : 401, std::string(to_string(fault)));
            return;
        }
        if (request.method != "POST")
        {
            reply(400, {});
            return;
        }
        ++traffic().calls;
        try
        {
            owner_->handler({router_id(std::move(request.from)), std::move(request.path),
                             std::move(request.body)},
                            reply);
        }
        catch (const std::exception&)
        {
            reply(500, {});
        }
    }

    void on_stream_closed(std::int32_t stream, std::uint32_t /*code*/) override
    {
        const auto it = requests_.find(stream);
        if (it == requests_.end())
        {
            return;
        }
        if (!it->second.complete)
        {
            release(it->second.body.size());
        }
        requests_.erase(it);
    }

    std::string_view* body_to_send(std::int32_t stream) override
    {
        const auto it = requests_.find(stream);
        return it == requests_.end() ? nullptr : &it->second.unsent;
    }

    std::size_t open_streams() const override { return requests_.size(); }

    void handle_close(peer_fault fault) override
    {
        timer_.cancel();
        release(buffered_);
        owner_->report(peer_, fault);
        const std::lock_guard lock(owner_->mutex);
        owner_->sessions.erase(this);
    }

private:
    struct incoming
    {
        std::string method;
        std::string path;
        std::string authority;
        std::string from;
        std::string signature;
        std::string body;
        std::size_t header_bytes = 0;
        steady_time began;
        bool complete = false;
        std::string answer;
        std::string_view unsent; ///< Rest of the answer.
    };

    void release(std::size_t bytes)
    {
        buffered_ -= bytes;
        owner_->buffered -= bytes;
    }

    signature_fault check(const incoming& request)
    {
        // The signature covers the receiver's address, so it must be this one.
        if (std::find(authorities_.begin(), authorities_.end(), request.authority) ==
            authorities_.end())
        {
            return signature_fault::malformed;
        }
        return owner_->verifier.verify(
            {request.method, request.path, request.authority, request.from, request.body},
            request.signature);
    }

    void answer(std::int32_t stream, int status, std::string body)
    {
        const auto it = requests_.find(stream);
        if (closed() || it == requests_.end())
        {
            return;
        }
        if (status < 200 || status > 599)
        {
            status = 500;
            body.clear();
        }
        if (body.size() > owner_->options.max_body_bytes)
        {
            status = 413;
            body.clear();
        }
        it->second.answer = std::move(body);
        it->second.unsent = it->second.answer;
        const std::string code = std::to_string(status);
        const std::array<header_field, 1> fields{header_field{":status", code}};
        const std::vector<nghttp2_nv> list = to_fields(fields);
        const nghttp2_data_provider provider = body_provider();
        nghttp2_submit_response(http2(), stream, list.data(), list.size(),
                                it->second.answer.empty() ? nullptr : &provider);
        flush();
    }

    void check_later()
    {
        if (closed())
        {
            return;
        }
        const millis limit = owner_->options.request_timeout;
        timer_.expires_after(to_chrono({std::min(max_check_period.count, limit.count / 2 + 1)}));
        timer_.async_wait(
            [this, self = shared_from_this()](boost::system::error_code ec)
            {
                if (!ec && !closed())
                {
                    check_limits();
                    check_later();
                }
            });
    }

    void check_limits()
    {
        const steady_time now = std::chrono::steady_clock::now();
        const steady_time oldest = now - to_chrono(owner_->options.request_timeout);
        // Streams are ordered by age, but answered ones stay until they are sent.
        const bool slow =
            std::any_of(requests_.begin(), requests_.end(),
                        [&](const auto& entry)
                        { return !entry.second.complete && entry.second.began < oldest; });
        if (slow || (opened_ < oldest && last_receive() <= opened_))
        {
            close(peer_fault::request_too_slow);
        }
        else if (write_pending_since(oldest))
        {
            close(peer_fault::connection_lost);
        }
        else if (last_receive() < now - to_chrono(owner_->options.idle_timeout))
        {
            close(peer_fault::none);
        }
    }

    std::shared_ptr<peer_server::state> owner_;
    std::string peer_;
    std::array<std::string, 2> authorities_;
    std::map<std::int32_t, incoming> requests_;
    std::size_t buffered_ = 0; ///< This session's part of the server's buffered bytes.
    steady_time opened_;
    strand_timer timer_;
};

} // namespace

void peer_server::state::report(const std::string& peer, peer_fault fault) const
{
    if (fault != peer_fault::none && options.on_fault)
    {
        options.on_fault(peer, make_error_code(fault));
    }
}

void peer_server::state::accept()
{
    acceptor.async_accept(
        asio::make_strand(context),
        [self = shared_from_this()](boost::system::error_code ec, strand_socket socket)
        {
            if (ec == asio::error::operation_aborted || !self->acceptor.is_open())
            {
                return;
            }
            if (!ec)
            {
                self->accepted(std::move(socket));
                self->accept();
                return;
            }
            self->retry.expires_after(to_chrono(accept_retry));
            self->retry.async_wait(
                [self](boost::system::error_code stop)
                {
                    if (!stop && self->acceptor.is_open())
                    {
                        self->accept();
                    }
                });
        });
}

void peer_server::state::accepted(strand_socket socket)
{
    const auto session = std::make_shared<server_session>(std::move(socket), shared_from_this());
    {
        const std::lock_guard lock(mutex);
        if (!stopped && sessions.size() < options.max_sessions)
        {
            sessions.emplace(session.get(), session);
            session->start();
            return;
        }
    }
    report("", peer_fault::too_many_sessions);
}

peer_server::peer_server(asio::io_context& context, peer_server_options options,
                         std::shared_ptr<const key_ring> keys, const clock& time,
                         peer_handler handler)
    : state_(std::make_shared<state>(context, std::move(options), std::move(keys), time,
                                     std::move(handler)))
{
    assert(state_->handler);
}

peer_server::~peer_server()
{
    stop();
}

std::error_code peer_server::start()
{
    boost::system::error_code ec;
    const asio::ip::address host = asio::ip::make_address(state_->options.listen.host, ec);
    if (ec)
    {
        return make_error_code(errc::invalid_settings);
    }
    const tcp::endpoint endpoint(host, state_->options.listen.port);
    auto& acceptor = state_->acceptor;
    acceptor.open(endpoint.protocol(), ec);
    if (!ec)
    {
        acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    }
    if (!ec)
    {
        acceptor.bind(endpoint, ec);
    }
    if (!ec)
    {
        acceptor.listen(tcp::acceptor::max_listen_connections, ec);
    }
    if (ec)
    {
        return to_std(ec);
    }
    state_->bound_port = acceptor.local_endpoint(ec).port();
    asio::post(acceptor.get_executor(), [state = state_] { state->accept(); });
    return {};
}

std::uint16_t peer_server::port() const
{
    return state_->bound_port;
}

void peer_server::stop()
{
    std::map<const server_session*, std::weak_ptr<server_session>> sessions;
    {
        const std::lock_guard lock(state_->mutex);
        if (std::exchange(state_->stopped, true))
        {
            return;
        }
        sessions = state_->sessions;
    }
    asio::post(state_->acceptor.get_executor(),
               [state = state_]
               {
                   boost::system::error_code ignored;
                   state->acceptor.close(ignored);
                   state->retry.cancel();
               });
    for (const auto& [key, weak] : sessions)
    {
        if (const std::shared_ptr<server_session> session = weak.lock())
        {
            session->stop();
        }
    }
}

peer_traffic peer_server::traffic() const
{
    return state_->traffic->read();
}

// Client.

namespace
{

class client_session;
class peer_link;

/// \brief A call from its start to its end, known to its link by number.
struct outgoing_call
{
    std::string path;
    std::string body;
    std::string_view unsent; ///< Rest of the body.
    peer_callback done;
    steady_time deadline;
    std::weak_ptr<client_session> session; ///< Empty while the call waits for a free stream.
    std::int32_t stream = 0;
    int status = 0;
    std::size_t header_bytes = 0;
    std::string answer;
};

class client_session final : public http2_connection
{
public:
    client_session(strand_socket socket, const std::shared_ptr<peer_link>& link);

    /// \returns False if the session can take no further calls.
    bool submit(peer_link& link, std::uint64_t number, outgoing_call& call);
    void cancel(std::int32_t stream);
    void ping();

    bool usable() const { return !closed() && !peer_is_leaving() && !out_of_streams_; }
    std::size_t running() const { return streams_.size(); }

    std::optional<steady_time> unanswered_since; ///< First send after the last receive.
    std::optional<steady_time> pinged;

protected:
    void on_begin_headers(std::int32_t /*stream*/) override {}
    void on_header(std::int32_t stream, std::string_view name, std::string_view value) override;
    void on_data(std::int32_t stream, std::string_view data) override;
    void on_end_of_message(std::int32_t /*stream*/) override {}
    void on_stream_closed(std::int32_t stream, std::uint32_t code) override;
    std::string_view* body_to_send(std::int32_t stream) override;
    void before_send() override;
    void after_receive() override;
    std::size_t open_streams() const override { return streams_.size(); }
    void handle_close(peer_fault fault) override;

private:
    outgoing_call* find(std::int32_t stream);

    std::weak_ptr<peer_link> link_;                 ///< Weak, because the link holds its sessions.
    std::map<std::int32_t, std::uint64_t> streams_; ///< Stream and number of its call.
    bool out_of_streams_ = false;                   ///< Stream ids are not reused within a session.
};

} // namespace

struct peer_client_pool::state : std::enable_shared_from_this<peer_client_pool::state>
{
    state(asio::io_context& io, peer_client_options limits, std::shared_ptr<const key_ring> keys,
          const clock& time)
        : context(io),
          options(std::move(limits)),
          signer(std::move(keys), time)
    {
    }

    void finish(peer_callback done, result<std::string> answer)
    {
        asio::post(context, [done = std::move(done), answer = std::move(answer)]() mutable
                   { done(std::move(answer)); });
    }

    asio::io_context& context;
    peer_client_options options;
    request_signer signer;
    std::shared_ptr<traffic_counters> traffic = std::make_shared<traffic_counters>();
    std::mutex mutex; ///< Guards the two members below and the growth of peer_link::open_calls.
    std::map<std::pair<std::string, std::uint16_t>, std::shared_ptr<peer_link>> links;
    bool stopped = false;
};

namespace
{

/// \brief All calls to one peer, with its session and a second one while the first is in doubt.
/// Used on its strand only, except for open_calls.
class peer_link final : public std::enable_shared_from_this<peer_link>
{
public:
    peer_link(std::shared_ptr<peer_client_pool::state> pool, peer_address address)
        : pool_(std::move(pool)),
          address_(std::move(address)),
          authority_(to_string(address_)),
          strand_(asio::make_strand(pool_->context)),
          timer_(strand_)
    {
    }

    const internal::strand& executor() const { return strand_; }
    const peer_client_options& options() const { return pool_->options; }
    const std::string& authority() const { return authority_; }
    peer_client_pool::state& pool() { return *pool_; }

    void start(outgoing_call call)
    {
        if (stopped_)
        {
            finish(std::move(call.done), make_error_code(errc::shutting_down));
            return;
        }
        const std::uint64_t number = next_number_++;
        deadlines_.emplace(call.deadline, number);
        last_use_ = std::chrono::steady_clock::now();
        calls_.emplace(number, std::move(call));
        waiting_.push_back(number);
        proceed();
    }

    void stop()
    {
        stopped_ = true;
        while (!calls_.empty())
        {
            finish(calls_.begin()->first, make_error_code(errc::shutting_down));
        }
        if (const std::shared_ptr<strand_socket> socket = std::exchange(connecting_, nullptr))
        {
            boost::system::error_code ignored;
            socket->close(ignored);
        }
        drop(candidate_);
        drop(session_);
        for (const std::shared_ptr<client_session>& session : std::exchange(leaving_, {}))
        {
            session->close(peer_fault::none);
        }
        timer_.cancel();
    }

    outgoing_call* find(std::uint64_t number)
    {
        const auto it = calls_.find(number);
        return it == calls_.end() ? nullptr : &it->second;
    }

    void finish(std::uint64_t number, result<std::string> answer)
    {
        const auto it = calls_.find(number);
        if (it == calls_.end())
        {
            return;
        }
        deadlines_.erase({it->second.deadline, number});
        peer_callback done = std::move(it->second.done);
        calls_.erase(it);
        last_use_ = std::chrono::steady_clock::now();
        finish(std::move(done), std::move(answer));
    }

    void submit_waiting(client_session& session)
    {
        if (&session != session_.get() || !session.usable())
        {
            return;
        }
        while (!waiting_.empty() && session.running() < options().max_streams)
        {
            const std::uint64_t number = waiting_.front();
            waiting_.pop_front();
            outgoing_call* call = find(number);
            if (call != nullptr && !session.submit(*this, number, *call))
            {
                waiting_.push_front(number);
                return;
            }
        }
    }

    void received(client_session& session)
    {
        if (candidate_.get() == &session)
        {
            // The old session is closed only now that a new one is known to work.
            std::shared_ptr<client_session> old = std::exchange(session_, std::move(candidate_));
            candidate_.reset();
            if (old)
            {
                old->close(peer_fault::silent);
            }
            proceed();
        }
        else if (session_.get() == &session)
        {
            drop(candidate_);
        }
    }

    void session_closed(client_session& session, peer_fault fault)
    {
        if (fault != peer_fault::none && options().on_fault)
        {
            options().on_fault(authority_, make_error_code(fault));
        }
        if (candidate_.get() == &session)
        {
            candidate_.reset();
        }
        if (session_.get() == &session)
        {
            session_.reset();
        }
        proceed();
    }

    std::atomic<std::size_t> open_calls{0};

private:
    void finish(peer_callback done, result<std::string> answer)
    {
        --open_calls;
        pool_->finish(std::move(done), std::move(answer));
    }

    static void drop(std::shared_ptr<client_session>& session)
    {
        if (const std::shared_ptr<client_session> old = std::exchange(session, nullptr))
        {
            old->close(peer_fault::none);
        }
    }

    bool has_waiting()
    {
        while (!waiting_.empty() && find(waiting_.front()) == nullptr)
        {
            waiting_.pop_front();
        }
        return !waiting_.empty();
    }

    void proceed()
    {
        if (stopped_)
        {
            return;
        }
        if (session_ && session_->usable())
        {
            session_->flush();
        }
        if (session_ && !session_->usable())
        {
            // Its running calls end there; new ones need another session.
            leaving_.push_back(std::exchange(session_, nullptr));
        }
        if (!session_ && has_waiting())
        {
            connect();
        }
        close_drained();
        schedule();
    }

    void close_drained()
    {
        std::vector<std::shared_ptr<client_session>> drained;
        std::erase_if(leaving_,
                      [&drained](const std::shared_ptr<client_session>& session)
                      {
                          if (session->running() != 0 && !session->closed())
                          {
                              return false;
                          }
                          drained.push_back(session);
                          return true;
                      });
        for (const std::shared_ptr<client_session>& session : drained)
        {
            session->close(peer_fault::none);
        }
    }

    void connect()
    {
        if (connecting_)
        {
            return;
        }
        boost::system::error_code ec;
        const asio::ip::address host = asio::ip::make_address(address_.host, ec);
        if (ec)
        {
            connect_failed(make_error_code(errc::invalid_request));
            return;
        }
        connecting_ = std::make_shared<strand_socket>(strand_);
        connect_deadline_ = std::chrono::steady_clock::now() + to_chrono(options().connect_timeout);
        connecting_->async_connect(
            tcp::endpoint(host, address_.port),
            [self = shared_from_this(), socket = connecting_](boost::system::error_code failure)
            {
                if (self->connecting_ != socket)
                {
                    return;
                }
                self->connecting_.reset();
                if (failure)
                {
                    self->connect_failed(make_error_code(errc::peer_unavailable));
                    return;
                }
                self->connected(std::move(*socket));
            });
    }

    void connected(strand_socket socket)
    {
        if (stopped_)
        {
            return;
        }
        const auto session =
            std::make_shared<client_session>(std::move(socket), shared_from_this());
        if (session_ && session_->usable())
        {
            if (!session_->pinged)
            {
                return; // The first session answered meanwhile.
            }
            candidate_ = session;
            candidate_deadline_ =
                std::chrono::steady_clock::now() + to_chrono(options().connect_timeout);
            session->begin();
        }
        else
        {
            session_ = session;
            session->begin();
            proceed();
        }
        schedule();
    }

    void connect_failed(std::error_code ec)
    {
        connecting_.reset();
        if (session_ && session_->usable())
        {
            // The old session stays: nothing shows that a new one would work.
            session_->pinged = std::chrono::steady_clock::now();
        }
        else
        {
            if (options().on_fault)
            {
                options().on_fault(authority_, make_error_code(peer_fault::connect_failed));
            }
            while (has_waiting())
            {
                finish(waiting_.front(), ec);
            }
        }
        schedule();
    }

    void schedule()
    {
        std::optional<steady_time> next;
        const auto consider = [&next](steady_time time)
        {
            next = next ? std::min(*next, time) : time;
        };
        if (!deadlines_.empty())
        {
            consider(deadlines_.begin()->first);
        }
        if (connecting_)
        {
            consider(connect_deadline_);
        }
        if (candidate_)
        {
            consider(candidate_deadline_);
        }
        if (session_)
        {
            if (session_->pinged && !connecting_ && !candidate_)
            {
                consider(*session_->pinged + to_chrono(options().ping_timeout));
            }
            else if (session_->unanswered_since && !session_->pinged)
            {
                consider(*session_->unanswered_since + to_chrono(options().stall_timeout));
            }
            consider(idle_at());
        }
        if (!next && leaving_.empty())
        {
            remove_if_unused();
        }
        if (!next)
        {
            return;
        }
        // An earlier expiry than needed is left alone: setting a timer for each call costs more.
        if (armed_ && *armed_ <= *next)
        {
            return;
        }
        armed_ = next;
        timer_.expires_at(*next);
        timer_.async_wait(
            [self = shared_from_this()](boost::system::error_code ec)
            {
                if (!ec && !self->stopped_)
                {
                    self->armed_.reset();
                    self->expire(std::chrono::steady_clock::now());
                }
            });
    }

    steady_time idle_at() const
    {
        // With open calls the session is not idle; their deadlines come first or the next check
        // finds them finished.
        const steady_time from = calls_.empty() ? last_use_ : std::chrono::steady_clock::now();
        return from + to_chrono(options().idle_timeout);
    }

    void expire(steady_time now)
    {
        while (!deadlines_.empty() && deadlines_.begin()->first <= now)
        {
            const std::uint64_t number = deadlines_.begin()->second;
            const std::int32_t stream = calls_.at(number).stream;
            const std::shared_ptr<client_session> session = calls_.at(number).session.lock();
            finish(number, make_error_code(errc::deadline_exceeded));
            if (session)
            {
                session->cancel(stream);
            }
        }
        if (connecting_ && connect_deadline_ <= now)
        {
            boost::system::error_code ignored;
            const std::shared_ptr<strand_socket> socket = std::exchange(connecting_, nullptr);
            socket->close(ignored);
            connect_failed(make_error_code(errc::peer_unavailable));
        }
        if (candidate_ && candidate_deadline_ <= now)
        {
            drop(candidate_);
            if (session_)
            {
                session_->pinged = now;
            }
        }
        if (session_)
        {
            check_progress(now);
        }
        if (session_ && calls_.empty() && idle_at() <= now)
        {
            drop(candidate_);
            drop(session_);
        }
        proceed();
    }

    void check_progress(steady_time now)
    {
        if (!session_->pinged)
        {
            if (session_->unanswered_since &&
                *session_->unanswered_since + to_chrono(options().stall_timeout) <= now)
            {
                session_->pinged = now;
                session_->ping();
            }
        }
        else if (!candidate_ && *session_->pinged + to_chrono(options().ping_timeout) <= now)
        {
            connect();
        }
    }

    void remove_if_unused()
    {
        const std::lock_guard lock(pool_->mutex);
        const auto it = pool_->links.find({address_.host, address_.port});
        if (open_calls == 0 && it != pool_->links.end() && it->second.get() == this)
        {
            pool_->links.erase(it);
        }
    }

    std::shared_ptr<peer_client_pool::state> pool_;
    peer_address address_;
    std::string authority_;
    internal::strand strand_;
    strand_timer timer_;
    std::optional<steady_time> armed_; ///< Expiry of the timer while it is waited for.
    std::map<std::uint64_t, outgoing_call> calls_;
    std::set<std::pair<steady_time, std::uint64_t>> deadlines_;
    std::deque<std::uint64_t> waiting_; ///< May hold numbers of calls that have ended.
    std::uint64_t next_number_ = 1;
    steady_time last_use_;
    std::shared_ptr<client_session> session_;
    std::shared_ptr<client_session> candidate_; ///< Takes over once the peer has answered on it.
    steady_time candidate_deadline_;
    std::vector<std::shared_ptr<client_session>> leaving_;
    std::shared_ptr<strand_socket> connecting_;
    steady_time connect_deadline_;
    bool stopped_ = false;
};

client_session::client_session(strand_socket socket, const std::shared_ptr<peer_link>& link)
    : http2_connection(std::move(socket), role::client, link->options().max_streams,
                       link->options().max_header_bytes, link->pool().traffic),
      link_(link)
{
}

bool client_session::submit(peer_link& link, std::uint64_t number, outgoing_call& call)
{
    const std::string& from = link.options().self.str();
    const std::string signature =
        link.pool().signer.sign({"POST", call.path, link.authority(), from, call.body});
    const std::array<header_field, 6> fields{{{":method", "POST"},
                                              {":scheme", "http"},
                                              {":authority", link.authority()},
                                              {":path", call.path},
                                              {"es-from", from},
                                              {"es-auth", signature, false}}};
    const std::vector<nghttp2_nv> list = to_fields(fields);
    const nghttp2_data_provider provider = body_provider();
    const std::int32_t stream =
        nghttp2_submit_request(http2(), nullptr, list.data(), list.size(),
                               call.body.empty() ? nullptr : &provider, nullptr);
    if (stream < 0)
    {
        out_of_streams_ = true;
        return false;
    }
    call.unsent = call.body;
    call.session = std::static_pointer_cast<client_session>(shared_from_this());
    call.stream = stream;
    streams_.emplace(stream, number);
    if (!unanswered_since)
    {
        unanswered_since = std::chrono::steady_clock::now();
    }
    ++traffic().calls;
    return true;
}

void client_session::cancel(std::int32_t stream)
{
    if (!closed() && streams_.erase(stream) > 0)
    {
        nghttp2_submit_rst_stream(http2(), NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
        flush();
    }
}

void client_session::ping()
{
    nghttp2_submit_ping(http2(), NGHTTP2_FLAG_NONE, nullptr);
    flush();
}

outgoing_call* client_session::find(std::int32_t stream)
{
    const auto it = streams_.find(stream);
    const std::shared_ptr<peer_link> link = link_.lock();
    return it == streams_.end() || !link ? nullptr : link->find(it->second);
}

void client_session::on_header(std::int32_t stream, std::string_view name, std::string_view value)
{
    outgoing_call* call = find(stream);
    if (call == nullptr)
    {
        return;
    }
    call->header_bytes += name.size() + value.size();
    if (call->header_bytes > max_header_bytes())
    {
        fail(peer_fault::header_too_large);
    }
    else if (name == ":status")
    {
        std::from_chars(value.data(), value.data() + value.size(), call->status);
    }
}

void client_session::on_data(std::int32_t stream, std::string_view data)
{
    outgoing_call* call = find(stream);
    const std::shared_ptr<peer_link> link = link_.lock();
    if (call == nullptr || !link)
    {
        return;
    }
    if (call->answer.size() + data.size() > link->options().max_body_bytes)
    {
        link->finish(streams_.at(stream), make_error_code(errc::too_large));
        streams_.erase(stream);
        fail(peer_fault::body_too_large);
        return;
    }
    call->answer.append(data);
}

void client_session::on_stream_closed(std::int32_t stream, std::uint32_t code)
{
    const auto it = streams_.find(stream);
    if (it == streams_.end())
    {
        return;
    }
    const std::uint64_t number = it->second;
    streams_.erase(it);
    const std::shared_ptr<peer_link> link = link_.lock();
    outgoing_call* call = link ? link->find(number) : nullptr;
    if (call == nullptr)
    {
        return;
    }
    if (code != NGHTTP2_NO_ERROR)
    {
        link->finish(number, make_error_code(errc::peer_unavailable));
    }
    else if (call->status != 200)
    {
        link->finish(number, to_error(call->status));
    }
    else
    {
        link->finish(number, std::move(call->answer));
    }
}

std::string_view* client_session::body_to_send(std::int32_t stream)
{
    outgoing_call* call = find(stream);
    return call == nullptr ? nullptr : &call->unsent;
}

void client_session::before_send()
{
    if (const std::shared_ptr<peer_link> link = link_.lock())
    {
        link->submit_waiting(*this);
    }
}

void client_session::after_receive()
{
    unanswered_since.reset();
    pinged.reset();
    if (const std::shared_ptr<peer_link> link = link_.lock())
    {
        link->received(*this);
    }
}

void client_session::handle_close(peer_fault fault)
{
    const std::shared_ptr<peer_link> link = link_.lock();
    if (!link)
    {
        return;
    }
    for (const auto& [stream, number] : std::exchange(streams_, {}))
    {
        link->finish(number, make_error_code(errc::peer_unavailable));
    }
    link->session_closed(*this, fault);
}

} // namespace

peer_client_pool::peer_client_pool(asio::io_context& context, peer_client_options options,
                                   std::shared_ptr<const key_ring> keys, const clock& time)
    : state_(std::make_shared<state>(context, std::move(options), std::move(keys), time))
{
    assert(!state_->options.self.empty());
}

peer_client_pool::~peer_client_pool()
{
    stop();
}

void peer_client_pool::call(const peer_address& to, std::string path, std::string body,
                            millis timeout, peer_callback done)
{
    assert(path.starts_with('/'));
    assert(timeout.count > 0);
    assert(done);
    if (body.size() > state_->options.max_body_bytes)
    {
        state_->finish(std::move(done), make_error_code(errc::too_large));
        return;
    }
    std::shared_ptr<peer_link> link;
    {
        const std::lock_guard lock(state_->mutex);
        if (state_->stopped)
        {
            state_->finish(std::move(done), make_error_code(errc::shutting_down));
            return;
        }
        std::shared_ptr<peer_link>& entry = state_->links[{to.host, to.port}];
        if (!entry)
        {
            entry = std::make_shared<peer_link>(state_, to);
        }
        if (entry->open_calls >= state_->options.max_waiting_calls)
        {
            state_->finish(std::move(done), make_error_code(errc::overloaded));
            return;
        }
        ++entry->open_calls;
        link = entry;
    }
    outgoing_call call;
    call.path = std::move(path);
    call.body = std::move(body);
    call.done = std::move(done);
    call.deadline = std::chrono::steady_clock::now() + to_chrono(timeout);
    asio::post(link->executor(),
               [link, call = std::move(call)]() mutable { link->start(std::move(call)); });
}

void peer_client_pool::stop()
{
    const std::lock_guard lock(state_->mutex);
    state_->stopped = true;
    for (const auto& [address, link] : std::exchange(state_->links, {}))
    {
        asio::post(link->executor(), [link = link] { link->stop(); });
    }
}

peer_traffic peer_client_pool::traffic() const
{
    return state_->traffic->read();
}

} // namespace endivestage::daemon
