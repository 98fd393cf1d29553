#include <endivestage/daemon/commands.hpp>

#include <exception>
#include <iostream>

int main(int argc, char** argv)
{
    try
    {
        return endivestage::daemon::run_command_line(argc, argv);
    }
    catch (const std::exception& error)
    {
        std::cerr << "error=internal reason=\"" << error.what() << "\"\n";
        return endivestage::daemon::exit_failure;
    }
}
