#include <algorithm>  // for min

#include <fmt/format.h>  // for print

#include "commands.hpp"  // for runPublish, runStatus, runExplain
#include "operator_call.hpp"  // for callOperatorApi
#include "poplarstream/telemetry/event.hpp"  // for eventCatalogueMarkdown

namespace poplarstream {

namespace {

constexpr std::string_view versionPrefix = "# version: ";

// The heading of docs/events.md, which is the output of `poplarstream events`.
constexpr std::string_view eventsPageHeading =
        "# Events\n\n"
        "Each line on standard output is one event: time, level, number, name, fields. A number "
        "never changes its meaning. `poplarstream events` prints this page.\n\n";

constexpr std::string_view digits = "0123456789";

// The version in the line '# version: N' of a document; empty if there is none. The prefix counts
// only at the start of a line, not within a value.
std::string versionFromDocument(std::string_view text)
{
    for (std::size_t begin = 0; begin < text.size();) {
        const std::size_t end = std::min(text.find('\n', begin), text.size());
        const std::string_view line = text.substr(begin, end - begin);
        if (line.starts_with(versionPrefix)) {
            const std::string_view rest = line.substr(versionPrefix.size());
            return std::string(rest.substr(0, rest.find_first_not_of(digits)));
        }
        begin = end + 1;
    }
    return {};
}

}  // namespace

int runPublish(const CommandLine &commandLine)
{
    if (commandLine.operands.size() != 1) {
        return exitUsage;
    }
    HttpRequest request{.method = "POST", .target = "/publish"};
    request.body = readFile(commandLine.operands.front());
    const std::string baseVersion = commandLine.baseVersion.empty()
                                            ? versionFromDocument(request.body)
                                            : commandLine.baseVersion;
    if (baseVersion.empty()) {
        fmt::print(stderr, "expected --base-version, since the document has no line '{}N'\n",
                   versionPrefix);
        return exitUsage;
    }
    if (baseVersion.find_first_not_of(digits) != std::string::npos) {
        fmt::print(stderr, "expected a version number as --base-version, found '{}'\n",
                   baseVersion);
        return exitUsage;
    }
    request.headers = {{"Content-Type", "text/plain"}, {"Poplar-Base-Version", baseVersion}};
    if (!commandLine.author.empty()) {
        request.headers.push_back({"Poplar-Author", commandLine.author});
    }
    return printResponse(callOperatorApi(commandLine, std::move(request)));
}

int runDocument(const CommandLine &commandLine)
{
    const HttpResponse response =
            callOperatorApi(commandLine, {.method = "GET", .target = "/document"});
    if (response.status < 300) {
        fmt::print("{}{}\n", versionPrefix,
                   headerValue(response.headers, "Poplar-Config-Version").value_or("0"));
    }
    return printResponse(response);
}

int runStatus(const CommandLine &commandLine)
{
    if (commandLine.operands.size() > 1) {
        return exitUsage;
    }
    const std::string topic =
            commandLine.operands.empty() ? "" : "/" + commandLine.operands.front();
    return printResponse(
            callOperatorApi(commandLine, {.method = "GET", .target = "/status" + topic}));
}

int runExplain(const CommandLine &commandLine)
{
    if (commandLine.operands.size() != 1) {
        return exitUsage;
    }
    return printResponse(callOperatorApi(
            commandLine, {.method = "GET", .target = "/explain/" + commandLine.operands.front()}));
}

int runEvents()
{
    fmt::print("{}{}", eventsPageHeading, eventCatalogueMarkdown());
    return exitDone;
}

}  // namespace poplarstream
