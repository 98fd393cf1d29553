/// \file
/// \brief A router as a process of its own, disturbed by signals.
#pragma once

#include <string>
#include <sys/types.h>

namespace endivestage::soak
{

/// \brief Starts one program and ends it; never touches other processes.
class router_process
{
public:
    /// \param log File that gets the program's output; appended to.
    router_process(std::string program, std::string settings_file, std::string log);
    ~router_process();
    router_process(const router_process&) = delete;
    router_process& operator=(const router_process&) = delete;

    /// \returns Whether the program was started.
    bool start();

    /// \brief Sends a signal if the program runs.
    void send_signal(int number);

    /// \returns Whether it runs; collects it when it has ended.
    bool is_running();

    /// \returns How it ended last, as waitpid tells.
    int wait_status() const { return status_; }

private:
    std::string program_;
    std::string settings_file_;
    std::string log_;
    pid_t pid_ = -1;
    int status_ = 0;
};

} // namespace endivestage::soak
