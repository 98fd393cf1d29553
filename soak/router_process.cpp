#include <soak/router_process.hpp>

#include <array>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace endivestage::soak
{

router_process::router_process(std::string program, std::string settings_file, std::string log_file)
    : program_(std::move(program)),
      settings_file_(std::move(settings_file)),
      log_file_(std::move(log_file))
{
}

router_process::~router_process()
{
    send_signal(SIGCONT);
    send_signal(SIGKILL);
    if (pid_ > 0)
    {
        waitpid(pid_, &wait_status_, 0);
    }
}

bool router_process::start()
{
    posix_spawn_file_actions_t file_actions;
    posix_spawn_file_actions_init(&file_actions);
    const mode_t mode = 0644;
    posix_spawn_file_actions_addopen(&file_actions, STDOUT_FILENO, log_file_.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, mode);
    posix_spawn_file_actions_adddup2(&file_actions, STDOUT_FILENO, STDERR_FILENO);
    std::string command = "serve";
    std::string option = "--settings";
    std::array<char*, 5> arguments{program_.data(), command.data(), option.data(),
                                   settings_file_.data(), nullptr};
    const int error =
        posix_spawn(&pid_, program_.c_str(), &file_actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&file_actions);
    if (error != 0)
    {
        pid_ = -1;
    }
    return error == 0;
}

void router_process::send_signal(int number)
{
    if (pid_ > 0)
    {
        kill(pid_, number);
    }
}

bool router_process::is_running()
{
    if (pid_ > 0 && waitpid(pid_, &wait_status_, WNOHANG) == pid_)
    {
        pid_ = -1;
    }
    return pid_ > 0;
}

} // namespace endivestage::soak
