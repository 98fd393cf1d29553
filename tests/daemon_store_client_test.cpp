// Answers of the platform's store that are large: lists in several pages, rows of other writers,
// and feeds with many changes.

#include <platform/store_client.hpp>
#include <standin/platform_store.hpp>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdio>
#include <exception>
#include <memory>
#include <optional>
#include <string>

using namespace endivestage;
namespace asio = boost::asio;

namespace
{

constexpr int rows = 600; ///< More than a page holds.
constexpr std::chrono::seconds list_timeout{5};

using batch_result = result<serving::timestamped_batch>;

/// Runs a call to its end; nothing if it does not end.
std::optional<batch_result> run(asio::io_context& context, daemon::awaitable<batch_result> call)
{
    std::optional<batch_result> outcome;
    asio::co_spawn(context, std::move(call),
                   [&](const std::exception_ptr&, batch_result batch)
                   {
                       outcome = std::move(batch);
                       context.stop();
                   });
    context.restart();
    context.run_for(list_timeout);
    return outcome;
}

std::optional<batch_result>
list_table(asio::io_context& context, const standin::platform_store& s,
           serving::shared_table table = serving::shared_table::endpoints)
{
    platform::store_client client(context.get_executor(), {"127.0.0.1", s.port()});
    return run(context, client.list(table));
}

std::string make_key(const std::string& prefix, int n)
{
    char number[8];
    std::snprintf(number, sizeof number, "%04d", n);
    return prefix + number;
}

} // namespace

// Guards against routers that read the same page again and again, and run out of memory, when the
// key at its end has characters that are reserved in a URL (review/7).
TEST_CASE("a list goes on after a key with any characters")
{
    for (const std::string& prefix :
         {std::string("job&"), std::string("job "), std::string("50%25"), std::string("a+b="),
          std::string("a#b"), std::string("/a?b;c"), std::string("\xc3\xa9\"\\"),
          std::string("\r\nX-Other: 1"), std::string("\0", 1), std::string(196, '&')})
    {
        CAPTURE(prefix);
        asio::io_context context{1};
        standin::platform_store store(context);
        REQUIRE_FALSE(store.start());
        for (int n = 0; n < rows; ++n)
        {
            store.put("servers", make_key(prefix, n), "data");
        }
        const std::optional<batch_result> listed = list_table(context, store);
        REQUIRE(listed.has_value());
        REQUIRE(listed->has_value());
        const std::vector<replicated_row>& found = (*listed)->batch.rows;
        REQUIRE(found.size() == rows);
        for (int n = 0; n < rows; ++n)
        {
            REQUIRE(found[static_cast<std::size_t>(n)].key == make_key(prefix, n));
        }
        REQUIRE(store.lists() == 2);
    }
}

// Guards against a list without end at a store whose pages do not get past the key asked for.
TEST_CASE("a list that makes no progress fails")
{
    asio::io_context context{1};
    standin::platform_store store(context);
    REQUIRE_FALSE(store.start());
    for (int n = 0; n < rows; ++n)
    {
        store.put("servers", make_key("e", n), "data");
    }
    store.faults.repeat_pages = true;
    const std::optional<batch_result> listed = list_table(context, store);
    REQUIRE(listed.has_value());
    REQUIRE(listed->has_error());
    REQUIRE(listed->error() == errc::store_unavailable);
    REQUIRE(store.lists() <= 3);
}

// Guards against routers that exceed their memory because another writer leaves many large entries
// among the records of the engines.
TEST_CASE("large rows that name no endpoint are kept without their data")
{
    constexpr std::size_t row_bytes = 65000;
    const std::string record =
        R"({"service":"pool","address":"10.0.0.1:80","zone":"zone-a","version":"v1","slots":64,)"
        R"("state":"ready","cold_left_ms":0,"sequence":1,"model_list":[")" +
        std::string(row_bytes, 'm') + "\"]}";
    asio::io_context context{1};
    standin::platform_store store(context);
    REQUIRE_FALSE(store.start());
    store.put("servers", "large", std::string(row_bytes, 'x'));
    store.put("servers", "named", record);
    store.put("servers", "small", "x");
    store.put("op", "config", std::string(row_bytes, 'x'));
    const std::optional<batch_result> listed = list_table(context, store);
    REQUIRE(listed.has_value());
    REQUIRE(listed->has_value());
    const std::vector<replicated_row>& found = (*listed)->batch.rows;
    REQUIRE(found.size() == 3);
    REQUIRE(found[0].key == "large");
    REQUIRE(found[0].data.empty());
    REQUIRE(found[1].data == record);
    REQUIRE(found[2].data == "x");
    platform::store_client client(context.get_executor(), {"127.0.0.1", store.port()});
    const std::optional<batch_result> changes =
        run(context, client.fetch_changes(serving::shared_table::endpoints, 0, millis{0}));
    REQUIRE(changes.has_value());
    REQUIRE(changes->has_value());
    REQUIRE((*changes)->batch.rows[0].data.empty());
    const std::optional<batch_result> operations =
        list_table(context, store, serving::shared_table::operations);
    REQUIRE(operations.has_value());
    REQUIRE(operations->has_value());
    REQUIRE((*operations)->batch.rows[0].data.size() == row_bytes);
}

// Guards against a copy that no longer follows the store: more changes at once than an answer may
// hold made every later poll of the feed fail.
TEST_CASE("a feed that is too large is followed by a list")
{
    asio::io_context context{1};
    standin::platform_store store(context);
    REQUIRE_FALSE(store.start());
    for (int n = 0; n < 60; ++n)
    {
        store.put("servers", make_key("e", n), std::string(65536, 'x'));
    }
    platform::store_client client(context.get_executor(), {"127.0.0.1", store.port()});
    const std::optional<batch_result> changes =
        run(context, client.fetch_changes(serving::shared_table::endpoints, 0, millis{0}));
    REQUIRE(changes.has_value());
    REQUIRE(changes->has_error());
    REQUIRE(changes->error() == errc::stale_view);
    const std::optional<batch_result> listed = list_table(context, store);
    REQUIRE(listed.has_value());
    REQUIRE(listed->has_value());
    REQUIRE((*listed)->batch.rows.size() == 60);
}

namespace
{

/// A table service with empty tables whose older connections go silent.
class silencing_service
{
public:
    explicit silencing_service(asio::io_context& context)
        : acceptor_(context, {asio::ip::address_v4::loopback(), 0})
    {
        accept();
    }

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    int connections() const { return connections_; }

    /// Connections up to this one deliver nothing more.
    int silent_up_to = 0;

private:
    struct session
    {
        asio::ip::tcp::socket socket;
        int number;
        std::array<char, 4096> request{};
        std::string answer;
    };

    void accept()
    {
        acceptor_.async_accept(
            [this](const boost::system::error_code& ec, asio::ip::tcp::socket socket)
            {
                if (!ec)
                {
                    serve(std::make_shared<session>(session{std::move(socket), ++connections_}));
                    accept();
                }
            });
    }

    void serve(const std::shared_ptr<session>& peer)
    {
        const std::string body = R"({"rows":[],"has_more":false,"row_version":1,"now_ms":1})";
        peer->answer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body;
        peer->socket.async_read_some(asio::buffer(peer->request),
                                     [this, peer](const boost::system::error_code& ec, std::size_t)
                                     {
                                         if (!ec)
                                         {
                                             respond(peer);
                                         }
                                     });
    }

    void respond(const std::shared_ptr<session>& peer)
    {
        if (peer->number <= silent_up_to)
        {
            serve(peer);
            return;
        }
        asio::async_write(peer->socket, asio::buffer(peer->answer),
                          [this, peer](const boost::system::error_code& ec, std::size_t)
                          {
                              if (!ec)
                              {
                                  serve(peer);
                              }
                          });
    }

    asio::ip::tcp::acceptor acceptor_;
    int connections_ = 0;
};

} // namespace

// Guards against copies that grow too old after open connections have gone silent: each call used
// up its time on another one of them.
TEST_CASE("a call after one that was lost uses a new connection")
{
    asio::io_context context{1};
    silencing_service service(context);
    platform::store_client client(context.get_executor(), {"127.0.0.1", service.port()});
    constexpr int calls = 3;
    int answered = 0;
    for (int n = 0; n < calls; ++n)
    {
        asio::co_spawn(context, client.list(serving::shared_table::endpoints),
                       [&](const std::exception_ptr&, const batch_result& batch)
                       {
                           answered += batch ? 1 : 0;
                           if (answered == calls)
                           {
                               context.stop();
                           }
                       });
    }
    context.run_for(list_timeout);
    REQUIRE(answered == calls);
    REQUIRE(service.connections() == calls);
    service.silent_up_to = calls;
    const std::optional<batch_result> lost =
        run(context, client.list(serving::shared_table::endpoints));
    REQUIRE(lost);
    REQUIRE_FALSE(lost->has_value());
    const std::optional<batch_result> next =
        run(context, client.list(serving::shared_table::endpoints));
    REQUIRE(next);
    REQUIRE(next->has_value());
}
