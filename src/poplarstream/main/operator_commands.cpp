#include <algorithm>  // for min

#include <fmt/format.h>  // for print

#include "commands.hpp"  // for publish, status, explain
#include "operator_call.hpp"  // for callOperators
#include "poplarstream/telemetry/event.hpp"  // for eventCatalogueMarkdown

namespace poplarstream {

namespace {

constexpr std::string_view versionMark = "# version: ";

// The head of docs/events.md, which is the output of `poplarstream events`.
constexpr std::string_view eventsPageHead =
        "# Events\n\n"
        "Each line on standard output is one event: time, level, number, name, fields. A number "
        "never changes its meaning. `poplarstream events` prints this page.\n\n";

constexpr std::string_view digits = "0123456789";

// The version from the line '# version: N' of a document; empty if there is none. A value that
// contains the mark is no such line.
std::string versionLine(std::string_view text)
{
    for (std::size_t begin = 0; begin < text.size();) {
        const std::size_t end = std::min(text.find('\n', begin), text.size());
        const std::string_view line = text.substr(begin, end - begin);
        if (line.starts_with(versionMark)) {
            const std::string_view rest = line.substr(versionMark.size());
            return std::string(rest.substr(0, rest.find_first_not_of(digits)));
        }
        begin = end + 1;
    }
    return {};
}

}  // namespace

int publish(const CommandLine &line)
{
    if (line.operands.size() != 1) {
        return exitUsage;
    }
    HttpRequest request{.method = "POST", .target = "/publish"};
    request.body = readFile(line.operands.front());
    const std::string base =
            line.baseVersion.empty() ? versionLine(request.body) : line.baseVersion;
    if (base.empty()) {
        fmt::print(stderr, "expected --base-version, since the document has no line '{}N'\n",
                   versionMark);
        return exitUsage;
    }
    if (base.find_first_not_of(digits) != std::string::npos) {
        fmt::print(stderr, "expected a version number as --base-version, found '{}'\n", base);
        return exitUsage;
    }
    request.headers = {{"Content-Type", "text/plain"}, {"Poplar-Base-Version", base}};
    if (!line.author.empty()) {
        request.headers.push_back({"Poplar-Author", line.author});
    }
    return printAnswer(callOperators(line, std::move(request)));
}

int printDocument(const CommandLine &line)
{
    const HttpResponse response = callOperators(line, {.method = "GET", .target = "/document"});
    if (response.status < 300) {
        fmt::print("{}{}\n", versionMark,
                   headerValue(response.headers, "Poplar-Config-Version").value_or("0"));
    }
    return printAnswer(response);
}

int status(const CommandLine &line)
{
    if (line.operands.size() > 1) {
        return exitUsage;
    }
    const std::string topic = line.operands.empty() ? "" : "/" + line.operands.front();
    return printAnswer(callOperators(line, {.method = "GET", .target = "/status" + topic}));
}

int explain(const CommandLine &line)
{
    if (line.operands.size() != 1) {
        return exitUsage;
    }
    return printAnswer(
            callOperators(line, {.method = "GET", .target = "/explain/" + line.operands.front()}));
}

int printEvents()
{
    fmt::print("{}{}", eventsPageHead, eventCatalogueMarkdown());
    return exitDone;
}

}  // namespace poplarstream
