#include "poplarstream/edge/peer_calls.hpp"

#include <nlohmann/json.hpp>  // for json

namespace poplarstream::edge {

namespace {

using nlohmann::json;
using Kind = PeerResponse::Kind;

constexpr std::string_view target = "/v1/owner";
constexpr unsigned statusOk = 200;
constexpr unsigned statusBadGateway = 502;

PeerResponse replyFrom(const HttpResponse &response)
{
    const json value = json::parse(response.body, nullptr, false);
    if (response.status != statusOk || !value.is_object()) {
        return {};
    }
    PeerResponse reply;
    reply.kind = static_cast<Kind>(value.value("kind", static_cast<int>(Kind::NoResponse)));
    reply.state = static_cast<jobs::JobState>(value.value("state", 0));
    reply.count = value.value("count", 0);
    return reply;
}

json recordsJson(const std::vector<StoredRecord> &records)
{
    json rows = json::array();
    for (const StoredRecord &record : records) {
        rows.push_back({record.key, record.value.value_or(std::string())});
    }
    return rows;
}

}  // namespace

void sendToPeer(HttpClient &client, const HttpEndpoint &address, const PeerRequest &question,
                Milliseconds deadline, std::function<void(PeerResponse)> done)
{
    const json body = {{"kind", static_cast<int>(question.kind)},
                       {"queue", question.queue.text()},
                       {"job", question.job.text()},
                       {"records", recordsJson(question.records)}};
    HttpRequest request;
    request.method = "POST";
    request.target = std::string(target);
    request.headers = {{"Content-Type", "application/json"}};
    request.body = body.dump();
    client.send(address, std::move(request), {deadline, {}},
                [done = std::move(done)](const HttpOutcome &outcome) {
                    if (outcome.delivery == HttpDelivery::Answered) {
                        done(replyFrom(outcome.response));
                        return;
                    }
                    PeerResponse reply;
                    reply.kind = outcome.delivery == HttpDelivery::NotSent ? Kind::NotOwner
                                                                           : Kind::NoResponse;
                    done(reply);
                });
}

std::optional<PeerRequest> peerRequestFrom(const HttpRequest &request)
{
    if (request.target != target) {
        return {};
    }
    try {
        const json value = json::parse(request.body);
        PeerRequest question;
        question.kind = static_cast<PeerRequest::Kind>(value.at("kind").get<int>());
        question.queue = jobs::QueueId(value.at("queue").get<std::string>());
        question.job = jobs::JobId(value.at("job").get<std::string>());
        for (const json &row : value.at("records")) {
            question.records.push_back(
                    {row.at(0).get<std::string>(), row.at(1).get<std::string>(), 0});
        }
        return question;
    } catch (const json::exception &) {
        return {};
    }
}

HttpResponse responseFor(const PeerResponse &reply)
{
    if (reply.kind == Kind::NoResponse) {
        return jsonResponse(statusBadGateway, "{}");
    }
    const json value = {{"kind", static_cast<int>(reply.kind)},
                        {"state", static_cast<int>(reply.state)},
                        {"count", reply.count}};
    return jsonResponse(statusOk, value.dump());
}

}  // namespace poplarstream::edge
