/// \file
/// \brief Definitions of fleet; included by fleet.hpp because each program is one source file.
#pragma once

#include "fleet.hpp"

#include <algorithm>

namespace simulation
{

namespace es = endivestage;

inline constexpr micros hop = one_ms / 2;
inline constexpr es::time_point never{1LL << 50};
inline constexpr double mean_history_tokens = 3000;
// Assumed cost of moving a cached prefix between engines: four times the speed of prefill. At
// 160 KB of cache a token, this is 6.4 GB/s, half of a 100 Gbit/s link.
inline constexpr double import_setup_ms = 20;
inline constexpr double import_tokens_per_ms = 40;

inline fleet::fleet(const fleet_options& options, std::uint64_t seed)
    : options_(options),
      callers_(seed),
      network_(seed + 1),
      in_service_(options.engines, true),
      local_counts_(options.routers, std::vector<std::uint32_t>(options.engines)),
      aggregate_({}, {0})
{
    // One and a half times the histories of the running and pausing chats of an engine.
    const double chats_per_engine =
        options.load * (1 + workload::mean_pause_ms / workload::mean_service_ms);
    const auto cache = static_cast<std::uint64_t>(1.5 * chats_per_engine * mean_history_tokens);
    options_.gate.cache_tokens = cache;
    options_.gate.max_requests = options.most_requests;
    for (std::size_t n = 0; n < options.routers; ++n)
    {
        router_hashes_.push_back(es::hash64("router-" + std::to_string(n)));
    }
    for (std::size_t n = 0; n < options.engines; ++n)
    {
        const auto zone = static_cast<std::uint32_t>(n % options.zones);
        engines_.emplace_back(zone, cache);
        engines_.back().set_warm();
        names_.push_back({es::hash64("engine-" + std::to_string(n)), 1.0, zone, true});
        gates_.emplace_back();
        make_gate(n, true);
        loop_.after(static_cast<micros>(network_.below(one_s / 2)), [this, n] { report(n); });
    }
    ranking_ = es::candidate_ranking(names_);
    for (std::size_t n = 0; n < options.engines; ++n)
    {
        owners_.push_back(owner_of(n));
    }
    send_digests();
    loop_.after(100 * one_ms, [this] { sample(); });
}

inline void fleet::add_chats(std::size_t count, bool only_large, int turns_left, micros spread)
{
    for (std::size_t n = 0; n < count; ++n)
    {
        chats_.push_back(std::make_unique<chat>());
        chat* added = chats_.back().get();
        callers_.renew(*added, only_large);
        const auto delay =
            static_cast<micros>(callers_.random().unit() * static_cast<double>(spread));
        loop_.after(delay, [this, added, turns_left] { arrive(added, turns_left); });
    }
}

inline void fleet::arrive(chat* of, int turns_left)
{
    pending_ptr request = std::make_shared<pending>();
    request->request = callers_.next_turn(*of, loop_.now());
    request->router = network_.below(options_.routers);
    request->number = ++requests_;
    request->turns_left = turns_left;
    place(request);
}

inline void fleet::place(const pending_ptr& request)
{
    if (options_.kind != routing::endivestage)
    {
        place_by_baseline(request);
        return;
    }
    const es::placement_config& policy = options_.placement;
    const std::size_t most =
        std::max(policy.max_whole_pool_size,
                 policy.first_asked + policy.fallback_asked * (policy.max_rounds - 1));
    const chat& of = *request->request.of;
    request->attempt.emplace(ranking_.candidates(of.key, most), policy,
                             es::placement_context{ranking_.usable_count(), of.history});
    request->permits.clear();
    follow(request, request->attempt->start());
}

inline void fleet::follow(const pending_ptr& request, const es::placement_step& step)
{
    switch (step.action)
    {
    case es::placement_step::kind::ask:
        loop_.after(hop, [this, request, engines = step.engines] { ask(request, engines); });
        break;
    case es::placement_step::kind::wait:
        loop_.after(hop, [this, request, engines = step.engines] { wait(request, engines); });
        break;
    default:
        refuse(request);
    }
}

inline es::permit_request fleet::request_of(const pending& request, bool wait) const
{
    const chat& of = *request.request.of;
    es::permit_request result;
    result.holder = es::router_id("r" + std::to_string(request.router));
    result.request = es::request_id(std::to_string(request.number));
    result.team = options_.one_team ? es::team_id("all") : of.team;
    result.chat = of.id;
    result.history_tokens = of.history;
    result.deadline = {request.request.arrived / one_ms + 30000};
    result.wait_allowed = wait;
    result.checks_bound = !wait && options_.check_present && request.attempt->checks_bound();
    return result;
}

inline void fleet::ask(const pending_ptr& request, const std::vector<std::size_t>& engines)
{
    std::vector<es::placement_answer> answers;
    const es::permit_request asked = request_of(*request, false);
    record_->permit_calls += static_cast<double>(engines.size());
    request->asked.insert(request->asked.end(), engines.begin(), engines.end());
    for (std::size_t n = 0; n < engines.size(); ++n)
    {
        const std::optional<es::engine_status> state = gates_[engines[n]]->status(asked.chat);
        const es::permit_answer answer = gates_[engines[n]]->acquire(asked, loop_.time());
        answers.push_back({engines[n], {}, options_.check_present ? state : std::nullopt});
        if (const auto* it = std::get_if<es::permit>(&answer))
        {
            answers.back().offer = {n, it->load, it->limit, 1.0, it->cached_tokens};
            request->permits.push_back({engines[n], it->key, request->router, {}});
        }
    }
    loop_.after(hop, [this, request, answers]
                { settle_offers(request, request->attempt->apply_answers(answers)); });
}

inline void fleet::settle_offers(const pending_ptr& request, const es::placement_step& step)
{
    for (const std::size_t engine : step.release)
    {
        const auto held = std::ranges::find(request->permits, engine, &placed::engine);
        record_->unused_permits += 1;
        release(engine, *held->key, {});
        request->permits.erase(held);
    }
    if (step.action != es::placement_step::kind::use)
    {
        follow(request, step);
        return;
    }
    placed at = request->permits.front();
    at.import_from = step.import_from;
    send(request, at);
}

inline void fleet::wait(const pending_ptr& request, const std::vector<std::size_t>& engines)
{
    const es::permit_request asked = request_of(*request, true);
    bool moved = false;
    for (const std::size_t engine : engines)
    {
        const es::permit_answer answer = gates_[engine]->acquire(asked, loop_.time());
        if (const auto* granted = std::get_if<es::permit>(&answer))
        {
            if (!request->done)
            {
                request->done = true;
                const placed at{engine, granted->key, request->router, {}};
                loop_.after(hop, [this, request, at] { send(request, at); });
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
            moved = moved || (ec != es::errc::deadline_exceeded && ec != es::errc::overloaded);
        }
    }
    if (request->done || !request->tickets.empty())
    {
        return;
    }
    if (moved)
    {
        loop_.after(50 * one_ms, [this, request] { place(request); });
        return;
    }
    refuse(request);
}

inline void fleet::decide(std::size_t engine, const std::vector<es::queue_decision>& decisions)
{
    for (const es::queue_decision& it : decisions)
    {
        decide_one(engine, it);
    }
}

inline void fleet::decide_one(std::size_t engine, const es::queue_decision& decision)
{
    auto it = waiting_.find({engine, decision.ticket.number});
    if (it == waiting_.end())
    {
        return;
    }
    const pending_ptr request = it->second;
    waiting_.erase(it);
    std::erase(request->tickets, std::pair(engine, decision.ticket.number));
    if (const auto* granted = std::get_if<es::permit>(&decision.answer))
    {
        const placed at{engine, granted->key, request->router, {}};
        if (request->done)
        {
            loop_.after(2 * hop, [this, at] { release(at.engine, *at.key, {}); });
            return;
        }
        request->done = true;
        loop_.after(hop,
                    [this, request, at]
                    {
                        send(request, at);
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
    loop_.after(hop, [this, request] { place(request); });
}

inline void fleet::release(std::size_t engine, es::permit_key key,
                           const es::permit_outcome& outcome)
{
    loop_.after(hop,
                [this, engine, key, outcome]
                {
                    const bool warm = gates_[engine]->ramp().is_warm();
                    decide(engine, gates_[engine]->release(key, outcome, loop_.time()));
                    record_->turned_cold += warm && !gates_[engine]->ramp().is_warm() ? 1 : 0;
                });
}

inline void fleet::place_by_baseline(const pending_ptr& request)
{
    const placed at{baseline_engine(*request), {}, request->router, {}};
    ++local_counts_[request->router][at.engine];
    send(request, at);
}

inline std::size_t fleet::baseline_engine(const pending& request)
{
    switch (options_.kind)
    {
    case routing::oracle:
        return oracle_engine(request);
    case routing::local_bounds:
        return local_bound_engine(request);
    case routing::rendezvous:
        return ranking_.candidates(request.request.of->key, 1).front();
    default:
        break;
    }
    do
    {
        turn_ = (turn_ + 1) % engines_.size();
    } while (!names_[turn_].usable);
    return turn_;
}

inline std::size_t fleet::oracle_engine(const pending& request) const
{
    const chat& of = *request.request.of;
    std::size_t best = engines_.size();
    for (std::size_t n = 0; n < engines_.size(); ++n)
    {
        if (!names_[n].usable)
        {
            continue;
        }
        const auto cached = [&](std::size_t at)
        {
            return engines_[at].cached(of.key, of.history);
        };
        if (best == engines_.size() || cached(n) > cached(best) ||
            (cached(n) == cached(best) && engines_[n].running() < engines_[best].running()))
        {
            best = n;
        }
    }
    return best;
}

inline std::size_t fleet::local_bound_engine(const pending& request) const
{
    const std::vector<std::uint32_t>& counts = local_counts_[request.router];
    double sum = 0;
    double usable = 0;
    for (std::size_t n = 0; n < counts.size(); ++n)
    {
        sum += names_[n].usable ? counts[n] : 0;
        usable += names_[n].usable ? 1 : 0;
    }
    const std::uint32_t limit = es::bounded_limit(1.25, (sum + 1) / usable, 1.0);
    const auto ranked = ranking_.candidates(request.request.of->key, engines_.size());
    for (const std::size_t n : ranked)
    {
        if (counts[n] < limit)
        {
            return n;
        }
    }
    return ranked.front();
}

inline void fleet::send(const pending_ptr& request, const placed& at)
{
    const double waited = static_cast<double>(loop_.now() - request->request.arrived) / one_ms;
    record_->permit_wait.add(waited);
    (request->request.of->large_team ? record_->large_team_wait : record_->small_team_wait)
        .add(waited);
    loop_.after(hop, [this, request, at] { start(request, at); });
}

inline void fleet::start(const pending_ptr& request, const placed& at)
{
    const turn& of = request->request;
    engine_model& engine = engines_[at.engine];
    const std::uint32_t imported = import_prefix(*of.of, at);
    const std::uint32_t cached = engine.cached(of.of->key, of.of->history);
    const double import_ms = imported > 0 ? import_setup_ms + imported / import_tokens_per_ms : 0;
    const double first_token = import_ms + engine.start(of.of->key, of.of->history, of.prompt);
    record_->imported_tokens += imported;
    record_->imports += imported > 0 ? 1 : 0;
    const double waited = static_cast<double>(loop_.now() - of.arrived) / one_ms;
    record_->first_token.add(waited + first_token);
    record_->started += 1;
    record_->above_at_start += above(at.engine, engine.running(), false) ? 1 : 0;
    record_->above_at_start_ramped += above(at.engine, engine.running(), true) ? 1 : 0;
    if (of.of->history > 0)
    {
        record_->resumed += 1;
        record_->resumed_cached += cached * 2 >= of.of->history ? 1 : 0;
        record_->history_tokens += of.of->history;
        record_->cached_tokens += cached;
        record_loss(*request, at.engine, cached);
    }
    const std::uint64_t incarnation = engine.incarnation();
    loop_.after(static_cast<micros>((first_token + of.decode_ms) * one_ms),
                [this, request, at, first_token, incarnation]
                { finish(request, at, first_token, incarnation); });
}

inline std::uint32_t fleet::import_prefix(const chat& of, const placed& at)
{
    if (!at.import_from || !in_service_[*at.import_from])
    {
        return 0;
    }
    const std::uint32_t there = engines_[*at.import_from].cached(of.key, of.history);
    const std::uint32_t here = engines_[at.engine].cached(of.key, of.history);
    if (there <= here)
    {
        return 0;
    }
    engines_[at.engine].import(of.key, there);
    return there - here;
}

inline void fleet::record_loss(const pending& request, std::size_t engine, std::uint32_t cached)
{
    const chat& of = *request.request.of;
    std::size_t best = engine;
    for (std::size_t n = 0; n < engines_.size(); ++n)
    {
        const std::uint32_t there = engines_[n].cached(of.key, of.history);
        best = there > engines_[best].cached(of.key, of.history) ? n : best;
    }
    const std::uint32_t most = engines_[best].cached(of.key, of.history);
    const bool restarted = engines_[of.last_engine].incarnation() != of.last_incarnation;
    (restarted ? record_->lost_gone : record_->lost_evicted) += of.history - most;
    if (!in_service_[best])
    {
        record_->lost_gone += most - cached;
        return;
    }
    const bool asked = std::ranges::find(request.asked, best) != request.asked.end();
    (asked ? record_->lost_at_limit : record_->lost_not_asked) += most - cached;
}

inline void fleet::finish(const pending_ptr& request, const placed& at, double first_token,
                          std::uint64_t incarnation)
{
    chat* of = request->request.of;
    of->history += request->request.prompt + request->request.answer;
    engines_[at.engine].finish(of->key, of->history, incarnation);
    of->last_engine = at.engine;
    of->last_incarnation = incarnation;
    if (at.key)
    {
        release(at.engine, *at.key,
                {es::permit_outcome::kind::completed,
                 es::millis{static_cast<std::int64_t>(first_token)}, of->history});
    }
    else
    {
        --local_counts_[at.router][at.engine];
    }
    next_turn_later(of, request->turns_left);
}

inline void fleet::refuse(const pending_ptr& request)
{
    record_->refused += 1;
    next_turn_later(request->request.of, request->turns_left);
}

inline void fleet::next_turn_later(chat* of, int turns_left)
{
    if (turns_left == 1)
    {
        return;
    }
    if (turns_left == 0 && callers_.ends())
    {
        callers_.renew(*of, false);
    }
    const int left = turns_left == 0 ? 0 : turns_left - 1;
    loop_.after(static_cast<micros>(callers_.pause_ms() * one_ms),
                [this, of, left] { arrive(of, left); });
}

inline std::size_t fleet::owner_of(std::size_t engine) const
{
    std::vector<es::weighted_node> routers;
    for (const std::uint64_t hash : router_hashes_)
    {
        routers.push_back({hash, 1.0});
    }
    return es::rank_by_rendezvous(names_[engine].hash, routers, 1).front();
}

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
        decide(engine, gates_[engine]->set_service_state(es::engine_service_state::leaving, now));
    }
    const std::vector<es::router_id> ask{es::router_id("all")};
    gates_[engine] = std::make_unique<es::engine_gate>(
        options_.gate, es::endpoint_id(std::to_string(engine)), view_, ask, now);
    gates_[engine]->set_confirmed(view_, never, now);
    gates_[engine]->restore_permits(ask.front(), held, now);
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
    decide(engine, gates_[engine]->set_service_state(service, loop_.time()));
    // Entry routers learn it later than the owner.
    loop_.after(one_s,
                [this, engine, usable]
                {
                    names_[engine].usable = usable;
                    ranking_.set_usable(engine, usable);
                });
}

inline void fleet::take_zone_out(std::uint32_t zone)
{
    for (std::size_t n = 0; n < engines_.size(); ++n)
    {
        if (engines_[n].zone() == zone)
        {
            set_service(n, es::engine_service_state::out_of_service);
        }
    }
    for (std::size_t n = zone; n < options_.routers; n += options_.zones)
    {
        replace_router(n);
    }
}

inline void fleet::bring_zone_back(std::uint32_t zone)
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

inline void fleet::restart_engine(std::size_t engine, micros away)
{
    set_service(engine, es::engine_service_state::leaving);
    loop_.after(away,
                [this, engine]
                {
                    engines_[engine].restart();
                    make_gate(engine, false);
                    set_service(engine, es::engine_service_state::in_service);
                });
}

inline void fleet::send_digests()
{
    for (std::size_t n = 0; n < options_.routers; ++n)
    {
        loop_.after(static_cast<micros>(network_.below(250 * one_ms)),
                    [this, n] { send_digest(n); });
    }
}

inline void fleet::send_digest(std::size_t router)
{
    loop_.after(250 * one_ms, [this, router] { send_digest(router); });
    std::vector<es::engine_load> loads;
    std::vector<std::size_t> owned;
    for (std::size_t n = 0; n < engines_.size(); ++n)
    {
        if (owners_[n] != router)
        {
            continue;
        }
        owned.push_back(n);
        decide(n, gates_[n]->tick(loop_.time()));
        if (const std::optional<es::engine_load> load = gates_[n]->digest_entry())
        {
            loads.push_back(*load);
        }
    }
    const es::time_point taken = loop_.time();
    const es::router_id owner("r" + std::to_string(router));
    loop_.after(hop, [this, owner, view = view_, loads]
                { aggregate_.update(owner, view, loads, es::millis{1}, loop_.time()); });
    loop_.after(2 * hop,
                [this, taken, owned]
                {
                    const std::optional<es::pool_mean> mean = aggregate_.mean(loop_.time());
                    for (const std::size_t n : owned)
                    {
                        if (mean)
                        {
                            decide(n, gates_[n]->update_mean(*mean, taken, loop_.time()));
                        }
                    }
                });
}

inline void fleet::report(std::size_t engine)
{
    loop_.after(one_s / 2, [this, engine] { report(engine); });
    const es::engine_report sampled{engines_[engine].running(), 0, engines_[engine].incarnation(),
                                    false, false};
    const auto lag = static_cast<micros>(50 * one_ms + network_.below(900 * one_ms));
    loop_.after(lag,
                [this, engine, sampled]
                {
                    if (sampled.incarnation == engines_[engine].incarnation())
                    {
                        decide(engine, gates_[engine]->apply_report(sampled, loop_.time()));
                    }
                });
}

inline double fleet::mean(bool ramped) const
{
    double sum = 0;
    double capacity = 0;
    for (std::size_t n = 0; n < engines_.size(); ++n)
    {
        sum += counts(n) ? engines_[n].running() : 0;
        capacity += counts(n) ? 1.0 : 0.0;
    }
    const double nominal = capacity > 0 ? sum / capacity : 0.0;
    if (!ramped || options_.kind != routing::endivestage || nominal <= 0.0)
    {
        return nominal;
    }
    double ramp_capacity = 0;
    for (std::size_t n = 0; n < engines_.size(); ++n)
    {
        const double usable = std::max(gates_[n]->ramp().allowance(), engines_[n].running());
        const double share = usable / nominal;
        ramp_capacity += counts(n) ? std::min(1.0, share) : 0.0;
    }
    return sum / ramp_capacity;
}

inline bool fleet::above(std::size_t engine, std::uint32_t load, bool ramped) const
{
    return counts(engine) && load > es::bounded_limit(1.25, mean(ramped), 1.0);
}

inline void fleet::sample()
{
    loop_.after(100 * one_ms, [this] { sample(); });
    for (auto& [at, request] : waiting_)
    {
        gates_[at.first]->renew({at.second}, 1, loop_.time());
    }
    const double nominal = mean(false);
    const std::uint32_t strict = es::bounded_limit(1.25, nominal, 1.0);
    const std::uint32_t ramped = es::bounded_limit(1.25, mean(true), 1.0);
    std::uint32_t largest = 0;
    for (std::size_t n = 0; n < engines_.size(); ++n)
    {
        if (counts(n))
        {
            largest = std::max(largest, engines_[n].running());
            record_->engine_instants += 1;
            record_->engine_instants_above += engines_[n].running() > strict ? 1 : 0;
        }
    }
    record_->instants += 1;
    record_->instants_above += largest > strict ? 1 : 0;
    record_->instants_above_ramped += largest > ramped ? 1 : 0;
    if (nominal > 0)
    {
        record_->skew.add(largest / nominal);
    }
}

} // namespace simulation
