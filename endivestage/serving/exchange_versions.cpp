#include <endivestage/serving/exchange.hpp>

#include <endivestage/daemon/logging.hpp>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <iterator>
#include <utility>

namespace endivestage::serving
{

using daemon::awaitable;

namespace
{

constexpr millis probe_timeout{250};

void record_response(router_state& state, const service_id& service, std::uint64_t order,
                     const evidence_key& key, const response_counts& counts)
{
    const traffic_rule* rule = state.rollouts.rule(service);
    if (state.rollouts.is_active(service) && rule != nullptr && rule->order_revision == order)
    {
        state.rollout_evidence[service][key] += counts;
        state.metrics.record_rollout_response(key.is_new, counts.failures > 0);
    }
}

// All requests of an endpoint break at once when it crashes, which says nothing about its version.
awaitable<void> record_lost_connection(boost::asio::any_io_executor executor, router_state& state,
                                       endpoint_record endpoint, std::uint64_t order,
                                       evidence_key key)
{
    daemon::http_connection probe(std::move(executor));
    daemon::network_address address{endpoint.host, endpoint.port};
    const std::error_code ec =
        co_await probe.connect(std::move(address), probe_timeout, probe_timeout);
    response_counts counts;
    counts.requests = 1;
    counts.failures = ec ? 0 : 1;
    record_response(state, endpoint.service, order, key, counts);
}

} // namespace

version_choice exchange::choose_versions(std::span<const endpoint_state* const> usable) const
{
    const std::vector<const endpoint_state*> allowed = keep_stream_version(usable);
    const traffic_rule* rule = state_.rollouts.rule(service_);
    if (rule == nullptr)
    {
        version_choice all;
        all.preferred = allowed;
        return all;
    }
    std::optional<std::string> pinned;
    if (stream_version_ && !allowed.empty())
    {
        pinned = allowed.front()->record.version;
    }
    return choose_version(*rule, allowed, tried_,
                          decoded_.chat_hash.value_or(hash64(decoded_.id.view())), pinned);
}

std::vector<const endpoint_state*>
exchange::keep_stream_version(std::span<const endpoint_state* const> endpoints) const
{
    std::vector<const endpoint_state*> kept;
    const bool unknown = history_.response_started && !stream_version_;
    if (unknown)
    {
        return kept;
    }
    std::copy_if(endpoints.begin(), endpoints.end(), std::back_inserter(kept),
                 [&](const endpoint_state* endpoint)
                 { return !stream_version_ || version_key(endpoint->record) == *stream_version_; });
    return kept;
}

bool exchange::is_target(const stream_origin& origin)
{
    return std::any_of(route_->targets.begin(), route_->targets.end(),
                       [&](const route_target& target)
                       { return hash64(target.service.view()) == origin.service; });
}

awaitable<std::optional<stream_origin>> exchange::find_origin()
{
    if (!decoded_.first_attempt)
    {
        co_return std::nullopt;
    }
    const std::uint64_t stream = hash64(decoded_.first_attempt->view());
    std::optional<stream_origin> origin = state_.origins.find(stream, state_.time.now());
    // With one version the answer would change nothing.
    if (!origin && state_.versions.is_mixed(service_) && state_.origin_exchange != nullptr)
    {
        origin = co_await state_.origin_exchange->find(stream);
    }
    // A stream of another service must not be renamed by what a caller says.
    if (!origin || is_target(*origin))
    {
        stream_ = stream;
    }
    co_return origin;
}

awaitable<bool> exchange::find_stream_version()
{
    if (!route_->streaming)
    {
        co_return true;
    }
    if (!decoded_.takes_up)
    {
        stream_ = hash64(decoded_.id.view());
        co_return true;
    }
    state_.versions.refresh(service_, state_.endpoints, state_.time.now());
    std::optional<stream_origin> origin = co_await find_origin();
    bool current = true;
    if (!origin && !state_.versions.is_mixed(service_))
    {
        // That this router has seen one version only says nothing while it is cut off or has an old
        // copy: the stream may have begun at one that it has not seen.
        current = state_.confirm_endpoints && co_await state_.confirm_endpoints();
        state_.versions.refresh(service_, state_.endpoints, state_.time.now());
        if (state_.versions.is_mixed(service_))
        {
            origin = co_await find_origin();
        }
    }
    if (caller_left_)
    {
        end_without_caller();
        co_return false;
    }
    if (origin)
    {
        // The weights of a split route may have changed since.
        for (const route_target& target : route_->targets)
        {
            if (hash64(target.service.view()) == origin->service && target.service != service_)
            {
                service_ = target.service;
                profile_ = routes_->find_service(service_);
            }
        }
    }
    const std::vector<std::uint64_t> versions = state_.versions.versions(service_);
    const take_up_decision decision =
        decide_take_up(origin, hash64(service_.view()), versions, current);
    const std::string_view step = decision.goes_on ? (origin ? "known" : "only_version")
                                  : current        ? "refused"
                                                   : "unconfirmed";
    state_.metrics.record_take_up(step);
    daemon::log_event(daemon::log_level::info, "stream_taken_up",
                      {{"request", decoded_.id},
                       {"service", service_},
                       {"first_attempt", decoded_.first_attempt.value_or(request_id())},
                       {"step", step},
                       {"versions", versions.size()},
                       {"waited_ms", state_.time.now() - request_.received}});
    if (!decision.goes_on)
    {
        // Not known to any router that was asked, so there is no hurry to ask again.
        co_await send_error(503, errc::unknown_version, execution::not_run,
                            std::max(millis{0}, time_left() / 3));
        co_return false;
    }
    stream_version_ = decision.version;
    co_return true;
}

bool exchange::record_stream_version()
{
    const endpoint_state* endpoint = state_.endpoints.find(last_endpoint_);
    const bool restarted = endpoint != nullptr && version_key(endpoint->record) != attempt_version_;
    const bool has_events = history_.response_started || decoded_.takes_up;
    if (has_events)
    {
        // Without a version only one can have begun the stream, and this endpoint runs it.
        if (restarted || (stream_version_ && *stream_version_ != attempt_version_))
        {
            return false;
        }
    }
    if (restarted)
    {
        return true;
    }
    stream_version_ = attempt_version_;
    if (stream_)
    {
        const known_origin known{*stream_, {hash64(service_.view()), attempt_version_}};
        state_.origins.record(known.stream, known.origin, state_.time.now(), true);
        if (state_.versions.is_mixed(service_) && state_.origin_exchange != nullptr)
        {
            state_.origin_exchange->tell(known);
        }
    }
    return true;
}

bool exchange::may_run(const endpoint_record& endpoint) const
{
    const traffic_rule* rule = state_.rollouts.rule(service_);
    return rule == nullptr || rule->order_removed || allows(*rule, endpoint.version);
}

void exchange::begin_measuring(const endpoint_record& endpoint)
{
    const time_point now = state_.time.now();
    const endpoint_state* state = state_.endpoints.find(endpoint.id);
    measured_ = {};
    measured_.version = endpoint.version;
    measured_.sent_at = now;
    measured_.cold = state != nullptr && state->is_cold(now);
    measured_.reads_prompt =
        decoded_.chat_hash &&
        !state_.prefixes.holds(*decoded_.chat_hash, hash64(endpoint.id.view()), now);
}

void exchange::record_version_outcome(const endpoint_record& endpoint, endpoint_outcome outcome)
{
    const traffic_rule* rule = state_.rollouts.rule(service_);
    if (rule == nullptr || !measured_.sent_at || !state_.rollouts.is_active(service_))
    {
        return;
    }
    const millis waited = state_.time.now() - *measured_.sent_at;
    measured_.sent_at.reset();
    if (state_.reach.state(state_.time.now()) != reach_state::reached)
    {
        // A lost response may be this router's own fault.
        return;
    }
    evidence_key key;
    key.is_new = endpoint.version == rule->to;
    key.route = hash64(route_->name);
    key.reads_prompt = measured_.reads_prompt;
    const bool lost = outcome == endpoint_outcome::broken && !caller_left_;
    if (lost && !measured_.waited_out)
    {
        boost::asio::co_spawn(
            executor_,
            record_lost_connection(executor_, state_, endpoint, rule->order_revision, key),
            boost::asio::detached);
        return;
    }
    const bool answered = outcome == endpoint_outcome::served || caller_left_ || lost;
    response_counts counts;
    counts.requests = 1;
    counts.failures = outcome == endpoint_outcome::failed ? 1 : 0;
    // A caller that leaves early, or a wait that ends, shows a slow response only.
    const bool slow = waited >= route_->latency_objective;
    if (!measured_.cold && answered && (measured_.first_event || slow))
    {
        counts.first_event.at(latency_bucket(measured_.first_event.value_or(waited))) = 1;
    }
    record_response(state_, service_, rule->order_revision, key, counts);
}

} // namespace endivestage::serving
