#include "command_line.hpp"

#include <getopt.h>  // for getopt_long

#include <fstream>  // for ifstream
#include <sstream>  // for ostringstream
#include <stdexcept>  // for runtime_error

#include <fmt/format.h>  // for format

namespace poplarstream {

namespace {

enum OptionCode : int { Help = 256, Version, Settings, Operators, TokenFile, Author, BaseVersion };

constexpr option longOptions[] = {
        {"help", no_argument, nullptr, Help},
        {"version", no_argument, nullptr, Version},
        {"settings", required_argument, nullptr, Settings},
        {"operators", required_argument, nullptr, Operators},
        {"token-file", required_argument, nullptr, TokenFile},
        {"author", required_argument, nullptr, Author},
        {"base-version", required_argument, nullptr, BaseVersion},
        {nullptr, 0, nullptr, 0},
};

void setOption(CommandLine &commandLine, int code)
{
    switch (code) {
    case Help:
        commandLine.wantsHelp = true;
        break;
    case Version:
        commandLine.wantsVersion = true;
        break;
    case Settings:
        commandLine.settingsFile = optarg;
        break;
    case Operators:
        commandLine.operatorsAddress = optarg;
        break;
    case TokenFile:
        commandLine.tokenFile = optarg;
        break;
    case Author:
        commandLine.author = optarg;
        break;
    case BaseVersion:
        commandLine.baseVersion = optarg;
        break;
    default:
        commandLine.hasUsageError = true;
    }
}

constexpr std::string_view operatorOptions =
        "  --operators IP:PORT  operators' address of an entry host\n"
        "  --token-file FILE    file with an operator's token\n";

}  // namespace

CommandLine parseCommandLine(int argc, char **argv)
{
    CommandLine commandLine;
    optind = 1;
    for (int code = 0; (code = getopt_long(argc, argv, "", longOptions, nullptr)) != -1;) {
        setOption(commandLine, code);
    }
    for (int i = optind; i < argc; ++i) {
        if (commandLine.command.empty()) {
            commandLine.command = argv[i];
        } else {
            commandLine.operands.emplace_back(argv[i]);
        }
    }
    return commandLine;
}

std::string helpText(const std::string &command)
{
    if (command == "serve") {
        return "usage: poplarstream serve --settings FILE\n"
               "Runs an entry host until SIGTERM or SIGINT, which begin a graceful shutdown.\n";
    }
    if (command == "entry") {
        return "usage: poplarstream entry [--settings FILE]\n"
               "Runs an entry host on the users' platform until SIGTERM or SIGINT. Without "
               "--settings, the\n"
               "file is the one that POPLARSTREAM_CONFIG names. SIGHUP checks the file again.\n";
    }
    if (command == "check") {
        return "usage: poplarstream check FILE...\n"
               "Checks settings and configuration documents and lists every fault. Changes "
               "nothing.\n";
    }
    if (command == "publish") {
        return fmt::format(
                "usage: poplarstream publish FILE --operators IP:PORT --token-file FILE\n"
                "                            [--base-version N] [--author NAME]\n"
                "Publishes a configuration document and waits until it is in force or refused.\n"
                "{}"
                "  --base-version N     the version that the document was written from; without "
                "it,\n"
                "                       the line '# version: N' of the document\n"
                "  --author NAME        recorded with the change\n",
                operatorOptions);
    }
    if (command == "document") {
        return fmt::format("usage: poplarstream document --operators IP:PORT --token-file FILE\n"
                           "Prints the configuration in force, with its version as first line.\n{}",
                           operatorOptions);
    }
    if (command == "status") {
        return fmt::format("usage: poplarstream status [hosts|pools|waves|runs|tenants|peers]\n"
                           "                           --operators IP:PORT --token-file FILE\n"
                           "Prints what one entry host knows, and how old that is, as JSON.\n{}",
                           operatorOptions);
    }
    if (command == "explain") {
        return fmt::format("usage: poplarstream explain ID --operators IP:PORT --token-file FILE\n"
                           "Prints the recorded decisions about a host, run, wave, change or "
                           "request.\n"
                           "On the users' platform: what the tasks of job ID wait for, from the "
                           "metrics address\n"
                           "of the entry host that owns its shard, without a token.\n{}",
                           operatorOptions);
    }
    if (command == "events") {
        return "usage: poplarstream events\nPrints the catalogue of log events as Markdown.\n";
    }
    return "usage: poplarstream COMMAND [OPTION]...\n"
           "  serve     run an entry host\n"
           "  entry     run an entry host on the users' platform\n"
           "  check     check settings and documents\n"
           "  publish   publish a configuration document\n"
           "  document  print the configuration in force\n"
           "  status    print what an entry host knows\n"
           "  explain   print recorded decisions and their reasons\n"
           "  events    print the catalogue of log events\n"
           "Each command has --help. --version prints the version.\n"
           "Exit status: 0 done, 1 failed, 2 wrong usage.\n";
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
        throw std::runtime_error(fmt::format("cannot read {}", path));
    }
    return text.str();
}

std::vector<std::string> readTokenFile(const std::string &path)
{
    std::istringstream lines(readFile(path));
    std::vector<std::string> tokens;
    for (std::string line; std::getline(lines, line);) {
        const std::size_t begin = line.find_first_not_of(" \t\r");
        if (begin != std::string::npos && line[begin] != '#') {
            const std::size_t end = line.find_last_not_of(" \t\r");
            tokens.push_back(line.substr(begin, end - begin + 1));
        }
    }
    return tokens;
}

}  // namespace poplarstream
