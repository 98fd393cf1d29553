#include <soak/router_process.hpp>

#include <array>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sstream>
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

std::set<std::pair<std::uint16_t, std::uint16_t>> router_process::connections() const
{
    namespace fs = std::filesystem;
    std::set<std::pair<std::uint16_t, std::uint16_t>> found;
    std::set<std::string> sockets;
    std::error_code ec;
    fs::directory_iterator it("/proc/" + std::to_string(pid_) + "/fd", ec);
    for (; !ec && it != fs::directory_iterator(); it.increment(ec))
    {
        // A descriptor that was closed meanwhile has no target.
        std::error_code closed;
        sockets.insert(fs::read_symlink(it->path(), closed).string());
    }
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line);
    while (std::getline(table, line))
    {
        std::istringstream fields(line);
        std::string number, local, remote, skipped, inode;
        fields >> number >> local >> remote;
        for (int n = 0; n < 6; ++n)
        {
            fields >> skipped;
        }
        fields >> inode;
        if (sockets.contains("socket:[" + inode + "]"))
        {
            const auto port = [](const std::string& address)
            {
                constexpr int hexadecimal = 16;
                return static_cast<std::uint16_t>(
                    std::stoul(address.substr(address.find(':') + 1), nullptr, hexadecimal));
            };
            found.emplace(port(local), port(remote));
        }
    }
    return found;
}

} // namespace endivestage::soak
