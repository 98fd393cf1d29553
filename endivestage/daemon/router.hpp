/// \file
/// \brief A router process: all services with their sockets.
#pragma once

#include <endivestage/core.hpp>
#include <endivestage/daemon/settings.hpp>

#include <memory>

namespace endivestage::daemon
{

/// \brief Runs one router.
class router
{
public:
    /// \param settings Checked settings; must outlive the router.
    explicit router(const router_settings& settings);
    ~router();
    router(const router&) = delete;
    router& operator=(const router&) = delete;

    /// \brief Opens all sockets and starts all services.
    /// \returns The error of the first socket that could not be opened, for example because its
    /// port is in use.
    std::error_code start();

    /// \brief Serves until the planned stop has ended. SIGTERM and SIGINT begin it; a second
    /// signal ends the process at once.
    void run();

private:
    struct parts;
    std::unique_ptr<parts> parts_;
};

} // namespace endivestage::daemon
