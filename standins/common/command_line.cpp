#include "common/command_line.hpp"

#include <cstdio>  // for stderr
#include <cstdlib>  // for exit

#include <fmt/format.h>  // for print
#include <getopt.h>  // for getopt_long

namespace poplarstream::standins {

namespace {

void printUsage(std::FILE *out, const char *program, const std::string &purpose,
                const std::vector<Option> &options)
{
    fmt::print(out, "usage: {} [options]\n{}\n\n", program, purpose);
    for (const Option &option : options) {
        const std::string hint = option.fallback.empty()  ? "required"
                                 : option.fallback == "-" ? "optional"
                                                          : "default " + option.fallback;
        fmt::print(out, "  --{:<18} {} ({})\n", option.name, option.help, hint);
    }
}

}  // namespace

Options parseCommandLine(int argc, char **argv, const std::string &purpose,
                         const std::vector<Option> &options)
{
    std::vector<option> table;
    Options values;
    for (const Option &item : options) {
        table.push_back({item.name.c_str(), required_argument, nullptr, 0});
        values[item.name] = item.fallback == "-" ? "" : item.fallback;
    }
    table.push_back({"help", no_argument, nullptr, 'h'});
    table.push_back({nullptr, 0, nullptr, 0});
    int index = 0;
    for (int code = 0; (code = getopt_long(argc, argv, "h", table.data(), &index)) != -1;) {
        if (code != 0) {
            printUsage(code == 'h' ? stdout : stderr, argv[0], purpose, options);
            std::exit(code == 'h' ? 0 : 2);
        }
        values[options[static_cast<std::size_t>(index)].name] = optarg;
    }
    for (const Option &item : options) {
        if (values[item.name].empty() && item.fallback != "-") {
            fmt::print(stderr, "{}: option --{} is required\n", argv[0], item.name);
            std::exit(2);
        }
    }
    return values;
}

double numberOption(const Options &options, const std::string &name)
{
    const std::string &text = options.at(name);
    char *end = nullptr;
    const double value = std::strtod(text.c_str(), &end);
    if (text.empty() || *end != '\0') {
        fmt::print(stderr, "option --{} needs a number, not '{}'\n", name, text);
        std::exit(2);
    }
    return value;
}

}  // namespace poplarstream::standins
