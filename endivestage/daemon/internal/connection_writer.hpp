/// \file
/// \brief Writes the response to one request to a caller's connection.
#pragma once

#include <endivestage/daemon/http_server.hpp>
#include <endivestage/daemon/logging.hpp>

#include <atomic>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <utility>

namespace endivestage::daemon
{

/// \brief The response_writer of \ref http_server.
class connection_writer final : public response_writer,
                                public std::enable_shared_from_this<connection_writer>
{
public:
    /// \param accepting Becomes false when connections must not be kept any longer.
    connection_writer(boost::beast::tcp_stream& stream, millis write_timeout, bool keep_alive,
                      const std::atomic<bool>& accepting)
        : stream_(stream),
          write_timeout_(write_timeout),
          keep_alive_(keep_alive),
          accepting_(accepting)
    {
    }

    awaitable<std::error_code> send(http_response response) override
    {
        stop_watching();
        boost::beast::http::response<boost::beast::http::string_body> message;
        fill(message, response);
        message.body() = std::move(response.body);
        message.prepare_payload();
        boost::system::error_code ec;
        stream_.expires_after(std::chrono::milliseconds(write_timeout_.count));
        co_await boost::beast::http::async_write(
            stream_, message, boost::asio::redirect_error(boost::asio::use_awaitable, ec));
        complete_ = !ec;
        co_return convert(ec);
    }

    awaitable<std::error_code> begin(http_response head) override
    {
        boost::beast::http::response<boost::beast::http::empty_body> message;
        fill(message, head);
        message.chunked(true);
        boost::beast::http::response_serializer<boost::beast::http::empty_body> serializer(message);
        boost::system::error_code ec;
        stream_.expires_after(std::chrono::milliseconds(write_timeout_.count));
        co_await boost::beast::http::async_write_header(
            stream_, serializer, boost::asio::redirect_error(boost::asio::use_awaitable, ec));
        co_return convert(ec);
    }

    awaitable<std::error_code> write(std::string_view chunk) override
    {
        boost::system::error_code ec;
        stream_.expires_after(std::chrono::milliseconds(write_timeout_.count));
        co_await boost::asio::async_write(
            stream_,
            boost::beast::http::make_chunk(boost::asio::buffer(chunk.data(), chunk.size())),
            boost::asio::redirect_error(boost::asio::use_awaitable, ec));
        co_return convert(ec);
    }

    awaitable<std::error_code> end() override
    {
        stop_watching();
        boost::system::error_code ec;
        stream_.expires_after(std::chrono::milliseconds(write_timeout_.count));
        co_await boost::asio::async_write(
            stream_, boost::beast::http::make_chunk_last(),
            boost::asio::redirect_error(boost::asio::use_awaitable, ec));
        complete_ = !ec;
        co_return convert(ec);
    }

    void abort() override
    {
        stop_watching();
        boost::system::error_code ec;
        stream_.socket().close(ec);
    }

    void on_caller_left(std::function<void()> callback) override
    {
        // The asynchronous wait completes only after the handler has suspended, and by then the
        // handler may have sent the request on.
        if (at_end())
        {
            log_disconnect({});
            callback();
            return;
        }
        caller_left_ = std::move(callback);
        watch();
    }

    bool is_complete() const { return complete_; }
    bool may_reuse() const { return complete_ && keep_alive_; }

    void stop_watching() { caller_left_ = nullptr; }

private:
    static std::error_code convert(const boost::system::error_code& ec)
    {
        return ec ? make_error_code(errc::cancelled) : std::error_code{};
    }

    template <class Message>
    void fill(Message& message, const http_response& response)
    {
        keep_alive_ = keep_alive_ && accepting_;
        message.version(11);
        message.result(static_cast<unsigned>(response.status));
        for (const std::pair<std::string, std::string>& field : response.fields)
        {
            message.insert(field.first, field.second);
        }
        message.keep_alive(keep_alive_);
    }

    // A caller that closes its connection makes the socket readable with no bytes to read.
    void watch()
    {
        std::shared_ptr<connection_writer> self = shared_from_this();
        stream_.socket().async_wait(boost::asio::ip::tcp::socket::wait_read,
                                    [self](const boost::system::error_code& ec)
                                    {
                                        if (!self->caller_left_)
                                        {
                                            return;
                                        }
                                        if (ec || self->at_end())
                                        {
                                            self->log_disconnect(ec);
                                            std::exchange(self->caller_left_, nullptr)();
                                        }
                                    });
    }

    void log_disconnect(const boost::system::error_code& ec)
    {
        boost::system::error_code ignored;
        log_event(log_level::info, "caller_disconnected",
                  {{"peer", stream_.socket().remote_endpoint(ignored).port()},
                   {"cause", ec ? ec.message() : std::string("end_of_stream")}});
    }

    bool at_end()
    {
        char byte = 0;
        boost::system::error_code ec;
        stream_.socket().non_blocking(true, ec);
        const std::size_t n = stream_.socket().receive(
            boost::asio::buffer(&byte, 1), boost::asio::ip::tcp::socket::message_peek, ec);
        return n == 0 && ec != boost::asio::error::would_block;
    }

    boost::beast::tcp_stream& stream_;
    millis write_timeout_;
    bool keep_alive_;
    const std::atomic<bool>& accepting_;
    bool complete_ = false;
    std::function<void()> caller_left_;
};

} // namespace endivestage::daemon
