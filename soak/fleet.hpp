/// \file
/// \brief Routers as processes, and what surrounds them: store, engines and disturbed links.
#pragma once

#include <endivestage/core.hpp>
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

/// \brief Size of a run, and where it keeps its files.
struct soak_fleet_settings
{
    std::string program; ///< The router's binary.
    std::string folder;  ///< Settings and logs of the routers.
    std::uint64_t seed = 1;
    std::size_t router_count = 5;
    std::size_t engine_count = 5;
};

/// \brief How an engine answers for a while.
enum class engine_behavior
{
    normal,
    failing,    ///< Status 500 after the request ran.
    truncated,  ///< The connection ends in the middle of the answer.
    mismatched, ///< The answer of another request comes first.
    reset,      ///< The request runs and the connection is reset.
    silent,     ///< The request runs and nothing comes.
    full,       ///< Turned away, not run.
};

/// \brief One router with its links.
struct soak_router
{
    std::string name;
    std::string host;
    std::unique_ptr<standin::fault_proxy> store_link;
    std::unique_ptr<router_process> process;
    bool stopping = false;      ///< Asked to stop; nothing else was done to it since it started.
    bool exit_expected = false; ///< Asked to stop or killed since it started.
    bool paused = false;
};

/// \brief One engine with the link to it.
struct soak_engine
{
    std::string id;
    std::string zone;
    std::int64_t incarnation = 0;
    engine_behavior behavior = engine_behavior::normal;
    std::unique_ptr<standin::platform_engine> server;
    std::unique_ptr<standin::fault_proxy> link;
    bool draining = false;
    time_point cold_until;
};

/// \brief Everything around the callers. Single-threaded.
class soak_fleet
{
public:
    soak_fleet(boost::asio::io_context& context, soak_fleet_settings settings);

    /// \brief Starts store, engines and routers.
    /// \returns false when an address is taken or the program cannot be started.
    bool start();

    /// \brief Starts an engine that is new to the fleet.
    /// \param cold Whether it says that it bears little for three seconds.
    bool add_engine(bool cold);

    /// \brief The engine says that it leaves; its record goes after \p engine_leave_time.
    void begin_drain(soak_engine& engine);
    void remove(soak_engine& engine);

    /// \brief The engine writes its record, as it does again and again.
    void write_engine_record(const soak_engine& engine);

    void write_configuration();

    /// \returns Bytes that the answer to a request must have.
    static std::string expected_body(const std::string& request);
    static std::string expected_event(const std::string& request, int number);
    static int event_count(const std::string& request);

    static daemon::network_address caller_address(const soak_router& router);
    static daemon::network_address directory_address(const soak_router& router);

    time_point now() const { return clock_.now(); }

    promise_checker checker;
    standin::platform_store store;
    std::vector<std::unique_ptr<soak_router>> routers;
    std::vector<std::unique_ptr<soak_engine>> engines;
    std::vector<std::string> keys{"key-a", "key-b", "key-c"};
    const std::vector<std::string> all_keys = keys; ///< Callers go on using withdrawn ones.
    seeded_random random;

private:
    bool add_router(std::size_t number);
    standin::engine_reply answer(soak_engine& engine, const daemon::http_request& request);

    boost::asio::io_context& context_;
    soak_fleet_settings settings_;
    daemon::process_clock clock_;
    std::uint64_t version_ = 1;
    std::size_t engines_made_ = 0;
};

} // namespace endivestage::soak
