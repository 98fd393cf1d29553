#include <endivestage/daemon/request_reader.hpp>

#include <endivestage/daemon/message_framing.hpp>
#include <endivestage/daemon/sleep.hpp>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace endivestage::daemon
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace
{

constexpr std::size_t read_bytes = 4096;
/// Charged for an unfinished request besides its body: its coroutine, its head, its read buffer and
/// what the kernel has received for it.
constexpr std::size_t unfinished_overhead = 32768;
/// The same for a whole request: its fields and the state of its exchange.
constexpr std::size_t finished_overhead = 8192;
constexpr std::size_t first_chunked_bytes = 16384;
/// A request waits at most this long for memory before it is refused. A stopped body is noticed
/// within this time, and callers' shortest time limits are about as long.
constexpr millis memory_wait{700};
constexpr millis memory_check_interval{10};

} // namespace

request_reader::request_reader(connection_stream& stream, socket_deadline& deadline,
                               beast::flat_buffer& buf, const http_limits& limits,
                               request_memory* memory)
    : stream_(stream),
      deadline_(deadline),
      buf_(buf),
      limits_(limits),
      memory_(memory)
{
    // The buffer holds a head, or the extensions of a chunk or the trailer, which Beast parses as a
    // whole. It must take bytes that were read under older limits.
    buf_.max_size(buf_.size() + std::max(read_bytes, limits_.header_bytes + read_bytes));
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(limits_.header_bytes));
    parser_->body_limit(limits_.body_bytes);
}

std::optional<read_failure> request_reader::to_failure(const boost::system::error_code& ec) const
{
    if (!ec)
    {
        return std::nullopt;
    }
    if (reservation_ && reservation_->evicted())
    {
        return read_failure{read_failure::cause::evicted};
    }
    if (ec == http::error::end_of_stream || ec == beast::error::timeout ||
        ec.category() == asio::error::get_system_category() ||
        ec.category() == asio::error::get_misc_category())
    {
        return read_failure{read_failure::cause::connection};
    }
    const bool large = ec == http::error::header_limit || ec == http::error::body_limit ||
                       ec == http::error::buffer_overflow;
    return read_failure{large ? read_failure::cause::too_large : read_failure::cause::malformed};
}

awaitable<std::optional<read_failure>> request_reader::read()
{
    if (memory_ != nullptr)
    {
        boost::system::error_code ignored;
        const tcp::endpoint caller = stream_.socket().remote_endpoint(ignored);
        reservation_ = memory_->open(caller.address().to_string(), time_.now());
        reservation_->on_evict([this]
                               { deadline_.start(millis{1}, socket_deadline::direction::read); });
    }
    deadline_.start(limits_.request, socket_deadline::direction::read);
    const std::optional<read_failure> failure = co_await read_parts();
    deadline_.stop();
    if (reservation_)
    {
        reservation_->finish();
    }
    if (!failure && reservation_)
    {
        reservation_->resize(finished_overhead + parser_->get().body().capacity());
    }
    co_return failure;
}

awaitable<std::optional<read_failure>> request_reader::read_parts()
{
    std::optional<read_failure> failure = co_await reserve(unfinished_overhead);
    if (failure)
    {
        co_return failure;
    }
    boost::system::error_code ec;
    co_await http::async_read_header(stream_, buf_, *parser_,
                                     asio::redirect_error(asio::use_awaitable, ec));
    failure = to_failure(ec);
    if (failure)
    {
        co_return failure;
    }
    // Taken before the body: the parser adds the fields of a trailer to those of the head.
    take_head();
    const message_framing framing = check_framing(head_.fields, parser_->get().version() % 10);
    if (framing != message_framing::valid)
    {
        co_return read_failure{framing == message_framing::unknown_coding
                                   ? read_failure::cause::unknown_coding
                                   : read_failure::cause::malformed};
    }
    failure = co_await reserve_body();
    if (failure)
    {
        co_return failure;
    }
    if (beast::iequals(parser_->get()[http::field::expect], "100-continue"))
    {
        http::response<http::empty_body> proceed(http::status::continue_, 11);
        co_await http::async_write(stream_, proceed, asio::redirect_error(asio::use_awaitable, ec));
    }
    failure = to_failure(ec);
    if (!failure)
    {
        failure = co_await read_body();
    }
    co_return failure;
}

awaitable<std::optional<read_failure>> request_reader::read_body()
{
    parser_->eager(true);
    while (!parser_->is_done())
    {
        std::optional<read_failure> failure = co_await reserve_body();
        if (failure)
        {
            co_return failure;
        }
        boost::system::error_code ec;
        const std::size_t before = parser_->get().body().size();
        co_await http::async_read_some(stream_, buf_, *parser_,
                                       asio::redirect_error(asio::use_awaitable, ec));
        failure = to_failure(ec);
        if (failure)
        {
            co_return failure;
        }
        if (reservation_)
        {
            reservation_->record_arrival(parser_->get().body().size() - before, time_.now());
        }
    }
    co_return std::nullopt;
}

// Makes room for the next read. Growing a string takes the old and the new size for a moment.
awaitable<std::optional<read_failure>> request_reader::reserve_body()
{
    std::string& body = parser_->get().body();
    const boost::optional<std::uint64_t> length = parser_->content_length();
    if (!reservation_ || parser_->is_done())
    {
        co_return std::nullopt;
    }
    if (reservation_->evicted())
    {
        co_return read_failure{read_failure::cause::evicted};
    }
    if (length)
    {
        const std::size_t bytes = unfinished_overhead + static_cast<std::size_t>(*length);
        if (reservation_->held() >= bytes)
        {
            co_return std::nullopt;
        }
        co_return co_await reserve(bytes);
    }
    if (body.size() + buf_.max_size() <= body.capacity())
    {
        co_return std::nullopt;
    }
    const std::size_t doubled = std::max(first_chunked_bytes, 2 * body.size());
    const std::size_t wanted = std::min(doubled, limits_.body_bytes) + buf_.max_size();
    const std::optional<read_failure> failure =
        co_await reserve(unfinished_overhead + body.capacity() + wanted);
    if (!failure)
    {
        body.reserve(wanted);
        reservation_->resize(unfinished_overhead + body.capacity());
    }
    co_return failure;
}

awaitable<std::optional<read_failure>> request_reader::reserve(std::size_t bytes)
{
    if (!reservation_ || reservation_->resize(bytes))
    {
        co_return std::nullopt;
    }
    const time_point until = time_.now() + memory_wait;
    reservation_->begin_wait(time_.now());
    bool granted = false;
    while (!granted && time_.now() < until)
    {
        memory_->evict(bytes - reservation_->held(), time_.now());
        co_await sleep_for(memory_check_interval);
        granted = reservation_->resize(bytes);
    }
    reservation_->end_wait(time_.now());
    if (granted)
    {
        co_return std::nullopt;
    }
    co_return read_failure{read_failure::cause::short_memory};
}

void request_reader::take_head()
{
    const http::request<http::string_body>& message = parser_->get();
    head_.method = std::string(message.method_string());
    head_.target = std::string(message.target());
    for (const auto& field : message)
    {
        head_.fields.emplace_back(field.name_string(), field.value());
    }
    keep_alive_ = message.keep_alive();
}

http_request request_reader::take()
{
    http_request request = std::move(head_);
    request.body = std::move(parser_->get().body());
    request.memory = std::move(reservation_);
    return request;
}

void request_reader::release()
{
    parser_.reset();
    reservation_.reset();
    buf_.clear();
    buf_.shrink_to_fit();
}

} // namespace endivestage::daemon
