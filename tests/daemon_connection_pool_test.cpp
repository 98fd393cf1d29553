// Idle connections to endpoints around a cut of the router's links.

#include <endivestage/serving/connection_pool.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <exception>
#include <memory>
#include <optional>

using namespace endivestage;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using connection_ptr = serving::connection_pool::connection_ptr;

namespace
{

constexpr millis idle_timeout{10000};
constexpr millis connect_timeout{5000};

class set_clock final : public clock
{
public:
    time_point now() const override { return at; }
    time_point wall_now() const override { return at; }

    time_point at{1000};
};

struct pool_fixture
{
    pool_fixture() : acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {}

    connection_ptr connect()
    {
        connection_ptr connection =
            std::make_shared<daemon::http_connection>(context.get_executor());
        std::optional<std::error_code> outcome;
        asio::co_spawn(context,
                       connection->connect({"127.0.0.1", acceptor.local_endpoint().port()},
                                           connect_timeout, connect_timeout),
                       [&](const std::exception_ptr&, std::error_code ec) { outcome = ec; });
        while (!outcome)
        {
            context.restart();
            context.run_one_for(std::chrono::milliseconds(5));
        }
        REQUIRE_FALSE(*outcome);
        accepted.push_back(acceptor.accept());
        return connection;
    }

    /// Returns a new connection to the pool at a time.
    std::weak_ptr<daemon::http_connection> release(const char* endpoint, time_point at)
    {
        time.at = at;
        connection_ptr connection = connect();
        pool.release(endpoint_id(endpoint), connection, idle_timeout);
        return connection;
    }

    asio::io_context context;
    tcp::acceptor acceptor;
    std::vector<tcp::socket> accepted;
    set_clock time;
    serving::connection_pool pool{time};
};

} // namespace

// Guards against requests on connections that a cut has silenced, which end only at their timeout.
TEST_CASE("connections that were idle since before a cut are closed and later ones are kept")
{
    pool_fixture f;
    const std::weak_ptr<daemon::http_connection> before = f.release("e1", {1000});
    const std::weak_ptr<daemon::http_connection> at_cut = f.release("e1", {2000});
    const std::weak_ptr<daemon::http_connection> after = f.release("e1", {2500});
    const std::weak_ptr<daemon::http_connection> other = f.release("e2", {1999});
    REQUIRE(f.pool.size() == 4);
    f.pool.close_idle_before({2000});
    REQUIRE(f.pool.size() == 2);
    REQUIRE(before.expired());
    REQUIRE(other.expired());
    REQUIRE_FALSE(at_cut.expired());
    REQUIRE(f.pool.acquire(endpoint_id("e1"), idle_timeout) == after.lock());
    REQUIRE(f.pool.acquire(endpoint_id("e1"), idle_timeout) == at_cut.lock());
    REQUIRE_FALSE(f.pool.acquire(endpoint_id("e2"), idle_timeout));
}

// Guards against routers that are cut off and take a connection from before for one that lives on.
TEST_CASE("only a connection that was used since a cut counts as one that lives on")
{
    pool_fixture f;
    const endpoint_id id("e1");
    REQUIRE_FALSE(f.pool.has_idle_since(id, {0}));
    f.release("e1", {1000});
    REQUIRE(f.pool.has_idle_since(id, {1000}));
    REQUIRE_FALSE(f.pool.has_idle_since(id, {1001}));
    REQUIRE_FALSE(f.pool.has_idle_since(endpoint_id("e2"), {0}));
    f.release("e1", {2000});
    REQUIRE(f.pool.has_idle_since(id, {2000}));
    REQUIRE(f.pool.acquire(id, idle_timeout));
    REQUIRE_FALSE(f.pool.has_idle_since(id, {2000}));
    REQUIRE(f.pool.has_idle_since(id, {1000}));
    f.pool.close_idle_before({1001});
    REQUIRE_FALSE(f.pool.has_idle_since(id, {0}));
}
