#include <endivestage/serving/replication_service.hpp>

#include <endivestage/daemon/json_access.hpp>
#include <endivestage/daemon/logging.hpp>
#include <endivestage/daemon/sleep.hpp>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <chrono>
#include <utility>
#include <zlib.h>

namespace endivestage::serving
{

namespace asio = boost::asio;
namespace json = boost::json;
using daemon::awaitable;
using daemon::http_request;
using daemon::http_response;
using daemon::log_event;
using daemon::log_level;

namespace
{

/// Bounds the age of the operator's table at a relay; two such waits stay below
/// source_choice_config::stale_after.
constexpr millis operations_wait{600};
constexpr millis endpoints_wait{3000};
constexpr millis routers_wait{10000};
/// Records of endpoints change often; a pause lets several changes share one call. It adds to the
/// time after which a leaving endpoint gets nothing, which is two seconds.
constexpr millis endpoints_pause{350};
constexpr millis relay_wait{250};
constexpr millis relay_timeout{600};
constexpr millis relay_silence{600};
/// Pause after the table service failed, and the most that repeated failures lengthen it to.
constexpr millis first_retry{120};
constexpr millis longest_retry{500};
/// Failures in a row after which a router asks its peers instead.
constexpr std::int64_t failures_to_give_up = 2;
/// Without an answer for this long the service was away, and records may have lapsed meanwhile.
constexpr millis outage_after{2500};
/// Records that lapsed during an outage are written again within this time.
constexpr millis settling_time{2500};
constexpr millis idle_poll{50};
/// Relays tell each other the loads of their followers so often; about as often as routers ask.
constexpr millis share_period{200};
/// Smaller answers fit into one packet as they are.
constexpr std::size_t least_compressed_bytes = 1200;
constexpr const char* unpacked_size_field = "Unpacked-Size";
constexpr std::size_t relay_answer_limit = 16UL * 1024 * 1024;

millis wait_of(shared_table table)
{
    switch (table)
    {
    case shared_table::operations:
        return operations_wait;
    case shared_table::endpoints:
        return endpoints_wait;
    case shared_table::routers:
        break;
    }
    return routers_wait;
}

std::uint64_t parse_revision(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

json::object encode_batch(shared_table table, const change_batch& batch, bool settling)
{
    json::array rows;
    for (const replicated_row& row : batch.rows)
    {
        json::object entry;
        entry["key"] = row.key;
        entry["revision"] = row.revision;
        if (row.deleted)
        {
            entry["deleted"] = true;
        }
        else
        {
            entry["data"] = row.data;
        }
        rows.push_back(std::move(entry));
    }
    json::object encoded;
    encoded["table"] = to_string(table);
    encoded["revision"] = batch.revision;
    encoded["complete"] = batch.complete;
    encoded["settling"] = settling;
    encoded["rows"] = std::move(rows);
    return encoded;
}

/// A configuration is tens of kilobytes of repetitive text, sent to every router at each change.
void compress(http_response& answer)
{
    if (answer.body.size() < least_compressed_bytes)
    {
        return;
    }
    uLongf size = compressBound(answer.body.size());
    std::string packed(size, '\0');
    const int outcome = compress2(reinterpret_cast<Bytef*>(packed.data()), &size,
                                  reinterpret_cast<const Bytef*>(answer.body.data()),
                                  answer.body.size(), Z_BEST_SPEED);
    if (outcome == Z_OK)
    {
        answer.fields.emplace_back("Content-Encoding", "deflate");
        answer.fields.emplace_back(unpacked_size_field, std::to_string(answer.body.size()));
        packed.resize(size);
        answer.body = std::move(packed);
    }
}

/// \returns The answer's body as it was before \ref compress, or errc::invalid_request.
result<std::string> decompress(const http_response& head, std::string body)
{
    if (daemon::find_field(head.fields, "Content-Encoding") != "deflate")
    {
        return body;
    }
    uLongf size = parse_revision(daemon::find_field(head.fields, unpacked_size_field));
    if (size > relay_answer_limit)
    {
        return make_error_code(errc::too_large);
    }
    std::string unpacked(size, '\0');
    const int outcome = uncompress(reinterpret_cast<Bytef*>(unpacked.data()), &size,
                                   reinterpret_cast<const Bytef*>(body.data()), body.size());
    if (outcome != Z_OK || size != unpacked.size())
    {
        return make_error_code(errc::invalid_request);
    }
    return unpacked;
}

json::array encode_loads(std::span<const engine_requests> loads)
{
    json::array encoded;
    for (const engine_requests& part : loads)
    {
        encoded.emplace_back(json::array{part.engine, part.requests});
    }
    return encoded;
}

std::vector<engine_requests> decode_loads(const json::array& encoded)
{
    std::vector<engine_requests> loads;
    for (const json::value& pair : encoded)
    {
        if (!pair.is_array() || pair.get_array().size() != 2)
        {
            continue;
        }
        boost::system::error_code ec;
        engine_requests part;
        part.engine = pair.get_array()[0].to_number<std::uint64_t>(ec);
        if (!ec)
        {
            part.requests = pair.get_array()[1].to_number<std::uint32_t>(ec);
        }
        if (!ec)
        {
            loads.push_back(part);
        }
    }
    return loads;
}

change_batch decode_batch(const json::object& encoded)
{
    change_batch batch;
    batch.revision = daemon::get_unsigned(encoded, "revision");
    batch.complete = daemon::get_flag(encoded, "complete");
    for (const json::value& entry : daemon::get_array(encoded, "rows"))
    {
        if (!entry.is_object())
        {
            continue;
        }
        replicated_row row;
        row.key = daemon::get_text(entry.get_object(), "key");
        row.data = daemon::get_text(entry.get_object(), "data");
        row.revision = daemon::get_unsigned(entry.get_object(), "revision");
        row.deleted = daemon::get_flag(entry.get_object(), "deleted");
        batch.rows.push_back(std::move(row));
    }
    return batch;
}

} // namespace

std::string_view to_string(shared_table table)
{
    switch (table)
    {
    case shared_table::operations:
        return "operations";
    case shared_table::endpoints:
        return "endpoints";
    case shared_table::routers:
        break;
    }
    return "routers";
}

replication_service::replication_service(asio::io_context& context, const clock& time,
                                         table_client& source, router_id self, source_choice choice,
                                         replication_callbacks callbacks)
    : self_(std::move(self)),
      context_(context),
      time_(time),
      service_(source),
      choice_(std::move(choice)),
      callbacks_(std::move(callbacks))
{
    for (const shared_table table : shared_tables)
    {
        replicas_.emplace(table, table_replica{});
        services_.emplace(table, service_state{});
    }
}

void replication_service::start(const change_batch& routers)
{
    apply(shared_table::routers, routers, false);
    for (const shared_table table : shared_tables)
    {
        asio::co_spawn(context_, follow_service(table), asio::detached);
    }
    asio::co_spawn(context_, follow_relays(), asio::detached);
    asio::co_spawn(context_, share_loads(), asio::detached);
}

bool replication_service::is_complete() const
{
    return std::all_of(shared_tables.begin(), shared_tables.end(),
                       [this](shared_table table)
                       { return replicas_.at(table).revision().has_value(); });
}

std::optional<millis> replication_service::age() const
{
    return freshness_.age(time_.now());
}

awaitable<void> replication_service::wait_for_change(millis time)
{
    asio::steady_timer timer(context_, std::chrono::milliseconds(time.count));
    waiters_.insert(&timer);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    waiters_.erase(&timer);
}

void replication_service::renew(time_point instant)
{
    freshness_.renew(instant);
    callbacks_.on_current(instant);
}

bool replication_service::settling(shared_table table) const
{
    return time_.now() < services_.at(table).settled_at;
}

void replication_service::apply(shared_table table, const change_batch& batch, bool settling)
{
    const std::vector<replicated_row> changed = replicas_.at(table).apply(batch);
    if (changed.empty())
    {
        return;
    }
    callbacks_.on_rows_changed(table, changed, settling);
    for (asio::steady_timer* waiter : waiters_)
    {
        waiter->cancel();
    }
}

void replication_service::note_service(shared_table table, std::error_code ec)
{
    service_state& state = services_.at(table);
    const time_point now = time_.now();
    if (ec)
    {
        ++state.failures;
        if (state.reached)
        {
            state.reached = false;
            log_event(log_level::warning, "table_service_lost", {{"table", to_string(table)}, ec});
        }
        return;
    }
    if (!state.reached)
    {
        if (state.last_success >= time_point{0} && now - state.last_success > outage_after)
        {
            state.settled_at = now + settling_time;
        }
        log_event(log_level::info, "table_service_reached",
                  {{"table", to_string(table)}, {"failures", state.failures}});
    }
    state.reached = true;
    state.failures = 0;
    state.last_success = now;
}

awaitable<millis> replication_service::poll_service(shared_table table, millis wait)
{
    const std::optional<std::uint64_t> known = replicas_.at(table).revision();
    const time_point sent = time_.now();
    ++store_calls_;
    result<timestamped_batch> answer = make_error_code(errc::stale_view);
    // After an outage a list shows at once what a feed would tell row by row.
    if (known)
    {
        answer = co_await service_.fetch_changes(table, *known, wait);
    }
    if (!answer && answer.error() == errc::stale_view)
    {
        answer = co_await service_.list(table);
    }
    note_service(table, answer ? std::error_code{} : answer.error());
    if (!answer)
    {
        const std::int64_t failures = services_.at(table).failures;
        if (table == shared_table::operations && failures >= failures_to_give_up)
        {
            choice_.record_failure(self_, time_.now());
        }
        co_return std::min(longest_retry, first_retry * std::min<std::int64_t>(failures, 8));
    }
    service_clock_.observe(sent, answer->timestamp);
    const bool older = known && answer->batch.revision < *known;
    const bool changed = !answer->batch.rows.empty();
    apply(table, answer->batch, settling(table));
    if (table == shared_table::operations && !older)
    {
        renew(std::max(sent, service_clock_.earliest_local(answer->timestamp).value_or(sent)));
    }
    callbacks_.on_updated();
    co_return table == shared_table::endpoints&& changed ? endpoints_pause : millis{0};
}

awaitable<void> replication_service::follow_service(shared_table table)
{
    for (;;)
    {
        millis pause = idle_poll;
        if (relaying_ || !replicas_.at(table).revision())
        {
            pause = co_await poll_service(table, wait_of(table));
        }
        if (pause > millis{0})
        {
            co_await daemon::sleep_for(pause);
        }
    }
}

void replication_service::note_source(const change_source& source)
{
    const bool relaying = source.type == change_source::kind::service;
    if (relaying != relaying_ || source.relay != source_)
    {
        log_event(
            log_level::info, "source_changed",
            {{"source", source.relay.empty() ? std::string("table_service") : source.relay.str()},
             {"relaying", relaying},
             {"age_ms", age().value_or(millis{-1})}});
    }
    relaying_ = relaying;
    source_ = source.relay;
}

awaitable<void> replication_service::refresh()
{
    const millis pause = co_await poll_service(shared_table::operations, millis{0});
    if (services_.at(shared_table::operations).reached)
    {
        co_await poll_service(shared_table::endpoints, millis{0});
    }
    else
    {
        choice_.record_failure(self_, time_.now());
        co_await daemon::sleep_for(pause);
    }
}

std::vector<relay_candidate> replication_service::candidates() const
{
    std::vector<relay_candidate> found;
    for (const relay_peer& relay : callbacks_.live_routers())
    {
        found.push_back(relay.candidate);
    }
    return found;
}

awaitable<void> replication_service::share_loads()
{
    for (;;)
    {
        co_await daemon::sleep_for(share_period);
        if (!relaying_)
        {
            continue;
        }
        const time_point now = time_.now();
        board_.apply_router_report(hash64(self_.view()), callbacks_.open_requests(), now);
        const std::vector<engine_requests> group = board_.follower_loads(now);
        for (const router_id& relay : choice_.choose_relays(candidates(), now))
        {
            if (relay != self_)
            {
                callbacks_.send_to_relay(relay, group);
            }
        }
        callbacks_.on_fleet_loads(board_.changes_since(0, now));
    }
}

void replication_service::record_group_loads(std::uint64_t relay,
                                             std::span<const engine_requests> loads)
{
    board_.apply_relay_report(relay, loads, time_.now());
}

awaitable<void> replication_service::follow_relays()
{
    for (;;)
    {
        const std::vector<relay_peer> live = callbacks_.live_routers();
        const change_source source = choice_.choose(candidates(), age(), time_.now());
        if (!is_complete())
        {
            co_await daemon::sleep_for(idle_poll);
            continue;
        }
        note_source(source);
        if (source.type == change_source::kind::service)
        {
            co_await daemon::sleep_for(idle_poll * 2);
            continue;
        }
        if (source.type == change_source::kind::refresh)
        {
            co_await refresh();
            continue;
        }
        const auto it = std::find_if(live.begin(), live.end(),
                                     [&](const relay_peer& relay)
                                     { return relay.candidate.id == source.relay; });
        relay_peer chosen = *it;
        co_await ask_relay(std::move(chosen));
    }
}

awaitable<void> replication_service::ask_relay(relay_peer relay)
{
    if (relay_id_ != relay.candidate.id || !relay_ || !relay_->reusable())
    {
        relay_ = std::make_shared<daemon::http_connection>(context_.get_executor());
        relay_id_ = relay.candidate.id;
        loads_seen_ = 0; // Numbers of another relay's board mean nothing to this one.
        const std::error_code ec =
            co_await relay_->connect(relay.address, relay_timeout, relay_silence);
        if (ec)
        {
            choice_.record_failure(relay.candidate.id, time_.now());
            log_event(log_level::info, "relay_failed", {{"router", relay.candidate.id}, ec});
            relay_.reset();
            co_return;
        }
    }
    http_request request;
    request.target = "/v1/tables?wait_ms=" + std::to_string(relay_wait.count);
    for (const shared_table table : shared_tables)
    {
        request.target += "&" + std::string(to_string(table)) + "=" +
                          std::to_string(replicas_.at(table).revision().value_or(0));
    }
    request.target += "&loads=" + std::to_string(loads_seen_);
    request.method = "POST";
    request.target += "&router=" + self_.str();
    request.body = json::serialize(encode_loads(callbacks_.open_requests()));
    request.fields.emplace_back("Host", daemon::to_string(relay.address));
    const time_point asked = time_.now();
    relay_->send(std::move(request));
    result<http_response> head = co_await relay_->read_head(relay_timeout);
    std::error_code ec = head ? std::error_code{} : head.error();
    if (!ec && head->status == 200)
    {
        result<std::string> body =
            co_await daemon::read_body(*relay_, relay_timeout, relay_answer_limit);
        if (body)
        {
            body = decompress(*head, std::move(*body));
        }
        ec = body ? take_peer_answer(*body, asked) : body.error();
    }
    else if (!ec)
    {
        ec = make_error_code(errc::peer_unavailable);
    }
    if (ec)
    {
        choice_.record_failure(relay.candidate.id, time_.now());
        log_event(log_level::info, "relay_failed", {{"router", relay.candidate.id}, ec});
        relay_.reset();
    }
}

std::error_code replication_service::take_peer_answer(std::string_view body, time_point asked)
{
    result<json::object> answer = daemon::parse_json_object(body);
    if (!answer)
    {
        return answer.error();
    }
    for (const json::value& entry : daemon::get_array(*answer, "tables"))
    {
        if (!entry.is_object())
        {
            return make_error_code(errc::invalid_request);
        }
        const json::object& encoded = entry.get_object();
        const std::string name = daemon::get_text(encoded, "table");
        for (const shared_table table : shared_tables)
        {
            if (name == to_string(table))
            {
                const change_batch batch = decode_batch(encoded);
                apply(table, batch, daemon::get_flag(encoded, "settling"));
            }
        }
    }
    load_changes changes;
    changes.loads = decode_loads(daemon::get_array(*answer, "loads"));
    changes.complete = daemon::get_flag(*answer, "loads_complete");
    loads_seen_ = daemon::get_unsigned(*answer, "loads_up_to");
    callbacks_.on_fleet_loads(changes);
    const std::int64_t age_ms = daemon::get_number(*answer, "age_ms", -1);
    if (age_ms < 0 || choice_.is_relay_stale(millis{age_ms}))
    {
        return make_error_code(errc::stale_view);
    }
    // The relay stated the age after it was asked, so this is no later than the true instant.
    renew(asked - millis{age_ms});
    callbacks_.on_updated();
    return {};
}

awaitable<http_response> replication_service::handle_peer_request(http_request request)
{
    http_response answer;
    daemon::http_target target;
    if (!daemon::parse_target(request.target, target) || !is_complete())
    {
        answer.status = 503;
        co_return answer;
    }
    boost::system::error_code unreadable;
    const json::value posted = json::parse(request.body, unreadable);
    if (!unreadable && posted.is_array())
    {
        board_.apply_router_report(hash64(target.parameter("router")),
                                   decode_loads(posted.get_array()), time_.now());
    }
    const millis wait{static_cast<std::int64_t>(
        std::min<std::uint64_t>(parse_revision(target.parameter("wait_ms")), 1000))};
    const time_point until = time_.now() + wait;
    for (;;)
    {
        bool any = false;
        json::array tables;
        for (const shared_table table : shared_tables)
        {
            const std::uint64_t since = parse_revision(target.parameter(to_string(table)));
            const change_batch batch = replicas_.at(table).changes_since(since);
            // A table without news is left out: most answers only bear the age.
            if (batch.complete || !batch.rows.empty())
            {
                any = true;
                tables.push_back(encode_batch(table, batch, settling(table)));
            }
        }
        const time_point now = time_.now();
        if (any || now >= until)
        {
            json::object body;
            body["age_ms"] = age().value_or(millis{-1}).count;
            body["tables"] = std::move(tables);
            const load_changes loads =
                board_.changes_since(parse_revision(target.parameter("loads")), now);
            body["loads"] = encode_loads(loads.loads);
            body["loads_up_to"] = loads.last_sequence;
            body["loads_complete"] = loads.complete;
            answer.body = json::serialize(body);
            compress(answer);
            co_return answer;
        }
        co_await wait_for_change(until - now);
    }
}

} // namespace endivestage::serving
