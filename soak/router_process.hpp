/// \file
/// \brief A router in its own process that is controlled by signals.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <sys/types.h>
#include <utility>

namespace endivestage::soak
{

/// \brief Starts and ends one process; never signals any other process.
class router_process
{
public:
    /// \param log_file The program's output is appended to this file.
    router_process(std::string program, std::string settings_file, std::string log_file);
    ~router_process();
    router_process(const router_process&) = delete;
    router_process& operator=(const router_process&) = delete;

    /// \brief Starts the process.
    /// \returns Whether it could be started.
    bool start();

    /// \brief Sends a signal if the process has not been reaped.
    void send_signal(int number);

    /// \brief Reaps the process if it has exited.
    /// \returns Whether the process is running.
    bool is_running();

    /// \returns The local and the remote port of each IPv4 TCP connection of the process.
    std::set<std::pair<std::uint16_t, std::uint16_t>> connections() const;

    /// \returns Status of the last exit as reported by waitpid.
    int wait_status() const { return wait_status_; }

private:
    std::string program_;
    std::string settings_file_;
    std::string log_file_;
    pid_t pid_ = -1;
    int wait_status_ = 0;
};

} // namespace endivestage::soak
