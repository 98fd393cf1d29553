/// \file
/// \brief Definitions of fleet, included by fleet.hpp because each program is a single source file.
#pragma once

#include "fleet.hpp"

#include <algorithm>

namespace simulation
{

namespace es = endivestage;

// Delay of one message between routers or to an engine.
inline constexpr micros hop_delay = one_ms / 2;
inline constexpr es::time_point no_expiry{1LL << 50};
inline constexpr double mean_history_tokens = 3000;
// Assumed cost of transferring a cached prefix between engines: a setup time, then four times the
// speed of prefill. With 160 KB of cache per token this is 6.4 GB/s, half of a 100 Gbit/s link.
inline constexpr double import_setup_ms = 20;
inline constexpr double import_tokens_per_ms = 40;

inline fleet::fleet(const fleet_config& config, std::uint64_t seed)
    : config_(config),
      callers_(seed),
      network_random_(seed + 1),
      in_service_(config.engines, true),
      local_counts_(config.routers, std::vector<std::uint32_t>(config.engines)),
      aggregate_({}, {0})
{
    // The cache holds 1.5 times the mean histories of the running and pausing chats of an engine.
    const double chats_per_engine =
        config.target_load * (1 + workload::mean_pause_ms / workload::mean_service_ms);
    const auto cache = static_cast<std::uint64_t>(1.5 * chats_per_engine * mean_history_tokens);
    config_.gate.cache_tokens = cache;
    config_.gate.max_requests = config.max_requests;
    for (std::size_t n = 0; n < config.routers; ++n)
    {
        router_hashes_.push_back(es::hash64("router-" + std::to_string(n)));
    }
    for (std::size_t n = 0; n < config.engines; ++n)
    {
        const auto zone = static_cast<std::uint32_t>(n % config.zones);
        engines_.emplace_back(zone, cache);
        engines_.back().mark_warm();
        pool_.push_back({es::hash64("engine-" + std::to_string(n)), 1.0, zone, true});
        gates_.emplace_back();
        make_gate(n, true);
        loop_.schedule_after(static_cast<micros>(network_random_.below(one_s / 2)),
                             [this, n] { send_report(n); });
    }
    ranking_ = es::candidate_ranking(pool_);
    for (std::size_t n = 0; n < config.engines; ++n)
    {
        owners_.push_back(owner_of(n));
    }
    schedule_digests();
    loop_.schedule_after(100 * one_ms, [this] { sample_loads(); });
}

inline void fleet::add_chats(std::size_t count, bool only_large, int turns_left, micros spread)
{
    for (std::size_t n = 0; n < count; ++n)
    {
        chats_.push_back(std::make_unique<chat>());
        chat* added = chats_.back().get();
        callers_.replace_chat(*added, only_large);
        const auto delay =
            static_cast<micros>(callers_.random().unit() * static_cast<double>(spread));
        loop_.schedule_after(delay, [this, added, turns_left] { arrive(added, turns_left); });
    }
}

inline void fleet::arrive(chat* sender, int turns_left)
{
    pending_request_ptr request = std::make_shared<pending_request>();
    request->current_turn = callers_.next_turn(*sender, loop_.now());
    request->router = network_random_.below(config_.routers);
    request->number = ++request_count_;
    request->turns_left = turns_left;
    place(request);
}

inline void fleet::place(const pending_request_ptr& request)
{
    if (config_.policy != routing_policy::endivestage)
    {
        place_by_baseline(request);
        return;
    }
    const es::placement_config& policy = config_.placement;
    const std::size_t max_candidates =
        std::max(policy.max_whole_pool_size,
                 policy.first_asked + policy.fallback_asked * (policy.max_rounds - 1));
    const chat& sender = *request->current_turn.sender;
    request->attempt.emplace(ranking_.candidates(sender.key, max_candidates), policy,
                             es::placement_context{ranking_.usable_count(), sender.history_tokens});
    request->permits.clear();
    execute_step(request, request->attempt->start());
}

inline void fleet::execute_step(const pending_request_ptr& request, const es::placement_step& step)
{
    switch (step.action)
    {
    case es::placement_step::kind::ask:
        loop_.schedule_after(hop_delay, [this, request, engines = step.engines]
                             { request_permits(request, engines); });
        break;
    case es::placement_step::kind::wait:
        loop_.schedule_after(hop_delay, [this, request, engines = step.engines]
                             { join_queues(request, engines); });
        break;
    default:
        refuse(request);
    }
}

inline es::permit_request fleet::make_permit_request(const pending_request& request,
                                                     bool wait_allowed) const
{
    const chat& sender = *request.current_turn.sender;
    es::permit_request result;
    result.holder = es::router_id("r" + std::to_string(request.router));
    result.request = es::request_id(std::to_string(request.number));
    result.team = config_.one_team ? es::team_id("all") : sender.team;
    result.chat = sender.id;
    result.history_tokens = sender.history_tokens;
    result.deadline = {request.current_turn.arrival_time / one_ms + 30000};
    result.wait_allowed = wait_allowed;
    result.checks_bound =
        !wait_allowed && config_.check_current_load && request.attempt->checks_bound();
    return result;
}

inline void fleet::request_permits(const pending_request_ptr& request,
                                   const std::vector<std::size_t>& engines)
{
    std::vector<es::placement_answer> answers;
    const es::permit_request asked = make_permit_request(*request, false);
    statistics_->permit_calls += static_cast<double>(engines.size());
    request->asked.insert(request->asked.end(), engines.begin(), engines.end());
    for (std::size_t n = 0; n < engines.size(); ++n)
    {
        const std::optional<es::engine_status> state = gates_[engines[n]]->status(asked.chat);
        const es::permit_answer answer = gates_[engines[n]]->acquire(asked, loop_.time());
        answers.push_back({engines[n], {}, config_.check_current_load ? state : std::nullopt});
        if (const auto* it = std::get_if<es::permit>(&answer))
        {
            answers.back().offer = {n, it->load, it->limit, 1.0, it->cached_tokens};
            request->permits.push_back({engines[n], it->key, request->router, {}});
        }
    }
    loop_.schedule_after(hop_delay, [this, request, answers]
                         { resolve_offers(request, request->attempt->apply_answers(answers)); });
}

inline void fleet::resolve_offers(const pending_request_ptr& request,
                                  const es::placement_step& step)
{
    for (const std::size_t engine : step.release)
    {
        const auto held = std::ranges::find(request->permits, engine, &assignment::engine);
        statistics_->unused_permits += 1;
        release(engine, *held->key, {});
        request->permits.erase(held);
    }
    if (step.action != es::placement_step::kind::use)
    {
        execute_step(request, step);
        return;
    }
    assignment target = request->permits.front();
    target.import_from = step.import_from;
    send(request, target);
}

inline void fleet::join_queues(const pending_request_ptr& request,
                               const std::vector<std::size_t>& engines)
{
    const es::permit_request asked = make_permit_request(*request, true);
    bool retry = false;
    for (const std::size_t engine : engines)
    {
        const es::permit_answer answer = gates_[engine]->acquire(asked, loop_.time());
        if (const auto* granted = std::get_if<es::permit>(&answer))
        {
            if (!request->done)
            {
                request->done = true;
                const assignment target{engine, granted->key, request->router, {}};
                loop_.schedule_after(hop_delay, [this, request, target] { send(request, target); });
            }
            else
            {
                release(engine, granted->key, {});
            }
        }
        else if (const auto* ticket = std::get_if<es::queue_ticket>(&answer))
        {
            request->tickets.emplace_back(engine, ticket->number);
            waiting_[{engine, ticket->number}] = request;
        }
        else
        {
            const std::error_code ec = std::get<std::error_code>(answer);
            retry = retry || (ec != es::errc::deadline_exceeded && ec != es::errc::overloaded);
        }
    }
    if (request->done || !request->tickets.empty())
    {
        return;
    }
    if (retry)
    {
        loop_.schedule_after(50 * one_ms, [this, request] { place(request); });
        return;
    }
    refuse(request);
}

inline void fleet::apply_decisions(std::size_t engine,
                                   const std::vector<es::queue_decision>& decisions)
{
    for (const es::queue_decision& it : decisions)
    {
        apply_decision(engine, it);
    }
}

inline void fleet::apply_decision(std::size_t engine, const es::queue_decision& decision)
{
    auto it = waiting_.find({engine, decision.ticket.number});
    if (it == waiting_.end())
    {
        return;
    }
    const pending_request_ptr request = it->second;
    waiting_.erase(it);
    std::erase(request->tickets, std::pair(engine, decision.ticket.number));
    if (const auto* granted = std::get_if<es::permit>(&decision.answer))
    {
        const assignment target{engine, granted->key, request->router, {}};
        if (request->done)
        {
            loop_.schedule_after(2 * hop_delay,
                                 [this, target] { release(target.engine, *target.key, {}); });
            return;
        }
        request->done = true;
        loop_.schedule_after(hop_delay,
                             [this, request, target]
                             {
                                 send(request, target);
                                 for (const auto& [other, number] : request->tickets)
                                 {
                                     gates_[other]->cancel({number});
                                     waiting_.erase({other, number});
                                 }
                                 request->tickets.clear();
                             });
        return;
    }
    if (request->done || !request->tickets.empty())
    {
        return;
    }
    if (std::get<std::error_code>(decision.answer) == es::errc::deadline_exceeded)
    {
        refuse(request);
        return;
    }
    loop_.schedule_after(hop_delay, [this, request] { place(request); });
}

inline void fleet::release(std::size_t engine, es::permit_key key,
                           const es::permit_outcome& outcome)
{
    loop_.schedule_after(
        hop_delay,
        [this, engine, key, outcome]
        {
            const bool warm = gates_[engine]->ramp().is_warm();
            apply_decisions(engine, gates_[engine]->release(key, outcome, loop_.time()));
            statistics_->turned_cold += warm && !gates_[engine]->ramp().is_warm() ? 1 : 0;
        });
}

inline void fleet::place_by_baseline(const pending_request_ptr& request)
{
    const assignment target{baseline_engine(*request), {}, request->router, {}};
    ++local_counts_[request->router][target.engine];
    send(request, target);
}

inline std::size_t fleet::baseline_engine(const pending_request& request)
{
    switch (config_.policy)
    {
    case routing_policy::oracle:
        return oracle_engine(request);
    case routing_policy::local_bounds:
        return local_bound_engine(request);
    case routing_policy::rendezvous:
        return ranking_.candidates(request.current_turn.sender->key, 1).front();
    default:
        break;
    }
    do
    {
        round_robin_index_ = (round_robin_index_ + 1) % engines_.size();
    } while (!pool_[round_robin_index_].usable);
    return round_robin_index_;
}

inline std::size_t fleet::oracle_engine(const pending_request& request) const
{
    const chat& sender = *request.current_turn.sender;
    std::size_t best = engines_.size();
    for (std::size_t n = 0; n < engines_.size(); ++n)
    {
        if (!pool_[n].usable)
        {
            continue;
        }
        const auto cached = [&](std::size_t engine)
        {
            return engines_[engine].cached_tokens(sender.key, sender.history_tokens);
        };
        if (best == engines_.size() || cached(n) > cached(best) ||
            (cached(n) == cached(best) && engines_[n].running() < engines_[best].running()))
        {
            best = n;
        }
    }
    return best;
}

inline std::size_t fleet::local_bound_engine(const pending_request& request) const
{
    const std::vector<std::uint32_t>& counts = local_counts_[request.router];
    double sum = 0;
    double usable = 0;
    for (std::size_t n = 0; n < counts.size(); ++n)
    {
        sum += pool_[n].usable ? counts[n] : 0;
        usable += pool_[n].usable ? 1 : 0;
    }
    const std::uint32_t limit = es::bounded_limit(1.25, (sum + 1) / usable, 1.0);
    const auto ranked = ranking_.candidates(request.current_turn.sender->key, engines_.size());
    for (const std::size_t n : ranked)
    {
        if (counts[n] < limit)
        {
            return n;
        }
    }
    return ranked.front();
}

inline void fleet::send(const pending_request_ptr& request, const assignment& target)
{
    const double waited =
        static_cast<double>(loop_.now() - request->current_turn.arrival_time) / one_ms;
    statistics_->permit_wait.add(waited);
    (request->current_turn.sender->large_team ? statistics_->large_team_wait
                                              : statistics_->small_team_wait)
        .add(waited);
    loop_.schedule_after(hop_delay, [this, request, target] { start(request, target); });
}

inline void fleet::start(const pending_request_ptr& request, const assignment& target)
{
    const turn& current = request->current_turn;
    engine_model& engine = engines_[target.engine];
    const std::uint32_t imported = import_prefix(*current.sender, target);
    const std::uint32_t cached =
        engine.cached_tokens(current.sender->key, current.sender->history_tokens);
    const double import_ms = imported > 0 ? import_setup_ms + imported / import_tokens_per_ms : 0;
    const double first_token =
        import_ms +
        engine.start(current.sender->key, current.sender->history_tokens, current.prompt_tokens);
    statistics_->imported_tokens += imported;
    statistics_->imports += imported > 0 ? 1 : 0;
    const double waited = static_cast<double>(loop_.now() - current.arrival_time) / one_ms;
    statistics_->first_token.add(waited + first_token);
    statistics_->started += 1;
    statistics_->starts_above_bound +=
        is_above_bound(target.engine, engine.running(), false) ? 1 : 0;
    statistics_->starts_above_bound_ramped +=
        is_above_bound(target.engine, engine.running(), true) ? 1 : 0;
    if (current.sender->history_tokens > 0)
    {
        statistics_->resumed += 1;
        statistics_->resumed_cached += cached * 2 >= current.sender->history_tokens ? 1 : 0;
        statistics_->history_tokens += current.sender->history_tokens;
        statistics_->cached_tokens += cached;
        record_loss(*request, target.engine, cached);
    }
    const std::uint64_t incarnation = engine.incarnation();
    loop_.schedule_after(static_cast<micros>((first_token + current.decode_ms) * one_ms),
                         [this, request, target, first_token, incarnation]
                         { finish(request, target, first_token, incarnation); });
}

inline std::uint32_t fleet::import_prefix(const chat& sender, const assignment& target)
{
    if (!target.import_from || !in_service_[*target.import_from])
    {
        return 0;
    }
    const std::uint32_t source_tokens =
        engines_[*target.import_from].cached_tokens(sender.key, sender.history_tokens);
    const std::uint32_t target_tokens =
        engines_[target.engine].cached_tokens(sender.key, sender.history_tokens);
    if (source_tokens <= target_tokens)
    {
        return 0;
    }
    engines_[target.engine].import_prefix(sender.key, source_tokens);
    return source_tokens - target_tokens;
}

inline void fleet::record_loss(const pending_request& request, std::size_t engine,
                               std::uint32_t cached_tokens)
{
    const chat& sender = *request.current_turn.sender;
    std::size_t best = engine;
    for (std::size_t n = 0; n < engines_.size(); ++n)
    {
        const std::uint32_t engine_tokens =
            engines_[n].cached_tokens(sender.key, sender.history_tokens);
        best = engine_tokens > engines_[best].cached_tokens(sender.key, sender.history_tokens)
                   ? n
                   : best;
    }
    const std::uint32_t max_cached_tokens =
        engines_[best].cached_tokens(sender.key, sender.history_tokens);
    const bool restarted = engines_[sender.last_engine].incarnation() != sender.last_incarnation;
    (restarted ? statistics_->lost_gone : statistics_->lost_evicted) +=
        sender.history_tokens - max_cached_tokens;
    if (!in_service_[best])
    {
        statistics_->lost_gone += max_cached_tokens - cached_tokens;
        return;
    }
    const bool asked = std::ranges::find(request.asked, best) != request.asked.end();
    (asked ? statistics_->lost_at_limit : statistics_->lost_not_asked) +=
        max_cached_tokens - cached_tokens;
}

inline void fleet::finish(const pending_request_ptr& request, const assignment& target,
                          double first_token, std::uint64_t incarnation)
{
    chat* sender = request->current_turn.sender;
    sender->history_tokens +=
        request->current_turn.prompt_tokens + request->current_turn.answer_tokens;
    engines_[target.engine].finish(sender->key, sender->history_tokens, incarnation);
    sender->last_engine = target.engine;
    sender->last_incarnation = incarnation;
    if (target.key)
    {
        release(target.engine, *target.key,
                {es::permit_outcome::kind::completed,
                 es::millis{static_cast<std::int64_t>(first_token)}, sender->history_tokens});
    }
    else
    {
        --local_counts_[target.router][target.engine];
    }
    schedule_next_turn(sender, request->turns_left);
}

inline void fleet::refuse(const pending_request_ptr& request)
{
    statistics_->refused += 1;
    schedule_next_turn(request->current_turn.sender, request->turns_left);
}

inline void fleet::schedule_next_turn(chat* sender, int turns_left)
{
    if (turns_left == 1)
    {
        return;
    }
    if (turns_left == 0 && callers_.draw_last_turn())
    {
        callers_.replace_chat(*sender, false);
    }
    const int left = turns_left == 0 ? 0 : turns_left - 1;
    loop_.schedule_after(static_cast<micros>(callers_.draw_pause_ms() * one_ms),
                         [this, sender, left] { arrive(sender, left); });
}

inline std::size_t fleet::owner_of(std::size_t engine) const
{
    std::vector<es::weighted_node> routers;
    for (const std::uint64_t hash : router_hashes_)
    {
        routers.push_back({hash, 1.0});
    }
    return es::rank_by_rendezvous(pool_[engine].hash, routers, 1).front();
}

// Restores the permits of the previous gate. With handover, a warm engine stays warm and its cache
// index is kept.
inline void fleet::make_gate(std::size_t engine, bool handover)
{
    const es::time_point now = loop_.time();
    std::vector<es::held_permit> held;
    std::vector<es::recency_entry> cached;
    if (gates_[engine])
    {
        held = gates_[engine]->snapshot();
        handover = handover && gates_[engine]->ramp().is_warm();
        cached = gates_[engine]->cache().entries();
        apply_decisions(engine,
                        gates_[engine]->set_service_state(es::engine_service_state::leaving, now));
    }
    const std::vector<es::router_id> routers_to_ask{es::router_id("all")};
    gates_[engine] = std::make_unique<es::engine_gate>(
        config_.gate, es::endpoint_id(std::to_string(engine)), view_, routers_to_ask, now);
    gates_[engine]->set_confirmed(view_, no_expiry, now);
    gates_[engine]->restore_permits(routers_to_ask.front(), held, now);
    if (handover)
    {
        gates_[engine]->mark_warm(engines_[engine].incarnation(), now);
        gates_[engine]->restore_cache(engines_[engine].incarnation(), cached);
    }
    if (!in_service_[engine])
    {
        gates_[engine]->set_service_state(es::engine_service_state::out_of_service, now);
    }
}

inline void fleet::replace_router(std::size_t router)
{
    router_hashes_[router] = es::hash64("replaced-" + std::to_string(++view_));
    for (std::size_t n = 0; n < engines_.size(); ++n)
    {
        const bool lost = owners_[n] == router;
        owners_[n] = owner_of(n);
        if (lost || owners_[n] == router)
        {
            make_gate(n, true);
        }
    }
}

inline void fleet::set_service(std::size_t engine, es::engine_service_state service)
{
    const bool usable = service == es::engine_service_state::in_service;
    in_service_[engine] = usable;
    apply_decisions(engine, gates_[engine]->set_service_state(service, loop_.time()));
    // Entry routers apply the change one second after the owner.
    loop_.schedule_after(one_s,
                         [this, engine, usable]
                         {
                             pool_[engine].usable = usable;
                             ranking_.set_usable(engine, usable);
                         });
}

inline void fleet::remove_zone(std::uint32_t zone)
{
    for (std::size_t n = 0; n < engines_.size(); ++n)
    {
        if (engines_[n].zone() == zone)
        {
            set_service(n, es::engine_service_state::out_of_service);
        }
    }
    for (std::size_t n = zone; n < config_.routers; n += config_.zones)
    {
        replace_router(n);
    }
}

inline void fleet::restore_zone(std::uint32_t zone)
{
    for (std::size_t n = 0; n < engines_.size(); ++n)
    {
        if (engines_[n].zone() == zone)
        {
            engines_[n].restart();
            make_gate(n, false);
            set_service(n, es::engine_service_state::in_service);
        }
    }
}

inline void fleet::restart_engine(std::size_t engine, micros downtime)
{
    set_service(engine, es::engine_service_state::leaving);
    loop_.schedule_after(downtime,
                         [this, engine]
                         {
                             engines_[engine].restart();
                             make_gate(engine, false);
                             set_service(engine, es::engine_service_state::in_service);
                         });
}

inline void fleet::schedule_digests()
{
    for (std::size_t n = 0; n < config_.routers; ++n)
    {
        loop_.schedule_after(static_cast<micros>(network_random_.below(250 * one_ms)),
                             [this, n] { send_digest(n); });
    }
}

inline void fleet::send_digest(std::size_t router)
{
    loop_.schedule_after(250 * one_ms, [this, router] { send_digest(router); });
    std::vector<es::engine_load> loads;
    std::vector<std::size_t> owned;
    for (std::size_t n = 0; n < engines_.size(); ++n)
    {
        if (owners_[n] != router)
        {
            continue;
        }
        owned.push_back(n);
        apply_decisions(n, gates_[n]->tick(loop_.time()));
        if (const std::optional<es::engine_load> load = gates_[n]->digest_entry())
        {
            loads.push_back(*load);
        }
    }
    const es::time_point sampled_at = loop_.time();
    const es::router_id owner("r" + std::to_string(router));
    loop_.schedule_after(hop_delay, [this, owner, view = view_, loads]
                         { aggregate_.update(owner, view, loads, es::millis{1}, loop_.time()); });
    loop_.schedule_after(
        2 * hop_delay,
        [this, sampled_at, owned]
        {
            const std::optional<es::pool_mean> mean = aggregate_.mean(loop_.time());
            for (const std::size_t n : owned)
            {
                if (mean)
                {
                    apply_decisions(n, gates_[n]->update_mean(*mean, sampled_at, loop_.time()));
                }
            }
        });
}

inline void fleet::send_report(std::size_t engine)
{
    loop_.schedule_after(one_s / 2, [this, engine] { send_report(engine); });
    const es::engine_report sampled{engines_[engine].running(), 0, engines_[engine].incarnation(),
                                    false, false};
    const auto lag = static_cast<micros>(50 * one_ms + network_random_.below(900 * one_ms));
    loop_.schedule_after(lag,
                         [this, engine, sampled]
                         {
                             if (sampled.incarnation == engines_[engine].incarnation())
                             {
                                 apply_decisions(
                                     engine, gates_[engine]->apply_report(sampled, loop_.time()));
                             }
                         });
}

// If ramped, a cold engine adds only the part of the capacity that its ramp allows.
inline double fleet::mean_load(bool ramped) const
{
    double sum = 0;
    double capacity = 0;
    for (std::size_t n = 0; n < engines_.size(); ++n)
    {
        sum += is_in_service(n) ? engines_[n].running() : 0;
        capacity += is_in_service(n) ? 1.0 : 0.0;
    }
    const double nominal = capacity > 0 ? sum / capacity : 0.0;
    if (!ramped || config_.policy != routing_policy::endivestage || nominal <= 0.0)
    {
        return nominal;
    }
    double ramp_capacity = 0;
    for (std::size_t n = 0; n < engines_.size(); ++n)
    {
        const double usable = std::max(gates_[n]->ramp().allowance(), engines_[n].running());
        const double share = usable / nominal;
        ramp_capacity += is_in_service(n) ? std::min(1.0, share) : 0.0;
    }
    return sum / ramp_capacity;
}

// The bound is 1.25 times the mean load, whatever the configuration of the gates.
inline bool fleet::is_above_bound(std::size_t engine, std::uint32_t load, bool ramped) const
{
    return is_in_service(engine) && load > es::bounded_limit(1.25, mean_load(ramped), 1.0);
}

inline void fleet::sample_loads()
{
    loop_.schedule_after(100 * one_ms, [this] { sample_loads(); });
    for (auto& [queue, request] : waiting_)
    {
        gates_[queue.first]->renew({queue.second}, 1, loop_.time());
    }
    const double nominal = mean_load(false);
    const std::uint32_t strict = es::bounded_limit(1.25, nominal, 1.0);
    const std::uint32_t ramped = es::bounded_limit(1.25, mean_load(true), 1.0);
    std::uint32_t largest = 0;
    for (std::size_t n = 0; n < engines_.size(); ++n)
    {
        if (is_in_service(n))
        {
            largest = std::max(largest, engines_[n].running());
            statistics_->engine_instants += 1;
            statistics_->engine_instants_above_bound += engines_[n].running() > strict ? 1 : 0;
        }
    }
    statistics_->instants += 1;
    statistics_->instants_above_bound += largest > strict ? 1 : 0;
    statistics_->instants_above_bound_ramped += largest > ramped ? 1 : 0;
    if (nominal > 0)
    {
        statistics_->skew.add(largest / nominal);
    }
}

} // namespace simulation
