/// \file
/// \brief Gets a permit for a chat from the best of its candidate engines.
#pragma once

#include <endivestage/daemon/admission_service.hpp>
#include <endivestage/daemon/configuration_service.hpp>
#include <endivestage/placement.hpp>

#include <set>
#include <vector>

namespace endivestage::daemon
{

/// \brief A chat request as far as placement needs it.
struct placement_request
{
    request_id request;
    team_id team;
    pool_id pool;
    chat_id chat;
    std::uint8_t priority = 0;
    std::uint32_t history_tokens = 0;
    time_point deadline;
};

/// \brief An engine with a permit for it.
struct placed_request
{
    holding held;
    network_address address;
};

/// \brief Places requests of this router.
class placement_service
{
public:
    placement_service(node_context& node, configuration_service& configuration,
                      admission_service& admission);

    /// \brief Asks candidates, falls back to further ranks, waits at an engine at last.
    ///
    /// A refusal that does not concern the request itself (a leaving engine, a changed owner) is
    /// followed by another try until the deadline.
    /// \param excluded Engines that failed for this request.
    /// \returns The engine with a permit, or the typed reason why the request did not run.
    awaitable<result<placed_request>> place(const placement_request& request,
                                            const std::set<endpoint_id>& excluded);

private:
    awaitable<result<placed_request>> try_place(const placement_request& request,
                                                const std::set<endpoint_id>& excluded);
    awaitable<std::vector<result<holding>>> ask_all(const std::vector<endpoint_id>& engines,
                                                    const placement_request& request, bool wait);

    node_context& node_;
    configuration_service& configuration_;
    admission_service& admission_;
};

} // namespace endivestage::daemon
