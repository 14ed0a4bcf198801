#include "operator_call.hpp"

#include <optional>  // for optional
#include <stdexcept>  // for runtime_error

#include <boost/asio/io_context.hpp>  // for io_context
#include <fmt/format.h>  // for print

#include "poplarstream/adapters/http_client.hpp"  // for HttpClient

namespace poplarstream {

namespace {

// Longer than the entry host waits for the result of a publication.
constexpr Milliseconds callTimeout{15'000};

}  // namespace

HttpResponse callOperatorApi(const CommandLine &commandLine, HttpRequest request)
{
    const auto endpoint = endpointFromText(commandLine.operatorsAddress);
    if (!endpoint) {
        throw std::invalid_argument(fmt::format("expected --operators IP:PORT, found '{}'",
                                                commandLine.operatorsAddress));
    }
    if (!commandLine.tokenFile.empty()) {
        const std::vector<std::string> tokens = readTokenFile(commandLine.tokenFile);
        if (tokens.empty()) {
            throw std::invalid_argument(
                    fmt::format("expected a token in {}, the --token-file", commandLine.tokenFile));
        }
        request.headers.push_back({"Authorization", "Bearer " + tokens.front()});
    }
    boost::asio::io_context io;
    HttpClient client(io);
    std::optional<HttpOutcome> outcome;
    client.send(*endpoint, std::move(request), {.deadline = callTimeout},
                [&](HttpOutcome result) { outcome = std::move(result); });
    while (!outcome && io.run_one() > 0) {}
    if (!outcome || outcome->delivery != HttpDelivery::Answered) {
        throw std::runtime_error(
                fmt::format("no answer from {}: {}", commandLine.operatorsAddress,
                            httpErrorText(outcome ? outcome->error : HttpError::Cancelled)));
    }
    return std::move(outcome->response);
}

int printResponse(const HttpResponse &response)
{
    fmt::print("{}\n", response.body);
    return response.status < 300 ? exitDone : exitFailed;
}

}  // namespace poplarstream
