// The holder's side of admission_service: getting, checking and returning permits.
#include <endivestage/daemon/admission_service.hpp>

#include <endivestage/daemon/json_access.hpp>
#include <endivestage/daemon/sleep.hpp>

#include <algorithm>
#include <boost/json.hpp>
#include <set>
#include <utility>

namespace endivestage::daemon
{

namespace json = boost::json;

namespace
{

constexpr millis renew_period{250};

} // namespace

// Keeps a waiting request in the owner's queue and notes when each renewal was sent, from which
// the time to use of the permit counts.
awaitable<void> admission_service::renew_while_waiting(member owner, acquire_message message,
                                                       std::shared_ptr<renewal_times> sent)
{
    for (;;)
    {
        co_await sleep_for(renew_period);
        if (sent->finished())
        {
            co_return;
        }
        const std::uint32_t renewal = sent->add(node_.time.now());
        if (owner.id == node_.settings.id)
        {
            renew_local({node_.settings.id, message.request.request}, message.engine, renewal);
        }
        else
        {
            json::object body{{"engine", message.engine.str()},
                              {"request", message.request.request.str()},
                              {"renewal", renewal}};
            co_await node_.rpc.call(peer_address_of(owner), "/permit/renew", std::move(body),
                                    peer_timeout);
        }
    }
}

awaitable<rpc_answer> admission_service::ask_owner(const member& owner, acquire_message message)
{
    if (owner.id == node_.settings.id)
    {
        co_return co_await acquire_here(std::move(message));
    }
    const millis timeout = message.request.wait_allowed ? std::max(peer_timeout, message.remaining)
                                                        : std::min(peer_timeout, message.remaining);
    json::object body = encode(message);
    co_return co_await node_.rpc.call(peer_address_of(owner), "/permit/acquire", std::move(body),
                                      timeout);
}

awaitable<result<holding>> admission_service::acquire(endpoint_id engine, permit_request request,
                                                      millis remaining)
{
    const view_pointer present = cluster_.view_now();
    const member* owner = present ? owner_of(*present, engine) : nullptr;
    if (owner == nullptr)
    {
        co_return make_error_code(errc::not_owner);
    }
    const member who = *owner;
    request.holder = node_.settings.id;
    acquire_message message{engine, request, remaining};
    std::shared_ptr<renewal_times> sent = std::make_shared<renewal_times>();
    sent->add(node_.time.now());
    if (request.wait_allowed)
    {
        spawn(node_.io,
              [this, who, message, sent] { return renew_while_waiting(who, message, sent); });
    }
    const rpc_answer answer = co_await ask_owner(who, std::move(message));
    sent->finish();
    if (!answer)
    {
        co_return answer.error();
    }
    const result<granted_permit> granted = decode_granted(*answer);
    if (!granted)
    {
        co_return granted.error();
    }
    const std::optional<time_point> asked = sent->find(granted->value.renewal);
    if (!asked)
    {
        co_return make_error_code(errc::conflict);
    }
    holding held{std::move(engine), *granted, request.request, request.chat, *asked};
    {
        const std::scoped_lock lock(mutex_);
        held_.insert_or_assign({held.engine, held.granted.value.key}, held);
    }
    if (const std::error_code ec = check(held))
    {
        release(held, {});
        co_return ec;
    }
    co_return held;
}

std::error_code admission_service::check(const holding& held) const
{
    const view_pointer present = cluster_.view_now();
    if (!present)
    {
        return make_error_code(errc::stale_view);
    }
    const permit_stamp stamp{held.engine, held.granted.owner.id, held.granted.owner.incarnation,
                             held.granted.value.key.view, held.granted.value.key.sequence};
    return check_permit(stamp, *present, held.asked, node_.time.now(),
                        held.granted.value.time_to_use);
}

void admission_service::release(const holding& held, const permit_outcome& outcome)
{
    {
        const std::scoped_lock lock(mutex_);
        held_.erase({held.engine, held.granted.value.key});
    }
    // The present owner counts the permit, also when another router issued it; the issuer hands its
    // account over without it.
    const view_pointer present = cluster_.view_now();
    const member* owner = present ? owner_of(*present, held.engine) : nullptr;
    const member* issuer = present ? find_member(present->members, held.granted.owner.id) : nullptr;
    if (owner != nullptr)
    {
        return_permit(*owner, held, outcome);
    }
    if (issuer != nullptr && issuer != owner)
    {
        return_permit(*issuer, held, outcome);
    }
}

void admission_service::return_permit(const member& to, const holding& held,
                                      const permit_outcome& outcome)
{
    const permit_key key = held.granted.value.key;
    if (to.id == node_.settings.id)
    {
        release_local(held.engine, key, held.granted.owner, outcome);
        return;
    }
    json::object body = encode(outcome);
    body["engine"] = held.engine.str();
    body["view"] = key.view;
    body["sequence"] = key.sequence;
    body["owner"] = held.granted.owner.id.str();
    body["owner_incarnation"] = held.granted.owner.incarnation;
    spawn(node_.io,
          [this, address = peer_address_of(to), body]() -> awaitable<void>
          {
              json::object content = body;
              co_await node_.rpc.call(address, "/permit/release", std::move(content), peer_timeout);
          });
}

std::size_t admission_service::held_count() const
{
    const std::scoped_lock lock(mutex_);
    return held_.size();
}

held_report admission_service::report_held(const endpoint_id& engine, std::uint64_t view_number)
{
    held_report report;
    report.from = cluster_.origin();
    report.view_number = view_number;
    const std::scoped_lock lock(mutex_);
    for (const std::pair<const held_key, holding>& entry : held_)
    {
        const holding& held = entry.second;
        if (held.engine == engine)
        {
            report.permits.push_back(
                {{held.granted.value.key, node_.settings.id, held.request, held.chat},
                 held.granted.owner});
        }
    }
    const time_point now = node_.time.now();
    std::erase_if(handovers_, [now](const auto& entry) { return entry.second.until < now; });
    const auto it = handovers_.find(engine);
    if (it != handovers_.end())
    {
        report.handover = it->second.value;
    }
    return report;
}

} // namespace endivestage::daemon
