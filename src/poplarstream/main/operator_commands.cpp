#include <fmt/format.h>  // for print

#include "commands.hpp"  // for publish, status, explain
#include "operator_call.hpp"  // for callOperators
#include "poplarstream/telemetry/event.hpp"  // for eventCatalogueMarkdown

namespace poplarstream {

namespace {

constexpr std::string_view versionMark = "# version: ";

// The version from the line '# version: N' of a document; empty if there is none.
std::string versionLine(std::string_view text)
{
    const std::size_t begin = text.find(versionMark);
    if (begin == std::string_view::npos) {
        return {};
    }
    const std::string_view rest = text.substr(begin + versionMark.size());
    return std::string(rest.substr(0, rest.find_first_not_of("0123456789")));
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
    fmt::print("{}", eventCatalogueMarkdown());
    return exitDone;
}

}  // namespace poplarstream
