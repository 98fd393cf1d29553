#include <standin/text_response.hpp>

#include <utility>

namespace endivestage::standin
{

daemon::awaitable<void> send_text(daemon::response_writer& writer, std::string text)
{
    daemon::http_response response;
    response.status = 200;
    response.body = std::move(text);
    co_await writer.send(std::move(response));
}

} // namespace endivestage::standin
