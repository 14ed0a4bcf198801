#include "poplarstream/adapters/minion_client.hpp"

#include <charconv>  // for from_chars

namespace poplarstream {

namespace {

bool readNumber(std::string_view text, std::uint32_t &number)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc{} && end == text.data() + text.size();
}

MinionOutcome minionOutcomeOf(HttpOutcome &&outcome)
{
    MinionOutcome result{verdictOf(outcome.delivery), outcome.fault, 0, {}, {}, false};
    if (outcome.delivery != HttpDelivery::Answered) {
        return result;
    }
    const HttpHeaders &headers = outcome.response.headers;
    if (headerValue(headers, "Poplar-Verdict") == verdictText(Verdict::NotRun)) {
        result.verdict = Verdict::NotRun;
    }
    if (const auto load = headerValue(headers, "Poplar-Load")) {
        result.load = minionLoadFromText(*load);
    }
    result.isLeaving = headerValue(headers, "Poplar-State") == "leaving";
    result.status = outcome.response.status;
    result.body = std::move(outcome.response.body);
    return result;
}

}  // namespace

std::optional<MinionLoad> minionLoadFromText(std::string_view text)
{
    const std::size_t slash = text.find('/');
    MinionLoad load;
    if (slash == std::string_view::npos || !readNumber(text.substr(0, slash), load.busy)
        || !readNumber(text.substr(slash + 1), load.slots) || load.slots == 0) {
        return std::nullopt;
    }
    return load;
}

MinionClient makeMinionClient(HttpClient &client)
{
    MinionClient minions;
    minions.work = [&client](const HttpEndpoint &endpoint, MinionRequest request,
                             std::function<void(MinionOutcome)> done) {
        HttpRequest message{"POST", "/work", {}, std::move(request.payload), {}};
        message.headers = {{"Poplar-Request-Id", request.request.text()},
                           {"Poplar-Service", request.service.text()},
                           {"Poplar-Deadline-Ms", std::to_string(request.deadline.count())}};
        return client.send(endpoint, std::move(message), {request.deadline, "Poplar-Request-Id"},
                           [done = std::move(done)](HttpOutcome outcome) {
                               done(minionOutcomeOf(std::move(outcome)));
                           });
    };
    minions.cancel = [&client](std::uint64_t call) { client.cancel(call); };
    minions.health = [&client](const HttpEndpoint &endpoint, Milliseconds deadline,
                               std::function<void(MinionOutcome)> done) {
        client.send(endpoint, {"GET", "/health", {}, {}, {}}, {deadline, {}},
                    [done = std::move(done)](HttpOutcome outcome) {
                        done(minionOutcomeOf(std::move(outcome)));
                    });
    };
    return minions;
}

}  // namespace poplarstream
