#include <cstdio>  // for stderr
#include <exception>  // for exception

#include <fmt/format.h>  // for print

#include "commands.hpp"  // for serve, check, publish

namespace {

using poplarstream::CommandLine;

int usage(const std::string &command)
{
    fmt::print(stderr, "{}", poplarstream::helpText(command));
    return poplarstream::exitUsage;
}

int run(const CommandLine &line)
{
    using Command = int (*)(const CommandLine &);
    const std::pair<const char *, Command> commands[] = {
            {"serve", poplarstream::serve},
            {"entry", poplarstream::entry},
            {"check", poplarstream::check},
            {"publish", poplarstream::publish},
            {"document", poplarstream::printDocument},
            {"status", poplarstream::status},
            {"explain", poplarstream::explain},
            {"events", [](const CommandLine &) { return poplarstream::printEvents(); }},
    };
    for (const auto &[name, command] : commands) {
        if (line.command == name) {
            const int result = command(line);
            return result == poplarstream::exitUsage ? usage(line.command) : result;
        }
    }
    if (!line.command.empty()) {
        fmt::print(stderr, "unknown command '{}'\n", line.command);
    }
    return usage({});
}

}  // namespace

int main(int argc, char **argv)
{
    try {
        const CommandLine line = poplarstream::parseCommandLine(argc, argv);
        if (line.isWrong) {
            return usage(line.command);
        }
        if (line.wantsVersion) {
            fmt::print("poplarstream {}\n", POPLAR_VERSION);
            return poplarstream::exitDone;
        }
        if (line.wantsHelp) {
            fmt::print("{}", poplarstream::helpText(line.command));
            return poplarstream::exitDone;
        }
        return run(line);
    } catch (const std::exception &error) {
        fmt::print(stderr, "poplarstream: {}\n", error.what());
        return poplarstream::exitFailed;
    }
}
