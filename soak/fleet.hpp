/// \file
/// \brief Router processes, simulated store and engines, and links with injected faults.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/daemon/http_connection.hpp>
#include <endivestage/daemon/network_address.hpp>
#include <endivestage/daemon/process_clock.hpp>
#include <soak/promises.hpp>
#include <soak/router_process.hpp>
#include <standin/fault_proxy.hpp>
#include <standin/platform_engine.hpp>
#include <standin/platform_store.hpp>

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

namespace endivestage::soak
{

/// \brief Size and files of a run.
struct soak_fleet_settings
{
    std::string program; ///< Path of the router's executable.
    std::string folder;  ///< Holds settings and logs of the routers.
    std::uint64_t seed = 1;
    std::size_t router_count = 5;
    std::size_t engine_count = 5;
};

/// \brief How an engine responds.
enum class engine_behavior
{
    normal,
    failing,    ///< Status 500, or one that HTTP does not define, after the request ran.
    truncated,  ///< The connection ends in the middle of the response, or an error ends a stream.
    mismatched, ///< The response to another request, or a refusal of none, comes first.
    reset,      ///< The request runs, then the connection is reset.
    silent,     ///< The request runs without a response.
    full,       ///< The request is refused and does not run.
};

/// \brief A router process and its link to the store.
struct soak_router
{
    std::string name;
    std::string host;
    std::unique_ptr<standin::fault_proxy> store_link;
    std::unique_ptr<router_process> process;
    bool stopping = false;      ///< Asked to stop, and not killed or paused since it started.
    bool exit_expected = false; ///< Asked to stop or killed since it started.
    bool paused = false;
    bool listening = false; ///< Has listened since it started; signals before that could kill it.
};

/// \brief A simulated engine and the link to it.
struct soak_engine
{
    std::string id;
    std::string zone;
    std::int64_t incarnation = 0; ///< Grows with each simulated restart.
    std::string version;
    engine_behavior behavior = engine_behavior::normal;
    std::unique_ptr<standin::platform_engine> server;
    std::unique_ptr<standin::fault_proxy> link;
    bool draining = false;
    time_point cold_until;
};

/// \returns Whether a server accepts connections at an address.
daemon::awaitable<bool> is_listening(daemon::network_address address);

/// \brief All components but the callers. Single-threaded.
class soak_fleet
{
public:
    static constexpr millis route_timeout{4000};
    /// Longer delays of this process are measured.
    static constexpr millis observation_interval{10};

    soak_fleet(boost::asio::io_context& context, soak_fleet_settings settings);

    /// \brief Starts store, engines and routers.
    /// \returns Whether all addresses were free and the program could be started.
    bool start();

    /// \brief Starts a new engine.
    /// \param cold Whether its record states that it is cold, for 3 seconds.
    bool add_engine(bool cold);

    /// \brief Marks an engine as draining in its record. The caller removes it later.
    void begin_drain(soak_engine& engine);

    /// \brief Erases the record of an engine and closes its connections.
    void remove(soak_engine& engine);

    /// \brief Cuts the links of one router to all engines, also to those that are added later.
    /// \param fault none ends the cut.
    void set_router_cut(soak_router& router, standin::link_fault fault);

    bool has_router_cut() const { return cut_ != standin::link_fault::none; }

    /// \brief Writes the record of an engine to the store, as an engine does periodically.
    void write_engine_record(const soak_engine& engine);

    /// \returns One of the two versions that serve side by side.
    std::string random_version();

    /// \brief Writes the next version of the configuration, with random limits and sometimes many
    /// more routes.
    void write_configuration();

    /// \returns The body that the response to a request must have.
    static std::string expected_body(const std::string& request);
    /// Ids count tokens, so they increase by more than one.
    static constexpr int tokens_per_event = 3;

    /// \param version Of the engine that makes the event.
    static std::string make_event(const std::string& request, int number,
                                  const std::string& version);
    static int event_count(const std::string& request);

    static daemon::network_address caller_address(const soak_router& router);
    static daemon::network_address directory_address(const soak_router& router);

    time_point now() const { return clock_.now(); }

    /// \returns Time of inactivity after which routers with the newest configuration may close a
    /// connection.
    millis idle_timeout() const { return idle_timeout_; }

    promise_checker checker;
    standin::platform_store store;
    std::vector<std::unique_ptr<soak_router>> routers;
    std::vector<std::unique_ptr<soak_engine>> engines;
    std::vector<std::string> keys{"key-a", "key-b", "key-c"};
    /// Including withdrawn keys, which callers still use.
    const std::vector<std::string> all_keys = keys;
    seeded_random random;

private:
    bool add_router(std::size_t number);
    void apply_router_cut(soak_engine& engine);
    standin::engine_reply respond(soak_engine& engine, const daemon::http_request& request);

    boost::asio::io_context& context_;
    soak_fleet_settings settings_;
    daemon::process_clock clock_;
    std::uint64_t configuration_version_ = 1;
    millis idle_timeout_{0};
    std::size_t created_engines_ = 0;
    soak_router* cut_router_ = nullptr;
    standin::link_fault cut_ = standin::link_fault::none;
};

} // namespace endivestage::soak
