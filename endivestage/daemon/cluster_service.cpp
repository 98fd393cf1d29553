#include <endivestage/daemon/cluster_service.hpp>

#include <endivestage/daemon/json_access.hpp>

#include <utility>

namespace endivestage::daemon
{

namespace json = boost::json;

namespace
{

constexpr millis tick_period{50};
constexpr millis message_timeout{1000};

member make_self(const node_context& node)
{
    member self;
    self.id = node.settings.id;
    self.zone = node.settings.zone;
    self.host = node.settings.advertised_host;
    self.port = node.settings.peer_port;
    self.udp_port = node.settings.udp_port;
    self.incarnation = node.incarnation;
    return self;
}

swim_config make_swim_config(const timing_settings& timing)
{
    swim_config config;
    config.probe_interval = timing.probe_period;
    config.probe_timeout = timing.probe_timeout;
    // The default of three periods makes a dead owner's engines wait two seconds longer; a false
    // alarm costs one view change only.
    config.suspicion_intervals = 1.0;
    return config;
}

view_config make_view_config(const timing_settings& timing)
{
    view_config config;
    config.confirmation_window = timing.confirmation_window;
    config.confirmation_margin = timing.confirmation_margin;
    config.confirm_interval = timing.confirmation_window / 2;
    config.row_read_delay = timing.confirmation_window * 13 / 20;
    config.takeover_delay = timing.proposer_takeover;
    return config;
}

announcement decode_announcement(const json::object& object)
{
    return {get_text(object, "key"), get_text(object, "value"), get_unsigned(object, "version")};
}

} // namespace

cluster_service::cluster_service(node_context& node)
    : node_(node),
      detector_(make_swim_config(node.settings.timing), make_self(node), node.random),
      agent_(make_view_config(node.settings.timing), node.settings.region, make_self(node))
{
}

void cluster_service::start(datagram_socket& datagrams, cluster_observer& observer)
{
    datagrams_ = &datagrams;
    observer_ = &observer;
    node_.rpc.handle("/view/message",
                     [this](router_id, const json::object& body) { return on_view_call(body); });
    node_.rpc.handle("/push", [this](router_id from, const json::object& body)
                     { return on_push(std::move(from), body); });
    spawn_loop(node_.io, tick_period,
               [this]() -> awaitable<void>
               {
                   tick();
                   co_return;
               });
}

void cluster_service::tick()
{
    membership_actions membership;
    view_actions views;
    {
        const std::scoped_lock lock(mutex_);
        membership = detector_.tick(node_.time.now());
        views = agent_.tick(node_.time.now());
    }
    run(std::move(membership), node_.settings.id);
    run(std::move(views));
    update_members();
}

void cluster_service::update_members()
{
    view_actions views;
    {
        const std::scoped_lock lock(mutex_);
        const time_point now = node_.time.now();
        const view_pointer present = agent_.current();
        const std::vector<member> live =
            present ? detector_.live_members(now, present->members) : detector_.live_members(now);
        views = agent_.on_membership(live, now);
    }
    run(std::move(views));
}

void cluster_service::on_datagram(const datagram& received)
{
    const result<packet> content = decode_packet(received.payload);
    if (!content || content->from.id != received.from)
    {
        return;
    }
    membership_actions actions;
    {
        const std::scoped_lock lock(mutex_);
        actions = detector_.receive(*content, node_.time.now());
    }
    run(std::move(actions), received.from);
}

void cluster_service::on_hosts(std::span<const router_host> routers)
{
    std::vector<host_candidate> candidates;
    for (const router_host& router : routers)
    {
        if (router.region != node_.settings.region || router.id == node_.settings.id)
        {
            continue;
        }
        member who;
        who.id = router.id;
        who.zone = router.zone;
        who.host = router.host;
        who.port = router.peer_port;
        who.udp_port = router.udp_port;
        who.leaving = router.leaving;
        candidates.push_back({std::move(who)});
    }
    membership_actions actions;
    {
        const std::scoped_lock lock(mutex_);
        actions = detector_.set_candidates(candidates, node_.time.now());
    }
    run(std::move(actions), node_.settings.id);
}

void cluster_service::set_engines(std::span<const endpoint_id> engines)
{
    view_actions actions;
    {
        const std::scoped_lock lock(mutex_);
        actions = agent_.set_endpoints(engines, node_.time.now());
    }
    run(std::move(actions));
}

void cluster_service::leave()
{
    const std::scoped_lock lock(mutex_);
    detector_.leave();
}

std::error_code cluster_service::may_issue(const endpoint_id& engine) const
{
    const std::scoped_lock lock(mutex_);
    return agent_.may_issue(engine, node_.time.now());
}

view_pointer cluster_service::view_now() const
{
    const std::scoped_lock lock(mutex_);
    return agent_.current();
}

std::vector<member> cluster_service::live_peers() const
{
    std::vector<member> peers;
    const std::scoped_lock lock(mutex_);
    for (member& who : detector_.live_members(node_.time.now()))
    {
        if (who.id != node_.settings.id)
        {
            peers.push_back(std::move(who));
        }
    }
    return peers;
}

bool cluster_service::is_serving(const router_id& router) const
{
    const std::scoped_lock lock(mutex_);
    if (router == node_.settings.id)
    {
        return !detector_.self().leaving;
    }
    const std::optional<member_update> known = detector_.find(router);
    return known && known->state != member_state::dead && !known->who.leaving;
}

message_origin cluster_service::origin() const
{
    return {node_.settings.id, node_.incarnation};
}

void cluster_service::run(membership_actions actions, const router_id& from)
{
    for (membership_action& action : actions)
    {
        if (const send_packet* outgoing = std::get_if<send_packet>(&action))
        {
            datagrams_->send({outgoing->to.host, outgoing->to.udp_port},
                             encode_packet(outgoing->content));
        }
        else if (const member_changed* change = std::get_if<member_changed>(&action))
        {
            const bool dead = change->state == member_state::dead;
            const bool alive = change->state == member_state::alive;
            node_.events.record(dead    ? event_kind::member_failed
                                : alive ? event_kind::member_joined
                                        : event_kind::member_suspected,
                                {{"router", change->router.id.str()}});
            if (dead)
            {
                observer_->on_router_dead(change->router.id);
            }
        }
        else if (const announcement_received* news = std::get_if<announcement_received>(&action))
        {
            observer_->on_announcement(news->item, from);
        }
    }
}

template <class Message>
void cluster_service::send(const send_message<Message>& action, const char* path)
{
    spawn(node_.io,
          [this, to = action.to, path = std::string(path),
           body = encode(view_message(action.content))] { return deliver(to, path, body); });
}

void cluster_service::run(view_actions actions)
{
    for (view_action& action : actions)
    {
        if (table_request* request = std::get_if<table_request>(&action))
        {
            node_.platform.submit(std::move(request->operation),
                                  [this, token = request->token](const table_result& outcome)
                                  {
                                      view_actions next;
                                      {
                                          const std::scoped_lock lock(mutex_);
                                          next = agent_.on_table_result(token, outcome,
                                                                        node_.time.now());
                                      }
                                      run(std::move(next));
                                  });
        }
        else if (const auto* confirm = std::get_if<send_message<confirm_request>>(&action))
        {
            send(*confirm, "/view/message");
        }
        else if (const auto* answer = std::get_if<send_message<confirm_answer>>(&action))
        {
            send(*answer, "/view/message");
        }
        else if (const auto* announce = std::get_if<send_message<view_announce>>(&action))
        {
            send(*announce, "/view/message");
        }
        else if (const auto* ack = std::get_if<send_message<view_acknowledgement>>(&action))
        {
            send(*ack, "/view/message");
        }
        else if (const view_adopted* adopted = std::get_if<view_adopted>(&action))
        {
            membership_actions learned;
            {
                const std::scoped_lock lock(mutex_);
                learned = detector_.add_view_members(adopted->adopted->members, node_.time.now());
            }
            run(std::move(learned), node_.settings.id);
            node_.events.record(adopted->adopted->state == view_state::active
                                    ? event_kind::view_active
                                    : event_kind::view_proposed,
                                {{"number", std::to_string(adopted->adopted->number)},
                                 {"members", std::to_string(adopted->adopted->members.size())}});
        }
        else if (const ownership_acquired* takeover = std::get_if<ownership_acquired>(&action))
        {
            observer_->on_became_owner(*takeover);
        }
        else if (const ownership_lost* ended = std::get_if<ownership_lost>(&action))
        {
            observer_->on_stopped_owning(*ended);
        }
    }
}

// The receiver answers within the same call where it can, which halves the number of calls.
awaitable<void> cluster_service::deliver(member to, std::string path, json::object body)
{
    const rpc_answer answer = co_await node_.rpc.call(peer_address_of(to), std::move(path),
                                                      std::move(body), message_timeout);
    if (!answer)
    {
        co_return;
    }
    const result<view_message> reply = decode_view_message(get_object(*answer, "reply"));
    if (reply)
    {
        run(take(*reply));
    }
}

view_actions cluster_service::take(const view_message& message)
{
    const std::scoped_lock lock(mutex_);
    return std::visit([this](const auto& content)
                      { return agent_.on_message(content, node_.time.now()); },
                      message);
}

awaitable<rpc_answer> cluster_service::on_view_call(const json::object& body)
{
    const result<view_message> message = decode_view_message(body);
    if (!message)
    {
        co_return message.error();
    }
    const message_origin from =
        std::visit([](const auto& content) { return content.from; }, *message);
    json::object reply;
    view_actions rest;
    for (view_action& action : take(*message))
    {
        const auto* answer = std::get_if<send_message<confirm_answer>>(&action);
        const auto* ack = std::get_if<send_message<view_acknowledgement>>(&action);
        if (answer != nullptr && answer->to.id == from.id && reply.empty())
        {
            reply = encode(view_message(answer->content));
        }
        else if (ack != nullptr && ack->to.id == from.id && reply.empty())
        {
            reply = encode(view_message(ack->content));
        }
        else
        {
            rest.push_back(std::move(action));
        }
    }
    run(std::move(rest));
    co_return json::object{{"reply", std::move(reply)}};
}

void cluster_service::spread(announcement item)
{
    {
        const std::scoped_lock lock(mutex_);
        detector_.announce(item);
    }
    push(item, node_.settings.id);
}

void cluster_service::push(const announcement& item, const router_id& root)
{
    const view_pointer present = view_now();
    if (!present)
    {
        return;
    }
    for (const member& child : broadcast_children(present->members, root, node_.settings.id))
    {
        json::object body{{"key", item.key},
                          {"value", item.value},
                          {"version", item.version},
                          {"root", root.str()}};
        spawn(node_.io,
              [this, child, body]() -> awaitable<void>
              {
                  json::object content = body;
                  co_await node_.rpc.call(peer_address_of(child), "/push", std::move(content),
                                          message_timeout);
              });
    }
}

awaitable<rpc_answer> cluster_service::on_push(router_id from, const json::object& body)
{
    const announcement item = decode_announcement(body);
    bool news = false;
    {
        const std::scoped_lock lock(mutex_);
        const std::optional<announcement> known = detector_.find_announcement(item.key);
        news = !known || known->version < item.version;
        detector_.announce(item);
    }
    if (news)
    {
        push(item, router_id(get_text(body, "root")));
        observer_->on_announcement(item, from);
    }
    co_return json::object{};
}

} // namespace endivestage::daemon
