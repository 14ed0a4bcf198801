#include <cstdio>  // for stderr
#include <exception>  // for exception

#include <fmt/format.h>  // for print

#include "commands.hpp"  // for runServe, runCheck, runPublish

namespace {

using poplarstream::CommandLine;

int printUsage(const std::string &command)
{
    fmt::print(stderr, "{}", poplarstream::helpText(command));
    return poplarstream::exitUsage;
}

int runCommand(const CommandLine &commandLine)
{
    using Command = int (*)(const CommandLine &);
    const std::pair<const char *, Command> commands[] = {
            {"serve", poplarstream::runServe},
            {"entry", poplarstream::runEntry},
            {"check", poplarstream::runCheck},
            {"publish", poplarstream::runPublish},
            {"document", poplarstream::runDocument},
            {"status", poplarstream::runStatus},
            {"explain", poplarstream::runExplain},
            {"events", [](const CommandLine &) { return poplarstream::runEvents(); }},
    };
    for (const auto &[name, command] : commands) {
        if (commandLine.command == name) {
            const int exitStatus = command(commandLine);
            return exitStatus == poplarstream::exitUsage ? printUsage(commandLine.command)
                                                         : exitStatus;
        }
    }
    if (!commandLine.command.empty()) {
        fmt::print(stderr, "unknown command '{}'\n", commandLine.command);
    }
    return printUsage({});
}

}  // namespace

int main(int argc, char **argv)
{
    try {
        const CommandLine commandLine = poplarstream::parseCommandLine(argc, argv);
        if (commandLine.hasUsageError) {
            return printUsage(commandLine.command);
        }
        if (commandLine.wantsVersion) {
            fmt::print("poplarstream {}\n", POPLAR_VERSION);
            return poplarstream::exitDone;
        }
        if (commandLine.wantsHelp) {
            fmt::print("{}", poplarstream::helpText(commandLine.command));
            return poplarstream::exitDone;
        }
        return runCommand(commandLine);
    } catch (const std::exception &error) {
        fmt::print(stderr, "poplarstream: {}\n", error.what());
        return poplarstream::exitFailed;
    }
}
