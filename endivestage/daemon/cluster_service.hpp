/// \file
/// \brief Failure detection, view and push tree of a running router.
#pragma once

#include <endivestage/daemon/datagram.hpp>
#include <endivestage/daemon/node_context.hpp>
#include <endivestage/daemon/wire.hpp>
#include <endivestage/membership.hpp>
#include <endivestage/ownership.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <vector>

namespace endivestage::daemon
{

/// \brief What other services do when the cluster changes. Called without any lock held.
class cluster_observer
{
public:
    virtual ~cluster_observer() = default;

    virtual void on_became_owner(const ownership_acquired& takeover) = 0;
    virtual void on_stopped_owning(const ownership_lost& ended) = 0;
    virtual void on_router_dead(const router_id& router) = 0;
    /// \param from Router that the value came from.
    virtual void on_announcement(const announcement& item, const router_id& from) = 0;

protected:
    cluster_observer() = default;
    cluster_observer(const cluster_observer&) = default;
    cluster_observer& operator=(const cluster_observer&) = default;
};

/// \brief Runs the failure detector and the view agent.
class cluster_service
{
public:
    /// \param datagrams Set by the owner before start; must outlive the service.
    explicit cluster_service(node_context& node);

    /// \brief Starts probing, confirming and answering peers.
    /// \param observer Must outlive the service.
    void start(datagram_socket& datagrams, cluster_observer& observer);

    /// \brief Takes a received datagram.
    void on_datagram(const datagram& received);

    /// \brief Takes the routers of the host list.
    void on_hosts(std::span<const router_host> routers);

    /// \brief Takes the engines of this region.
    void set_engines(std::span<const endpoint_id> engines);

    /// \brief Pushes a value to all routers and adds it to the gossip.
    void spread(announcement item);

    /// \brief Marks this router as leaving.
    void leave();

    /// \returns Whether this router may issue permits for the engine now.
    std::error_code may_issue(const endpoint_id& engine) const;

    /// \returns The newest view, or null.
    view_pointer view_now() const;

    /// \returns Live routers other than this one, by the failure detector.
    std::vector<member> live_peers() const;

    /// \returns Whether the failure detector believes the router alive and not leaving.
    bool is_serving(const router_id& router) const;

    /// \returns This run of this router.
    message_origin origin() const;

private:
    void tick();
    void run(membership_actions actions, const router_id& from);
    void run(view_actions actions);
    void update_members();
    template <class Message>
    void send(const send_message<Message>& action, const char* path);
    awaitable<void> deliver(member to, std::string path, boost::json::object body);
    view_actions take(const view_message& message);
    awaitable<rpc_answer> on_view_call(const boost::json::object& body);
    awaitable<rpc_answer> on_push(router_id from, const boost::json::object& body);
    void push(const announcement& item, const router_id& root);

    node_context& node_;
    datagram_socket* datagrams_ = nullptr;
    cluster_observer* observer_ = nullptr;

    mutable std::mutex mutex_; ///< Guards the members below.
    failure_detector detector_;
    view_agent agent_;
};

} // namespace endivestage::daemon
