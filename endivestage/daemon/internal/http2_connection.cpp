#include <endivestage/daemon/internal/http2_connection.hpp>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <cstring>
#include <new>
#include <utility>

namespace endivestage::daemon::internal
{

namespace asio = boost::asio;

namespace
{

/// Frames are collected up to this size for one write; larger writes gain nothing on loopback.
constexpr std::size_t max_write_bytes = 65536;
/// A larger output buffer is freed when a connection becomes idle.
constexpr std::size_t kept_output_bytes = 4096;
/// A timed-out call resets its stream, so a burst of timeouts must not look like an attack. The
/// defaults of nghttp2 (1,000 and 33 per second) are too low for that.
constexpr std::uint64_t reset_burst = 10000;
constexpr std::uint64_t resets_per_second = 1000;

std::string_view as_text(const std::uint8_t* data, std::size_t size)
{
    return {reinterpret_cast<const char*>(data), size};
}

} // namespace

peer_traffic traffic_counters::read() const
{
    return {bytes_sent.load(), bytes_received.load(),  calls.load(),
            refused.load(),    sessions_opened.load(), sessions_open.load()};
}

std::chrono::milliseconds to_chrono(millis time)
{
    return std::chrono::milliseconds(time.count);
}

/// \brief Callbacks of nghttp2. Exceptions must not pass through its C code.
struct http2_connection::trampolines
{
    template <class Function>
    static int guarded(void* user, Function function)
    {
        auto* self = static_cast<http2_connection*>(user);
        try
        {
            function(*self);
        }
        catch (const std::exception&)
        {
            self->fail(peer_fault::internal_error);
        }
        return self->fault_ == peer_fault::none ? 0 : NGHTTP2_ERR_CALLBACK_FAILURE;
    }

    static int begin_headers(nghttp2_session* /*session*/, const nghttp2_frame* frame, void* user)
    {
        return guarded(user,
                       [&](http2_connection& self) { self.on_begin_headers(frame->hd.stream_id); });
    }

    static int header(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                      const std::uint8_t* name, std::size_t name_size, const std::uint8_t* value,
                      std::size_t value_size, std::uint8_t /*flags*/, void* user)
    {
        return guarded(user,
                       [&](http2_connection& self) {
                           self.on_header(frame->hd.stream_id, as_text(name, name_size),
                                          as_text(value, value_size));
                       });
    }

    static int data(nghttp2_session* /*session*/, std::uint8_t /*flags*/, std::int32_t stream,
                    const std::uint8_t* bytes, std::size_t size, void* user)
    {
        return guarded(user,
                       [&](http2_connection& self) { self.on_data(stream, as_text(bytes, size)); });
    }

    static int frame_received(nghttp2_session* /*session*/, const nghttp2_frame* frame, void* user)
    {
        return guarded(user,
                       [&](http2_connection& self)
                       {
                           const bool message =
                               frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
                           if (message && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0)
                           {
                               self.on_end_of_message(frame->hd.stream_id);
                           }
                           self.goaway_received_ |= frame->hd.type == NGHTTP2_GOAWAY;
                       });
    }

    static int invalid_frame(nghttp2_session* /*session*/, const nghttp2_frame* frame, int /*code*/,
                             void* user)
    {
        return guarded(user,
                       [&](http2_connection& self)
                       {
                           const bool above = self.side_ == role::server &&
                                              frame->hd.type == NGHTTP2_HEADERS &&
                                              self.open_streams() >= self.max_streams_;
                           self.fail(above ? peer_fault::too_many_streams
                                           : peer_fault::malformed_frame);
                       });
    }

    static int stream_closed(nghttp2_session* /*session*/, std::int32_t stream, std::uint32_t code,
                             void* user)
    {
        return guarded(user, [&](http2_connection& self) { self.on_stream_closed(stream, code); });
    }

    static int not_sent(nghttp2_session* /*session*/, const nghttp2_frame* frame, int /*code*/,
                        void* user)
    {
        return guarded(user,
                       [&](http2_connection& self)
                       {
                           if (frame->hd.type == NGHTTP2_HEADERS)
                           {
                               self.on_stream_closed(frame->hd.stream_id, NGHTTP2_REFUSED_STREAM);
                           }
                       });
    }

    static ssize_t read_body(nghttp2_session* /*session*/, std::int32_t stream, std::uint8_t* out,
                             std::size_t size, std::uint32_t* flags,
                             nghttp2_data_source* /*source*/, void* user)
    {
        std::string_view* body = static_cast<http2_connection*>(user)->body_to_send(stream);
        if (body == nullptr)
        {
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        }
        const std::size_t count = std::min(size, body->size());
        std::memcpy(out, body->data(), count);
        body->remove_prefix(count);
        if (body->empty())
        {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        }
        return static_cast<ssize_t>(count);
    }
};

http2_connection::http2_connection(strand_socket socket, role side, std::uint32_t max_streams,
                                   std::size_t max_header_bytes,
                                   std::shared_ptr<traffic_counters> traffic)
    : socket_(std::move(socket)),
      side_(side),
      max_streams_(max_streams),
      max_header_bytes_(max_header_bytes),
      traffic_(std::move(traffic)),
      last_receive_(std::chrono::steady_clock::now())
{
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_option* options = nullptr;
    if (nghttp2_session_callbacks_new(&callbacks) != 0 || nghttp2_option_new(&options) != 0)
    {
        nghttp2_session_callbacks_del(callbacks);
        throw std::bad_alloc();
    }
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, &trampolines::begin_headers);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, &trampolines::header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &trampolines::data);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &trampolines::frame_received);
    nghttp2_session_callbacks_set_on_invalid_frame_recv_callback(callbacks,
                                                                 &trampolines::invalid_frame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &trampolines::stream_closed);
    nghttp2_session_callbacks_set_on_frame_not_send_callback(callbacks, &trampolines::not_sent);
    // Closed streams are kept by default for a priority scheme that is not used here.
    nghttp2_option_set_no_closed_streams(options, 1);
    nghttp2_option_set_stream_reset_rate_limit(options, reset_burst, resets_per_second);
    const int code = side == role::server
                         ? nghttp2_session_server_new2(&http2_, callbacks, this, options)
                         : nghttp2_session_client_new2(&http2_, callbacks, this, options);
    nghttp2_option_del(options);
    nghttp2_session_callbacks_del(callbacks);
    if (code != 0)
    {
        throw std::bad_alloc();
    }
    ++traffic_->sessions_open;
    ++traffic_->sessions_opened;
}

http2_connection::~http2_connection()
{
    nghttp2_session_del(http2_);
    if (!closed_)
    {
        --traffic_->sessions_open;
    }
}

void http2_connection::begin()
{
    boost::system::error_code ignored;
    // Small frames must not wait for the acknowledgement of earlier ones.
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    const std::array<nghttp2_settings_entry, 2> settings{
        nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE,
                               static_cast<std::uint32_t>(max_header_bytes_)},
        side_ == role::server
            ? nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, max_streams_}
            : nghttp2_settings_entry{NGHTTP2_SETTINGS_ENABLE_PUSH, 0}};
    nghttp2_submit_settings(http2_, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    last_receive_ = std::chrono::steady_clock::now();
    flush();
    read();
}

void http2_connection::read()
{
    if (closed_)
    {
        return;
    }
    socket_.async_read_some(
        asio::buffer(input_),
        [self = shared_from_this()](boost::system::error_code ec, std::size_t n)
        {
            if (self->closed_)
            {
                return;
            }
            if (ec)
            {
                self->close(self->open_streams() == 0 ? peer_fault::none
                                                      : peer_fault::connection_lost);
                return;
            }
            self->traffic_->bytes_received += n;
            self->last_receive_ = std::chrono::steady_clock::now();
            const ssize_t used = nghttp2_session_mem_recv(self->http2_, self->input_.data(), n);
            if (used < 0 || self->fault_ != peer_fault::none)
            {
                self->close(self->fault_ == peer_fault::none ? peer_fault::malformed_frame
                                                             : self->fault_);
                return;
            }
            self->after_receive();
            self->flush();
            self->read();
        });
}

void http2_connection::flush()
{
    if (closed_ || writing_)
    {
        return;
    }
    before_send();
    output_.clear();
    const std::uint8_t* frame = nullptr;
    ssize_t size = 0;
    while (output_.size() < max_write_bytes &&
           (size = nghttp2_session_mem_send(http2_, &frame)) > 0)
    {
        output_.append(as_text(frame, static_cast<std::size_t>(size)));
    }
    if (size < 0 || fault_ != peer_fault::none)
    {
        close(fault_ == peer_fault::none ? peer_fault::internal_error : fault_);
        return;
    }
    if (output_.empty())
    {
        if (output_.capacity() > kept_output_bytes)
        {
            std::string().swap(output_);
        }
        if (nghttp2_session_want_read(http2_) == 0 && nghttp2_session_want_write(http2_) == 0)
        {
            // nghttp2 ends a session by itself after a protocol error or a GOAWAY of the peer.
            close(goaway_received_ ? peer_fault::none : peer_fault::malformed_frame);
        }
        return;
    }
    writing_ = true;
    write_began_ = std::chrono::steady_clock::now();
    asio::async_write(socket_, asio::buffer(output_),
                      [self = shared_from_this()](boost::system::error_code ec, std::size_t n)
                      {
                          self->writing_ = false;
                          self->traffic_->bytes_sent += n;
                          if (self->closed_)
                          {
                              return;
                          }
                          if (ec)
                          {
                              self->close(peer_fault::connection_lost);
                              return;
                          }
                          self->flush();
                      });
}

void http2_connection::fail(peer_fault fault)
{
    if (fault_ == peer_fault::none)
    {
        fault_ = fault;
    }
}

void http2_connection::send_goaway()
{
    const std::uint32_t code = fault_ == peer_fault::none              ? NGHTTP2_NO_ERROR
                               : fault_ == peer_fault::malformed_frame ? NGHTTP2_PROTOCOL_ERROR
                                                                       : NGHTTP2_ENHANCE_YOUR_CALM;
    const std::uint8_t* frame = nullptr;
    boost::system::error_code ec;
    socket_.non_blocking(true, ec);
    if (ec || nghttp2_session_terminate_session(http2_, code) != 0)
    {
        return;
    }
    // Only a notice: what does not fit into the socket's buffer is dropped.
    for (ssize_t size = nghttp2_session_mem_send(http2_, &frame); size > 0 && !ec;
         size = nghttp2_session_mem_send(http2_, &frame))
    {
        traffic_->bytes_sent +=
            socket_.write_some(asio::buffer(frame, static_cast<std::size_t>(size)), ec);
    }
}

void http2_connection::close(peer_fault fault)
{
    if (closed_)
    {
        return;
    }
    closed_ = true;
    fail(fault);
    if (!writing_ && fault != peer_fault::connection_lost && socket_.is_open())
    {
        send_goaway();
    }
    boost::system::error_code ignored;
    socket_.close(ignored);
    --traffic_->sessions_open;
    handle_close(fault);
}

std::vector<nghttp2_nv> http2_connection::to_fields(std::span<const header_field> fields) const
{
    std::vector<nghttp2_nv> list;
    list.reserve(fields.size());
    for (const header_field& field : fields)
    {
        // nghttp2 copies names and values and does not write to them.
        list.push_back({reinterpret_cast<std::uint8_t*>(const_cast<char*>(field.name.data())),
                        reinterpret_cast<std::uint8_t*>(const_cast<char*>(field.value.data())),
                        field.name.size(), field.value.size(),
                        static_cast<std::uint8_t>(field.indexed ? NGHTTP2_NV_FLAG_NONE
                                                                : NGHTTP2_NV_FLAG_NO_INDEX)});
    }
    return list;
}

nghttp2_data_provider http2_connection::body_provider()
{
    nghttp2_data_provider provider{};
    provider.read_callback = &trampolines::read_body;
    return provider;
}

} // namespace endivestage::daemon::internal
