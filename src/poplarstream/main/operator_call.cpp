#include "operator_call.hpp"

#include <optional>  // for optional
#include <stdexcept>  // for runtime_error

#include <boost/asio/io_context.hpp>  // for io_context
#include <fmt/format.h>  // for print

#include "poplarstream/adapters/http_client.hpp"  // for HttpClient

namespace poplarstream {

namespace {

// Longer than a publication waits for its outcome.
constexpr Milliseconds callDeadline{15'000};

}  // namespace

HttpResponse callOperators(const CommandLine &line, HttpRequest request)
{
    const auto endpoint = endpointFromText(line.operatorsAddress);
    if (!endpoint) {
        throw std::invalid_argument(
                fmt::format("expected --operators IP:PORT, found '{}'", line.operatorsAddress));
    }
    if (!line.tokenFile.empty()) {
        const std::vector<std::string> tokens = readTokenFile(line.tokenFile);
        if (tokens.empty()) {
            throw std::invalid_argument(
                    fmt::format("expected a token in {}, the --token-file", line.tokenFile));
        }
        request.headers.push_back({"Authorization", "Bearer " + tokens.front()});
    }
    boost::asio::io_context io;
    HttpClient client(io);
    std::optional<HttpOutcome> outcome;
    client.send(*endpoint, std::move(request), {.deadline = callDeadline},
                [&](HttpOutcome result) { outcome = std::move(result); });
    while (!outcome && io.run_one() > 0) {}
    if (!outcome || outcome->delivery != HttpDelivery::Answered) {
        throw std::runtime_error(
                fmt::format("no answer from {}: {}", line.operatorsAddress,
                            faultText(outcome ? outcome->fault : HttpFault::Cancelled)));
    }
    return std::move(outcome->response);
}

int printAnswer(const HttpResponse &response)
{
    fmt::print("{}\n", response.body);
    return response.status < 300 ? exitDone : exitFailed;
}

}  // namespace poplarstream
