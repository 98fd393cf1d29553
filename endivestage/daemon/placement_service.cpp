#include <endivestage/daemon/placement_service.hpp>

#include <endivestage/daemon/sleep.hpp>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>
#include <memory>
#include <utility>

namespace endivestage::daemon
{

namespace asio = boost::asio;

namespace
{

/// Pause before a request that was refused for a reason outside itself is placed again. The delay
/// is far below the first-token target, so that a change of owner costs little.
constexpr backoff_config replace_backoff{millis{20}, millis{200}};

bool is_final(const std::error_code& ec)
{
    return ec == errc::deadline_exceeded || ec == errc::invalid_request || ec == errc::not_found ||
           ec == errc::shutting_down;
}

std::vector<pool_engine> to_pool_engines(const std::vector<usable_endpoint>& usable,
                                         const std::set<endpoint_id>& excluded)
{
    std::map<zone_id, std::uint32_t> zones;
    std::vector<pool_engine> engines;
    for (const usable_endpoint& entry : usable)
    {
        const std::uint32_t next = static_cast<std::uint32_t>(zones.size());
        const std::uint32_t number = zones.try_emplace(entry.zone, next).first->second;
        engines.push_back(
            {hash64(entry.id.view()), entry.capacity, number, !excluded.contains(entry.id)});
    }
    return engines;
}

} // namespace

placement_service::placement_service(node_context& node, configuration_service& configuration,
                                     admission_service& admission)
    : node_(node),
      configuration_(configuration),
      admission_(admission)
{
}

awaitable<result<placed_request>> placement_service::place(const placement_request& request,
                                                           const std::set<endpoint_id>& excluded)
{
    for (std::uint32_t attempt = 1;; ++attempt)
    {
        result<placed_request> placed = co_await try_place(request, excluded);
        if (placed || is_final(placed.error()))
        {
            co_return placed;
        }
        node_.events.record(event_kind::permit_refused, {{"error", placed.error().message()}},
                            request.request);
        const millis delay = retry_backoff(replace_backoff, attempt, node_.random);
        if (node_.time.now() + delay >= request.deadline)
        {
            co_return placed;
        }
        co_await sleep_for(delay);
    }
}

awaitable<result<placed_request>>
placement_service::try_place(const placement_request& request,
                             const std::set<endpoint_id>& excluded)
{
    const std::shared_ptr<const fleet_configuration> configuration = configuration_.current();
    const pool* settings = configuration ? configuration->find(request.pool) : nullptr;
    if (settings == nullptr)
    {
        co_return make_error_code(errc::not_found);
    }
    const std::vector<usable_endpoint> usable = configuration_.usable(request.pool);
    placement_config policy;
    policy.first_asked = settings->candidates;
    const candidate_ranking ranking(to_pool_engines(usable, excluded));
    const std::size_t wanted = policy.first_asked + policy.fallback_asked * (policy.max_rounds - 1);
    placement_attempt attempt(ranking.candidates(chat_key(request.chat), wanted), policy);
    std::error_code refusal = make_error_code(errc::no_endpoint);
    std::map<std::size_t, holding> offers;
    for (placement_step step = attempt.start();;)
    {
        if (step.action == placement_step::kind::give_up)
        {
            co_return refusal;
        }
        if (step.action == placement_step::kind::use)
        {
            for (const std::size_t other : step.release)
            {
                admission_.release(offers.at(other), {});
            }
            const usable_endpoint& chosen = usable[step.engines.front()];
            co_return placed_request{offers.at(step.engines.front()), {chosen.host, chosen.port}};
        }
        const bool wait = step.action == placement_step::kind::wait;
        std::vector<endpoint_id> engines;
        for (const std::size_t position : step.engines)
        {
            engines.push_back(usable[position].id);
        }
        const std::vector<result<holding>> answers = co_await ask_all(engines, request, wait);
        std::vector<placement_answer> offered;
        for (std::size_t n = 0; n < answers.size(); ++n)
        {
            const std::size_t position = step.engines[n];
            placement_answer entry;
            entry.engine = position;
            if (answers[n])
            {
                const permit& value = answers[n]->granted.value;
                entry.offer = placement_offer{n, value.load, value.limit, usable[position].capacity,
                                              value.cached_tokens};
                offers.insert_or_assign(position, *answers[n]);
            }
            else
            {
                refusal = answers[n].error();
            }
            offered.push_back(entry);
        }
        if (wait && offers.empty())
        {
            co_return refusal;
        }
        step = attempt.apply_answers(offered);
    }
}

awaitable<std::vector<result<holding>>>
placement_service::ask_all(const std::vector<endpoint_id>& engines,
                           const placement_request& request, bool wait)
{
    struct gathering
    {
        explicit gathering(const asio::any_io_executor& executor) : done(executor) {}
        std::vector<result<holding>> answers;
        std::size_t open = 0;
        asio::steady_timer done;
    };
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    std::shared_ptr<gathering> all = std::make_shared<gathering>(executor);
    all->answers.assign(engines.size(), make_error_code(errc::peer_unavailable));
    all->open = engines.size();
    all->done.expires_at(asio::steady_timer::time_point::max());
    permit_request wanted;
    wanted.request = request.request;
    wanted.team = request.team;
    wanted.priority = request.priority;
    wanted.chat = request.chat;
    wanted.history_tokens = request.history_tokens;
    wanted.wait_allowed = wait;
    const millis remaining = request.deadline - node_.time.now();
    for (std::size_t n = 0; n < engines.size(); ++n)
    {
        asio::co_spawn(
            executor,
            [this, all, n, engine = engines[n], wanted, remaining]() -> awaitable<void>
            {
                all->answers[n] = co_await admission_.acquire(engine, wanted, remaining);
                if (--all->open == 0)
                {
                    all->done.cancel();
                }
            },
            asio::detached);
    }
    if (all->open > 0)
    {
        boost::system::error_code ec;
        co_await all->done.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    co_return std::move(all->answers);
}

} // namespace endivestage::daemon
