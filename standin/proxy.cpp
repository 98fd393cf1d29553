#include "standin.hpp"

#include <standin/fault_proxy.hpp>

#include <utility>

namespace endivestage::standin
{

namespace json = boost::json;

namespace
{

http_response control(fault_proxy& proxy, const http_request& request)
{
    const std::string mode = text_or_empty(parse_object(request.body), "mode");
    proxy.set_fault(mode == "refuse" ? link_fault::refuse : link_fault::none);
    if (mode == "cut")
    {
        proxy.close_connections();
    }
    if (mode == "silent")
    {
        proxy.silence_connections();
    }
    return json_response(json::object{{"connections", proxy.connection_count()}});
}

} // namespace

int run_proxy(const proxy_options& options)
{
    boost::asio::io_context context(1);
    fault_proxy proxy(context, options.target);
    if (proxy.start(options.listen))
    {
        return 1;
    }
    http_server server(context, {},
                       [&proxy](http_request request, response_writer& writer) -> awaitable<void>
                       { co_await writer.send(control(proxy, request)); });
    return serve(context, server, options.control);
}

} // namespace endivestage::standin
