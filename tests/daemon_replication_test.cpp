// The replication service with a mock of the table service.

#include <endivestage/daemon/http_server.hpp>
#include <endivestage/daemon/process_clock.hpp>
#include <endivestage/serving/replication_service.hpp>
#include <standin/platform_engine.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <set>

using namespace endivestage;
using namespace endivestage::serving;

namespace
{

constexpr millis response_time{2};

/// How the table service of a test answers after the first list of a table.
enum class feed_fault
{
    endpoints_refused, ///< Calls for the endpoints' table are refused.
    history_lost,      ///< Every feed lacks the history; lists have nothing new.
    older_list,        ///< The same, with lists of an older copy.
    early,             ///< Feeds answer at once with nothing new.
    same_rows,         ///< The same, with a higher revision and a row that the copy has.
    rising_era,        ///< Every answer belongs to a later era.
};

/// A table service whose feeds fail.
class failing_feed final : public table_client
{
public:
    failing_feed(boost::asio::io_context& context, feed_fault fault)
        : context_(context),
          fault_(fault)
    {
    }

    daemon::awaitable<result<timestamped_batch>> list(shared_table table) override
    {
        ++lists;
        timestamped_batch response;
        const bool again = !listed_.insert(table).second;
        response.batch.revision = again && fault_ == feed_fault::older_list ? 1 : 2;
        response.batch.complete = true;
        response.batch.era = fault_ == feed_fault::rising_era ? ++era_ : 0;
        return respond(std::move(response), response_time);
    }

    daemon::awaitable<result<timestamped_batch>>
    fetch_changes(shared_table table, std::uint64_t revision, millis max_wait) override
    {
        ++feeds;
        if (fault_ == feed_fault::history_lost || fault_ == feed_fault::older_list)
        {
            return respond(make_error_code(errc::stale_view), response_time);
        }
        if (fault_ == feed_fault::endpoints_refused && table == shared_table::endpoints)
        {
            return respond(make_error_code(errc::overloaded), response_time);
        }
        timestamped_batch response;
        response.batch.revision = revision;
        bool early = fault_ == feed_fault::early;
        if (fault_ == feed_fault::same_rows)
        {
            response.batch.revision = revision + 1;
            response.batch.rows = {{"known", "data", 1, false}};
            early = true;
        }
        if (fault_ == feed_fault::rising_era)
        {
            response.batch.era = ++era_;
            early = true;
        }
        return respond(std::move(response), early ? response_time : response_time + max_wait);
    }

    daemon::awaitable<std::error_code> write(shared_table, std::string, std::string) override
    {
        co_return std::error_code{};
    }

    daemon::awaitable<std::error_code> erase(shared_table, std::string) override
    {
        co_return std::error_code{};
    }

    daemon::awaitable<std::error_code> write_rollout(rollout_write) override
    {
        co_return std::error_code{};
    }

    int feeds = 0;
    int lists = 0;

private:
    daemon::awaitable<result<timestamped_batch>> respond(result<timestamped_batch> response,
                                                         millis after)
    {
        boost::asio::steady_timer timer(context_, std::chrono::milliseconds(after.count));
        boost::system::error_code ec;
        co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
        if (response)
        {
            response->timestamp = daemon::process_clock().now();
        }
        co_return response;
    }

    boost::asio::io_context& context_;
    feed_fault fault_;
    std::set<shared_table> listed_;
    std::uint64_t era_ = 0;
};

/// \returns Two routers, of which \p self does not poll the table service for the other.
std::vector<relay_peer> make_pair(const router_id& self, std::uint16_t relay_port)
{
    relay_peer own;
    own.candidate = {self, zone_id("zone-a"), 0.1};
    relay_peer other;
    other.candidate = {router_id("other"), zone_id("zone-a"), 1.0};
    other.address = {"127.0.0.1", relay_port};
    return {own, other};
}

/// \returns Callbacks of a router that serves nothing, beside one relay.
replication_callbacks make_callbacks(const router_id& self, std::uint16_t relay_port)
{
    replication_callbacks callbacks;
    callbacks.on_rows_changed = [](shared_table, std::span<const replicated_row>,
                                   std::optional<time_point>) {
    };
    callbacks.on_current = [](time_point) {
    };
    callbacks.on_updated = [] {
    };
    callbacks.open_requests = []
    {
        return std::vector<engine_requests>{};
    };
    callbacks.on_fleet_loads = [](const load_changes&) {
    };
    callbacks.failing_endpoints = callbacks.open_requests;
    callbacks.on_fleet_failures = callbacks.on_fleet_loads;
    callbacks.send_to_relay = [](const router_id&, sum_kind, std::span<const engine_requests>) {
    };
    callbacks.live_routers = [self, relay_port]
    {
        return make_pair(self, relay_port);
    };
    callbacks.registered_routers = callbacks.live_routers;
    return callbacks;
}

change_batch make_registrations()
{
    change_batch routers;
    routers.revision = 1;
    routers.complete = true;
    return routers;
}

constexpr std::uint16_t unused_port = 1;

} // namespace

// Load: each router of a fleet refreshes its copies. Guards against calls without a pause where the
// table service answers for one table and refuses calls for the other.
TEST_CASE("a refresh that fails for one table is not repeated at once")
{
    boost::asio::io_context context{1};
    const daemon::process_clock time;
    failing_feed tables(context, feed_fault::endpoints_refused);
    const router_id self("self");
    replication_service service(context, time, tables, self,
                                source_choice({}, self, zone_id("zone-a")),
                                make_callbacks(self, unused_port));
    service.start(make_registrations(), false);
    context.run_for(std::chrono::milliseconds(5000));
    REQUIRE(service.is_complete());
    REQUIRE(tables.feeds > 2);
    REQUIRE(tables.feeds < 60);
}

// Load: the router that polls the table service for a fleet. Guards against calls without a pause
// where every answer is sound and none tells anything new.
TEST_CASE("answers that make no progress are followed by a pause")
{
    const feed_fault fault =
        GENERATE(feed_fault::history_lost, feed_fault::older_list, feed_fault::early,
                 feed_fault::same_rows, feed_fault::rising_era);
    CAPTURE(static_cast<int>(fault));
    boost::asio::io_context context{1};
    const daemon::process_clock time;
    failing_feed tables(context, fault);
    const router_id self("self");
    replication_service service(context, time, tables, self,
                                source_choice({}, self, zone_id("zone-a")),
                                make_callbacks(self, unused_port));
    service.start(make_registrations(), false);
    context.run_for(std::chrono::milliseconds(5000));
    REQUIRE(service.is_complete());
    REQUIRE(tables.feeds > 2);
    REQUIRE(tables.feeds < 90);
    REQUIRE(tables.lists < 90);
}

// Guards against two followers that a relay takes for one, because their names are cut at a
// character that is reserved in a URL: the loads that they report replace each other.
TEST_CASE("a follower tells a relay its whole name")
{
    const std::string name = "edge&zone=a 1";
    boost::asio::io_context context{1};
    std::string told;
    daemon::http_server relay(context, {},
                              [&](daemon::http_request request,
                                  daemon::response_writer& writer) -> daemon::awaitable<void>
                              {
                                  daemon::http_target target;
                                  if (daemon::parse_target(request.target, target))
                                  {
                                      told = target.parameter("router");
                                  }
                                  writer.abort();
                                  context.stop();
                                  co_return;
                              });
    REQUIRE_FALSE(relay.listen({"127.0.0.1", 0}));
    const daemon::process_clock time;
    failing_feed tables(context, feed_fault::endpoints_refused);
    const router_id self(name);
    replication_service service(context, time, tables, self,
                                source_choice({}, self, zone_id("zone-a")),
                                make_callbacks(self, relay.port()));
    service.start(make_registrations(), false);
    context.run_for(std::chrono::milliseconds(5000));
    REQUIRE(told == name);
}

namespace
{

/// A table service that a cut router does not reach for a while. The first feed of endpoints after
/// that tells that an endpoint has left.
class cut_service final : public table_client
{
public:
    explicit cut_service(boost::asio::io_context& context) : context_(context) {}

    bool cut = false;
    int feeds = 0;

    daemon::awaitable<result<timestamped_batch>> list(shared_table table) override
    {
        timestamped_batch response;
        response.batch.revision = 2;
        response.batch.complete = true;
        if (table == shared_table::endpoints)
        {
            response.batch.rows = {{"e1", "ready", 2, false}};
        }
        return respond(std::move(response), response_time);
    }

    daemon::awaitable<result<timestamped_batch>>
    fetch_changes(shared_table table, std::uint64_t revision, millis max_wait) override
    {
        ++feeds;
        timestamped_batch response;
        response.batch.revision = revision;
        const bool removed = table == shared_table::endpoints && was_cut_ && !cut && revision < 3;
        if (removed)
        {
            response.batch.revision = 3;
            response.batch.rows = {{"e1", {}, 3, true}};
        }
        return respond(std::move(response), removed ? response_time : max_wait);
    }

    daemon::awaitable<std::error_code> write(shared_table, std::string, std::string) override
    {
        co_return std::error_code{};
    }

    daemon::awaitable<std::error_code> erase(shared_table, std::string) override
    {
        co_return std::error_code{};
    }

    daemon::awaitable<std::error_code> write_rollout(rollout_write) override
    {
        co_return std::error_code{};
    }

private:
    daemon::awaitable<result<timestamped_batch>> respond(timestamped_batch response, millis after)
    {
        boost::asio::steady_timer timer(context_, std::chrono::milliseconds(after.count));
        boost::system::error_code ec;
        co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
        if (cut)
        {
            was_cut_ = true;
            co_return make_error_code(errc::store_unavailable);
        }
        response.timestamp = daemon::process_clock().now();
        co_return response;
    }

    boost::asio::io_context& context_;
    bool was_cut_ = false;
};

/// The answer of a relay whose copies are current and that knows of no changes.
standin::engine_reply answer_as_relay(const daemon::http_request&)
{
    const std::string body = R"({"tables":[],"age_ms":5,"endpoints_age_ms":5})";
    standin::engine_reply reply;
    reply.pieces.push_back("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                           "\r\n\r\n" + body);
    return reply;
}

} // namespace

// Guards against requests to endpoints that have left: the primary relay lost its own path to the
// table service, followed another relay meanwhile, and on its return took the cut for an outage of
// the service, so that the whole fleet kept the endpoints whose records went then.
TEST_CASE("a router that was cut off from the table service alone reports no outage")
{
    boost::asio::io_context context{1};
    standin::platform_engine relay(context, &answer_as_relay);
    REQUIRE_FALSE(relay.start());
    const daemon::process_clock time;
    cut_service tables(context);
    const router_id self("self");
    replication_callbacks callbacks = make_callbacks(self, relay.port());
    callbacks.live_routers = [self, port = relay.port()]
    {
        std::vector<relay_peer> routers = make_pair(self, port);
        routers.front().candidate.weight = 2.0; // Polls the table service while it can.
        return routers;
    };
    callbacks.registered_routers = callbacks.live_routers;
    std::vector<bool> removals;
    callbacks.on_rows_changed = [&](shared_table, std::span<const replicated_row> rows,
                                    std::optional<time_point> rewritten_by)
    {
        if (rows.front().deleted)
        {
            removals.push_back(rewritten_by.has_value());
            context.stop();
        }
    };
    replication_service service(context, time, tables, self,
                                source_choice({}, self, zone_id("zone-a")), std::move(callbacks));
    service.start(make_registrations(), false);
    context.run_for(std::chrono::milliseconds(3000));
    REQUIRE(service.is_primary());
    tables.cut = true;
    context.run_for(std::chrono::milliseconds(2500));
    REQUIRE_FALSE(service.is_primary());
    tables.cut = false;
    context.run_for(std::chrono::milliseconds(6000));
    REQUIRE(removals == std::vector<bool>{false});
}

// Load: each router of a fleet after a short silence of the table service, while no relay answers.
// Guards against refreshes without a pause: every one succeeds, and the source stays the same.
TEST_CASE("a router without a relay refreshes its copies with a pause")
{
    boost::asio::io_context context{1};
    const daemon::process_clock time;
    cut_service tables(context);
    const router_id self("self");
    replication_service service(context, time, tables, self,
                                source_choice({}, self, zone_id("zone-a")),
                                make_callbacks(self, unused_port));
    service.start(make_registrations(), false);
    context.run_for(std::chrono::milliseconds(2500));
    REQUIRE(service.is_complete());
    tables.cut = true;
    context.run_for(std::chrono::milliseconds(2500));
    tables.cut = false;
    const int before = tables.feeds;
    context.run_for(std::chrono::milliseconds(2500));
    REQUIRE(tables.feeds > before);
    REQUIRE(tables.feeds - before < 40);
}
