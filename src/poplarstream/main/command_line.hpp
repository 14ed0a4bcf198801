#pragma once

#include <string>  // for string
#include <vector>  // for vector

namespace poplarstream {

// Exit statuses of the program.
inline constexpr int exitDone = 0;
inline constexpr int exitFailed = 1;
inline constexpr int exitUsage = 2;

// The options of all subcommands. Each subcommand uses those that its help lists.
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
    bool hasUsageError = false;  // getopt_long has printed the message
};

CommandLine parseCommandLine(int argc, char **argv);

// The help text of a subcommand, or of the program when the name is empty or unknown.
std::string helpText(const std::string &command);

// The tokens of a file, one a line, without surrounding white space. Skips empty lines and
// comments.
std::vector<std::string> readTokenFile(const std::string &path);

// The content of the file. Throws std::runtime_error with the path when it cannot be read.
std::string readFile(const std::string &path);

}  // namespace poplarstream
