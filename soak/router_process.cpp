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

router_process::router_process(std::string program, std::string settings_file, std::string log)
    : program_(std::move(program)),
      settings_file_(std::move(settings_file)),
      log_(std::move(log))
{
}

router_process::~router_process()
{
    send_signal(SIGCONT);
    send_signal(SIGKILL);
    if (pid_ > 0)
    {
        waitpid(pid_, &status_, 0);
    }
}

bool router_process::start()
{
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    const mode_t mode = 0644;
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log_.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, mode);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    std::string command = "serve";
    std::string option = "--settings";
    std::array<char*, 5> arguments{program_.data(), command.data(), option.data(),
                                   settings_file_.data(), nullptr};
    const int failed =
        posix_spawn(&pid_, program_.c_str(), &files, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&files);
    if (failed != 0)
    {
        pid_ = -1;
    }
    return failed == 0;
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
    if (pid_ > 0 && waitpid(pid_, &status_, WNOHANG) == pid_)
    {
        pid_ = -1;
    }
    return pid_ > 0;
}

} // namespace endivestage::soak
