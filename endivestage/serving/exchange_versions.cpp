#include <endivestage/serving/exchange.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
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
    const traffic_rule* rule = state_.rollouts.rule(service_);
    if (rule == nullptr)
    {
        version_choice all;
        all.preferred.assign(usable.begin(), usable.end());
        return all;
    }
    std::optional<std::string> pinned;
    if (history_.response_started)
    {
        pinned = measured_.version;
    }
    return choose_version(*rule, usable, tried_,
                          decoded_.chat_hash.value_or(hash64(decoded_.id.view())), pinned);
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
