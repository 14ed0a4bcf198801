#pragma once

#include <string>  // for string
#include <vector>  // for vector

namespace poplarstream {

// Exit statuses of the program.
inline constexpr int exitDone = 0;
inline constexpr int exitFailed = 1;
inline constexpr int exitUsage = 2;

// The options of all subcommands; each uses those that its help names.
struct CommandLine
{
    std::string command;
    std::vector<std::string> operands;
    std::string settingsFile;
    std::string operatorsAddress;  // ip:port
    std::string tokenFile;
    std::string author;
    std::string baseVersion;
    bool wantsHelp = false;
    bool wantsVersion = false;
    bool isWrong = false;  // a message was written to standard error
};

CommandLine parseCommandLine(int argc, char **argv);

// The help text of a subcommand, or of the program for an empty or unknown one.
std::string helpText(const std::string &command);

// The lines of a token file without blanks around them; empty lines and comments are left out.
std::vector<std::string> readTokenFile(const std::string &path);

// The whole file; throws std::runtime_error with the path when it cannot be read.
std::string readFile(const std::string &path);

}  // namespace poplarstream
