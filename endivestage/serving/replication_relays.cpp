#include <endivestage/serving/replication_service.hpp>

#include <endivestage/daemon/json_access.hpp>
#include <endivestage/daemon/logging.hpp>
#include <endivestage/serving/change_encoding.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace endivestage::serving
{

namespace json = boost::json;
using daemon::awaitable;
using daemon::http_request;
using daemon::http_response;
using daemon::log_event;
using daemon::log_level;

namespace
{

constexpr millis relay_poll_wait{250};
/// Age that a follower states whose copies are not known to have been current.
constexpr millis unknown_age{60000};
constexpr millis relay_timeout{600};
/// All rows of a table are tens of kilobytes, on links of 10 Mbit/s and more.
constexpr millis relay_body_timeout{1200};
constexpr millis relay_unacknowledged_timeout{600};
constexpr std::size_t max_relay_response_bytes = 16UL * 1024 * 1024;
std::uint64_t parse_revision(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

/// \returns The name of the parameter or member with the era of a copy.
std::string era_name(shared_table table)
{
    return std::string(to_string(table)) + "_era";
}

/// \returns The position of a follower's copy.
table_position parse_position(const daemon::http_target& target, shared_table table)
{
    return {parse_revision(target.parameter(to_string(table))),
            parse_revision(target.parameter(era_name(table)))};
}

json::array encode_loads(std::span<const engine_requests> loads)
{
    json::array encoded;
    for (const engine_requests& load : loads)
    {
        encoded.emplace_back(json::array{load.engine, load.requests});
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
        engine_requests load;
        load.engine = pair.get_array()[0].to_number<std::uint64_t>(ec);
        if (!ec)
        {
            load.requests = pair.get_array()[1].to_number<std::uint32_t>(ec);
        }
        if (!ec)
        {
            loads.push_back(load);
        }
    }
    return loads;
}

/// A router whose list is longer has no failing endpoints but a bad link.
constexpr std::size_t max_failing_endpoints = 32;

std::string join_engines(std::span<const engine_requests> engines)
{
    std::string text;
    for (const engine_requests& engine :
         engines.first(std::min(engines.size(), max_failing_endpoints)))
    {
        text += (text.empty() ? "" : ",") + std::to_string(engine.engine);
    }
    return text;
}

/// \returns The engines of a list, with 1 each; a list that cannot be read is empty.
std::vector<engine_requests> split_engines(std::string_view text)
{
    std::vector<engine_requests> engines;
    while (!text.empty() && engines.size() < max_failing_endpoints)
    {
        const std::size_t end = std::min(text.find(','), text.size());
        const std::uint64_t engine = parse_revision(text.substr(0, end));
        // A router counts once, however often it names an endpoint.
        const bool listed =
            std::any_of(engines.begin(), engines.end(),
                        [&](const engine_requests& other) { return other.engine == engine; });
        if (engine != 0 && !listed)
        {
            engines.push_back({engine, 1});
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return engines;
}

/// Appends the report as the last element of the array of loads. A relay of an earlier release
/// skips an element that is no load.
bool append_rollout_report(rollout_exchange* rollouts, std::string& loads)
{
    const std::string report = rollouts != nullptr ? rollouts->pending_report() : std::string();
    if (report.empty())
    {
        return false;
    }
    loads.pop_back();
    loads += (loads.size() > 1 ? "," : "") + report + "]";
    return true;
}

} // namespace

void replication_service::apply_follower_failures(const daemon::http_target& target)
{
    // Followers of an earlier release name none.
    if (!target.parameter("failures").empty())
    {
        failure_aggregator_.apply_router_report(hash64(target.parameter("router")),
                                                split_engines(target.parameter("failing")),
                                                time_.now());
    }
}

void replication_service::exchange_failures(std::span<const router_id> relays, time_point now)
{
    failure_aggregator_.apply_router_report(hash64(self_.view()), callbacks_.failing_endpoints(),
                                            now);
    const std::vector<engine_requests> sums = failure_aggregator_.follower_loads(now);
    for (const router_id& relay : relays)
    {
        // An empty report must replace the last one, but costs bytes only once there was one.
        if (relay != self_ && (!sums.empty() || sent_failures_))
        {
            callbacks_.send_to_relay(relay, sum_kind::failures, sums);
        }
    }
    sent_failures_ = !sums.empty();
    callbacks_.on_fleet_failures(failure_aggregator_.changes_since(0, now));
}

void replication_service::record_group_sums(const group_sums& sums)
{
    load_aggregator& aggregator =
        sums.kind == sum_kind::loads ? load_aggregator_ : failure_aggregator_;
    aggregator.apply_relay_report(sums.sender, sums.sums, time_.now());
}

awaitable<std::error_code> replication_service::connect_to_relay(relay_peer relay)
{
    if (connected_relay_ == relay.candidate.id && relay_connection_ &&
        relay_connection_->reusable())
    {
        co_return std::error_code{};
    }
    relay_connection_ = std::make_shared<daemon::http_connection>(context_.get_executor());
    connected_relay_ = relay.candidate.id;
    loads_sequence_ = 0; // Each relay numbers the changes of its loads itself.
    failures_sequence_ = 0;
    const millis timeout = is_complete() ? relay_timeout : start_sequence::connect_timeout;
    co_return co_await relay_connection_->connect(relay.address, timeout,
                                                  relay_unacknowledged_timeout);
}

awaitable<std::error_code> replication_service::poll_relay(relay_peer relay)
{
    relay_answer_age_.reset();
    relay_answer_source_.clear();
    std::error_code ec = co_await connect_to_relay(relay);
    if (!ec)
    {
        ec = co_await request_changes(relay);
    }
    if (ec)
    {
        // A relay that is starting itself has no tables yet and will have them shortly.
        if (is_complete() || ec != errc::peer_unavailable)
        {
            relay_failure failure = relay_failure::unreachable;
            if (ec == errc::stale_view)
            {
                failure = relay_failure::behind;
            }
            else if (ec == errc::store_unavailable)
            {
                failure = relay_failure::cut_off;
            }
            const millis skipped = source_choice_.record_failure(relay.candidate.id, failure,
                                                                 live_candidates(), time_.now());
            log_event(log_level::info, "relay_failed",
                      {{"router", relay.candidate.id},
                       ec,
                       {"reason", to_string(failure)},
                       {"relay_age_ms", relay_answer_age_.value_or(millis{-1})},
                       {"relay_source", relay_answer_source_},
                       {"age_ms", age().value_or(millis{-1})},
                       {"skipped_ms", skipped}});
        }
        relay_connection_.reset();
    }
    else
    {
        source_choice_.record_answer(relay.candidate.id);
    }
    co_return ec;
}

awaitable<std::error_code> replication_service::request_changes(relay_peer relay)
{
    http_request request;
    request.target = "/v1/tables?wait_ms=" + std::to_string(relay_poll_wait.count);
    for (const shared_table table : shared_tables)
    {
        const table_replica& replica = replicas_.at(table);
        request.target += "&" + std::string(to_string(table)) + "=" +
                          std::to_string(replica.revision().value_or(0));
        if (replica.era() != 0)
        {
            request.target += "&" + era_name(table) + "=" + std::to_string(replica.era());
        }
    }
    if (is_complete())
    {
        request.target += "&age_ms=" + std::to_string(age().value_or(unknown_age).count);
    }
    bool reported = false;
    request.method = "POST";
    request.target += "&router=" + daemon::encode_component(self_.view());
    if (!relaying_)
    {
        // Relays exchange the sums of their followers' loads instead.
        request.target += "&loads=" + std::to_string(loads_sequence_);
        request.body = json::serialize(encode_loads(callbacks_.open_requests()));
        // Not in the body, which relays of an earlier release read as a list of loads.
        request.target += "&failures=" + std::to_string(failures_sequence_) +
                          "&failing=" + join_engines(callbacks_.failing_endpoints());
        reported = append_rollout_report(rollouts_, request.body);
    }
    request.fields.emplace_back("Host", daemon::to_string(relay.address));
    const time_point sent_at = time_.now();
    relay_connection_->send(std::move(request));
    result<http_response> head = co_await relay_connection_->read_head(relay_timeout);
    if (!head)
    {
        co_return head.error();
    }
    if (head->status != 200)
    {
        co_return make_error_code(errc::peer_unavailable);
    }
    if (reported)
    {
        rollouts_->acknowledge_report();
    }
    result<std::string> body = co_await daemon::read_body(*relay_connection_, relay_body_timeout,
                                                          max_relay_response_bytes);
    if (body)
    {
        body = decompress_body(*head, std::move(*body));
    }
    co_return body ? apply_peer_response(*body, sent_at) : body.error();
}

void replication_service::record_relay_answer(const json::object& response, time_point sent_at)
{
    const std::int64_t age_ms = daemon::get_number(response, "age_ms", -1);
    const std::int64_t endpoints_age_ms = daemon::get_number(response, "endpoints_age_ms", age_ms);
    if (age_ms < 0 || endpoints_age_ms < 0)
    {
        return;
    }
    const std::int64_t left_ms = daemon::get_number(response, "rewrite_ms");
    // The relay determined these times after the request was sent, so the instants are not later
    // than those that it means.
    std::optional<time_point> rewritten_by;
    if (left_ms > 0)
    {
        rewritten_by = sent_at + millis{std::min(left_ms, service_outage::rewrite_period.count)};
    }
    const bool was_settling = is_settling();
    const millis silence = age().value_or(millis{0});
    std::uint64_t relay_era = 0;
    for (const shared_table table : aged_tables)
    {
        relay_era = std::max(relay_era, daemon::get_unsigned(response, era_name(table)));
    }
    const bool restored = is_restored(relay_era);
    restores_ += restored ? 1 : 0;
    outage_.record_relay_answer(sent_at - millis{std::min(age_ms, endpoints_age_ms)}, rewritten_by,
                                restored);
    if (!was_settling && is_settling())
    {
        log_event(log_level::info, "outage_ended",
                  {{"source", current_relay_}, {"copy_age_ms", silence}, {"rewrite_ms", left_ms}});
    }
}

std::error_code replication_service::apply_peer_response(std::string_view body, time_point sent_at)
{
    result<json::object> response = daemon::parse_json_object(body, daemon::json_text::bytes);
    if (!response)
    {
        return response.error();
    }
    record_relay_answer(*response, sent_at);
    for (const json::value& entry : daemon::get_array(*response, "tables"))
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
                apply(table, batch);
            }
        }
    }
    if (!relaying_)
    {
        load_changes changes;
        changes.loads = decode_loads(daemon::get_array(*response, "loads"));
        changes.complete = daemon::get_flag(*response, "loads_complete");
        loads_sequence_ = daemon::get_unsigned(*response, "loads_up_to");
        callbacks_.on_fleet_loads(changes);
        load_changes failures;
        failures.loads = decode_loads(daemon::get_array(*response, "failures"));
        failures.complete = daemon::get_flag(*response, "failures_complete");
        failures_sequence_ = daemon::get_unsigned(*response, "failures_up_to");
        callbacks_.on_fleet_failures(failures);
    }
    const std::int64_t age_ms = daemon::get_number(*response, "age_ms", -1);
    // Relays that run an earlier release state the age of the operator's table only.
    const std::int64_t endpoints_age_ms = daemon::get_number(*response, "endpoints_age_ms", age_ms);
    if (age_ms >= 0 && endpoints_age_ms >= 0)
    {
        relay_answer_age_ = millis{std::max(age_ms, endpoints_age_ms)};
    }
    // The age of a copy of an earlier era says nothing about this router's copy.
    const bool is_behind = std::any_of(
        aged_tables.begin(), aged_tables.end(),
        [&](shared_table table)
        { return daemon::get_unsigned(*response, era_name(table)) < replicas_.at(table).era(); });
    relay_answer_source_ = daemon::get_text(*response, "source");
    if (daemon::get_flag(*response, "cut_off") &&
        !source_choice_.may_follow_cut_off(connected_relay_, live_candidates()))
    {
        return make_error_code(errc::store_unavailable);
    }
    if (is_behind || age_ms < 0 || endpoints_age_ms < 0 ||
        source_choice_.is_relay_stale(millis{std::max(age_ms, endpoints_age_ms)}))
    {
        return make_error_code(errc::stale_view);
    }
    // The relay determined the ages after the request was sent, so these instants are not later
    // than those at which the copies were current.
    renew_freshness(shared_table::operations, sent_at - millis{age_ms});
    renew_freshness(shared_table::endpoints, sent_at - millis{endpoints_age_ms});
    callbacks_.on_updated();
    return {};
}

awaitable<http_response> replication_service::handle_peer_request(http_request request)
{
    http_response response;
    daemon::http_target target;
    if (!daemon::parse_target(request.target, target))
    {
        response.status = 503;
        co_return response;
    }
    const time_point asked = time_.now();
    const millis max_wait{static_cast<std::int64_t>(
        std::min<std::uint64_t>(parse_revision(target.parameter("wait_ms")), 1000))};
    const time_point deadline = asked + max_wait;
    const std::string_view stated_age = target.parameter("age_ms"); // Empty in earlier releases.
    std::optional<time_point> follower_current_at;
    if (!stated_age.empty())
    {
        follower_current_at =
            asked -
            std::min(millis{static_cast<std::int64_t>(parse_revision(stated_age))}, unknown_age);
    }
    while (!is_complete())
    {
        // Followers that start at the same time get the tables as soon as they are here.
        if (time_.now() >= deadline)
        {
            response.status = 503;
            co_return response;
        }
        co_await wait_for_change(deadline - time_.now());
    }
    boost::system::error_code ec;
    const json::value posted_loads = json::parse(request.body, ec);
    if (!ec && posted_loads.is_array())
    {
        load_aggregator_.apply_router_report(hash64(target.parameter("router")),
                                             decode_loads(posted_loads.get_array()), time_.now());
        const json::array& posted = posted_loads.get_array();
        if (rollouts_ != nullptr && !posted.empty() && posted.back().is_object())
        {
            rollouts_->apply_report(hash64(target.parameter("router")), posted.back().get_object());
        }
    }
    apply_follower_failures(target);
    for (;;)
    {
        std::vector<shared_table> changed;
        for (const shared_table table : shared_tables)
        {
            // Unchanged tables are omitted; most responses contain only the age and loads.
            if (replicas_.at(table).has_changes_since(parse_position(target, table)))
            {
                changed.push_back(table);
            }
        }
        const time_point now = time_.now();
        const bool helps = follower_current_at && helps_follower(now - *follower_current_at);
        if (!changed.empty() || helps || now >= deadline)
        {
            encode_peer_response(target, changed, now, response);
            co_return response;
        }
        co_await wait_for_change(deadline - now);
    }
}

bool replication_service::helps_follower(millis follower_age) const
{
    const std::optional<millis> own = age();
    return own && !source_choice_.is_cut_off() && source_choice_.is_overdue(follower_age) &&
           !source_choice_.is_overdue(*own);
}

void replication_service::encode_peer_response(const daemon::http_target& target,
                                               std::span<const shared_table> changed,
                                               time_point now, http_response& response)
{
    std::vector<std::shared_ptr<const encoded_fragment>> fragments;
    std::string text = "{\"tables\":[";
    for (const shared_table table : changed)
    {
        fragments.push_back(std::make_shared<const encoded_fragment>(encode_fragment(text)));
        fragments.push_back(served_changes_.at(table).cache.changes_since(
            replicas_.at(table), parse_position(target, table), is_settling()));
        text = ",";
    }
    json::object rest;
    const std::optional<time_point> rewritten_by = outage_.rewritten_by(now);
    if (rewritten_by)
    {
        rest["rewrite_ms"] = (*rewritten_by - now).count;
    }
    rest["age_ms"] = age(shared_table::operations).value_or(millis{-1}).count;
    rest["endpoints_age_ms"] = age(shared_table::endpoints).value_or(millis{-1}).count;
    if (source_choice_.is_cut_off())
    {
        rest["cut_off"] = true;
    }
    if (source_choice_.is_overdue(age().value_or(unknown_age)))
    {
        rest["source"] = current_relay_.str();
    }
    for (const shared_table table : aged_tables)
    {
        if (replicas_.at(table).era() != 0)
        {
            rest[era_name(table)] = replicas_.at(table).era();
        }
    }
    const std::string_view loads_since = target.parameter("loads");
    if (!loads_since.empty())
    {
        const load_changes loads = load_aggregator_.changes_since(parse_revision(loads_since), now);
        rest["loads"] = encode_loads(loads.loads);
        rest["loads_up_to"] = loads.last_sequence;
        rest["loads_complete"] = loads.complete;
    }
    const std::string_view failures_since = target.parameter("failures");
    if (!failures_since.empty())
    {
        const load_changes failures =
            failure_aggregator_.changes_since(parse_revision(failures_since), now);
        rest["failures"] = encode_loads(failures.loads);
        rest["failures_up_to"] = failures.last_sequence;
        rest["failures_complete"] = failures.complete;
    }
    if (!changed.empty())
    {
        text.clear();
    }
    text += "]," + json::serialize(rest).substr(1);
    fragments.push_back(std::make_shared<const encoded_fragment>(encode_fragment(std::move(text))));
    set_body(response, fragments);
}

} // namespace endivestage::serving
