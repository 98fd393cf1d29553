// Embeds three components of the library in a standalone program: ownership of an engine
// (view_agent), the permits of that engine (engine_gate) and a request that is executed at most
// once (request_attempt). The program uses no network; its table is a map and its clock is a
// counter.

#include <endivestage/admission.hpp>
#include <endivestage/ledger.hpp>
#include <endivestage/ownership.hpp>

#include <deque>
#include <iostream>
#include <map>
#include <string>
#include <variant>

namespace
{

using namespace endivestage;

/// In-memory implementation of the table service.
class in_memory_table
{
public:
    table_result run(const table_operation& operation)
    {
        const auto it = rows_.find(operation.key);
        const bool found = it != rows_.end();
        if (operation.what == table_operation::kind::insert)
        {
            return found ? table_result{table_result::outcome::conflict, it->second}
                         : write(operation, 1);
        }
        if (!found)
        {
            return {table_result::outcome::not_found, {}};
        }
        if (operation.what == table_operation::kind::read)
        {
            return {table_result::outcome::applied, it->second};
        }
        if (it->second.version != operation.expected_version)
        {
            return {table_result::outcome::conflict, it->second};
        }
        if (operation.what == table_operation::kind::erase)
        {
            rows_.erase(it);
            return {table_result::outcome::applied, {}};
        }
        return write(operation, it->second.version + 1);
    }

private:
    table_result write(const table_operation& operation, std::uint64_t version)
    {
        rows_[operation.key] = {operation.key, version, operation.value};
        return {table_result::outcome::applied, rows_[operation.key]};
    }

    std::map<std::string, table_row> rows_;
};

/// Performs the actions of a view agent. Only table requests need to be performed, because the
/// agent of a region with a single router sends no messages.
/// \returns Whether the agent became the owner of an engine.
bool perform(view_agent& agent, in_memory_table& table, const view_actions& actions, time_point now)
{
    bool owner = false;
    std::deque<view_action> pending(actions.begin(), actions.end());
    while (!pending.empty())
    {
        const view_action action = pending.front();
        pending.pop_front();
        if (const table_request* request = std::get_if<table_request>(&action))
        {
            const view_actions more =
                agent.on_table_result(request->token, table.run(request->operation), now);
            pending.insert(pending.end(), more.begin(), more.end());
        }
        owner = owner || std::holds_alternative<ownership_acquired>(action);
    }
    return owner;
}

/// Runs an attempt to completion.
/// \param sends Incremented each time the request is sent to the endpoint.
/// \returns The answer to the caller.
answer_caller perform(request_attempt& attempt, in_memory_table& table, current_time t, int& sends)
{
    answer_caller answer;
    const attempt_actions first = attempt.start(t);
    std::deque<attempt_action> pending(first.begin(), first.end());
    while (!pending.empty())
    {
        const attempt_action action = pending.front();
        pending.pop_front();
        attempt_actions more;
        if (const submit_operation* submit = std::get_if<submit_operation>(&action))
        {
            more = attempt.on_table_result(table.run(submit->operation), t);
        }
        else if (std::holds_alternative<send_to_endpoint>(action))
        {
            ++sends;
            more = attempt.on_endpoint_outcome(endpoint_answered{{201, "order 17"}}, t);
        }
        else if (const answer_caller* reply = std::get_if<answer_caller>(&action))
        {
            answer = *reply;
        }
        pending.insert(pending.end(), more.begin(), more.end());
    }
    return answer;
}

/// Prints \p message to the error output if the condition does not hold.
/// \returns The condition.
bool expect(bool condition, const char* message)
{
    if (!condition)
    {
        std::cerr << "unexpected: " << message << "\n";
    }
    return condition;
}

} // namespace

int main()
{
    in_memory_table table;
    const endpoint_id engine("engine-1");
    const member self{router_id("router-1"), zone_id("a"), "127.0.0.1", 9001, 9002, 1, false};
    time_point now{1000};

    view_agent agent({}, region_id("north"), self);
    const endpoint_id engines[] = {engine};
    const member members[] = {self};
    bool owner = perform(agent, table, agent.set_endpoints(engines, now), now);
    owner = perform(agent, table, agent.on_membership(members, now), now) || owner;
    for (int n = 0; n < 200 && agent.may_issue(engine, now); ++n)
    {
        now = now + millis{50};
        owner = perform(agent, table, agent.tick(now), now) || owner;
    }
    bool passed = expect(owner && !agent.may_issue(engine, now), "the only router owns the engine");

    engine_gate gate({}, engine, agent.current()->number, {}, now);
    gate.set_confirmed(agent.current()->number, now + millis{2000}, now);
    gate.apply_report({}, now);
    permit_request request;
    request.holder = self.id;
    request.request = request_id("r1");
    request.team = team_id("knotters");
    request.chat = chat_id("c1");
    request.deadline = now + millis{1000};
    const permit_answer acquired = gate.acquire(request, now);
    passed = expect(std::holds_alternative<permit>(acquired), "an idle engine grants a permit") &&
             passed;
    request.request = request_id("r2");
    passed = expect(!std::holds_alternative<permit>(gate.acquire(request, now)),
                    "the limit is 1 while the mean load of the pool is unknown") &&
             passed;
    if (const permit* granted_permit = std::get_if<permit>(&acquired))
    {
        gate.release(granted_permit->key, {permit_outcome::kind::completed, millis{120}, 64}, now);
    }
    passed = expect(gate.load() == 0, "a released permit does not count as load") && passed;

    seeded_random random(1);
    const current_time t{now, time_point{1767225600000}};
    attempt_request order{team_id("buyers"),
                          "1767225600000-order",
                          "digest-of-the-body",
                          attempt_id("attempt-1"),
                          self.id,
                          now + millis{5000},
                          false,
                          {}};
    int sends = 0;
    request_attempt first(order, {}, random);
    const answer_caller ordered = perform(first, table, t, sends);
    order.attempt = attempt_id("attempt-2");
    order.repeated = true;
    request_attempt second(order, {}, random);
    const answer_caller repeated = perform(second, table, t, sends);
    passed = expect(sends == 1, "a request with a repeated key is not sent again") && passed;
    passed = expect(ordered.error == errc::ok && repeated.error == errc::ok &&
                        ordered.result == repeated.result,
                    "both callers receive the recorded answer") &&
             passed;
    std::cout << "permits from view " << agent.current()->number << ", order answered "
              << ordered.result.status << " after " << sends << " send\n";
    return passed ? 0 : 1;
}
