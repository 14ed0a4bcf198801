#include "poplarstream/edge/peer_calls.hpp"

#include <exception>  // for exception

#include <nlohmann/json.hpp>  // for json

#include "poplarstream/base/bounded_json.hpp"  // for parseBoundedJsonOrThrow
#include "poplarstream/base/json_value.hpp"  // for integerFrom, textOrEmpty
#include "poplarstream/edge/settings.hpp"  // for maxJobPartitions

namespace poplarstream::edge {

namespace {

using nlohmann::json;
using Kind = PeerResponse::Kind;

constexpr std::string_view target = "/v1/owner";
constexpr unsigned statusOk = 200;
constexpr unsigned statusBadGateway = 502;

// The enumerator that is numbered `value`, up to the last one. Throws if there is none.
template <class Enum>
Enum enumFrom(const json &value, Enum last)
{
    return static_cast<Enum>(integerFrom<int>(value, 0, static_cast<int>(last)));
}

PeerResponse peerResponseFrom(const HttpResponse &response)
{
    if (response.status != statusOk) {
        return {};
    }
    try {
        const json value = parseBoundedJsonOrThrow(response.body);
        PeerResponse peerResponse;
        peerResponse.kind = enumFrom(value.at("kind"), Kind::Loans);
        peerResponse.state = enumFrom(value.at("state"), jobs::JobState::Cancelled);
        peerResponse.count = integerFrom<int>(value.at("count"), 0);
        peerResponse.loans = textOrEmpty(value, "loans");
        return peerResponse;
    } catch (const std::exception &) {
        return {};  // NoResponse: the request may have been carried out
    }
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

void sendToPeer(HttpClient &client, const HttpEndpoint &address, const PeerRequest &peerRequest,
                Milliseconds deadline, std::function<void(PeerResponse)> done)
{
    json body = {{"kind", static_cast<int>(peerRequest.kind)},
                 {"shard", peerRequest.shard},
                 {"queue", peerRequest.queue.text()},
                 {"job", peerRequest.job.text()},
                 {"records", recordsJson(peerRequest.records)}};
    if (!peerRequest.account.isEmpty()) {
        body["account"] = peerRequest.account.text();
    }
    if (!peerRequest.loans.empty()) {
        body["loans"] = peerRequest.loans;
    }
    HttpRequest request;
    request.method = "POST";
    request.target = std::string(target);
    request.headers = {{"Content-Type", "application/json"}};
    request.body = body.dump();
    client.send(address, std::move(request), {deadline, {}},
                [done = std::move(done)](const HttpOutcome &outcome) {
                    if (outcome.delivery == HttpDelivery::Answered) {
                        PeerResponse answer = peerResponseFrom(outcome.response);
                        answer.isAnswered = true;
                        done(answer);
                        return;
                    }
                    PeerResponse peerResponse;
                    peerResponse.kind = outcome.delivery == HttpDelivery::NotSent
                                                ? Kind::NotOwner
                                                : Kind::NoResponse;
                    done(peerResponse);
                });
}

std::optional<PeerRequest> peerRequestFrom(const HttpRequest &request)
{
    if (request.target != target) {
        return {};
    }
    try {
        const json value = parseBoundedJsonOrThrow(request.body);
        PeerRequest peerRequest;
        peerRequest.kind = enumFrom(value.at("kind"), PeerRequest::Kind::Loans);
        // Entry hosts of earlier versions name no shard.
        if (const auto shard = value.find("shard"); shard != value.end()) {
            peerRequest.shard = integerFrom<int>(*shard, 0, maxJobPartitions - 1);
        }
        peerRequest.queue = jobs::QueueId(value.at("queue").get<std::string>());
        peerRequest.job = jobs::JobId(value.at("job").get<std::string>());
        // Absent on a public queue, and in requests of earlier versions.
        peerRequest.account = AccountId(value.value("account", std::string()));
        peerRequest.loans = textOrEmpty(value, "loans");
        if (peerRequest.kind == PeerRequest::Kind::Loans && peerRequest.loans.empty()) {
            return {};
        }
        for (const json &row : value.at("records")) {
            peerRequest.records.push_back(
                    {row.at(0).get<std::string>(), row.at(1).get<std::string>(), 0});
        }
        return peerRequest;
    } catch (const std::exception &) {
        return {};
    }
}

HttpResponse responseFor(const PeerResponse &peerResponse)
{
    if (peerResponse.kind == Kind::NoResponse) {
        return jsonResponse(statusBadGateway, "{}");
    }
    json value = {{"kind", static_cast<int>(peerResponse.kind)},
                  {"state", static_cast<int>(peerResponse.state)},
                  {"count", peerResponse.count}};
    if (!peerResponse.loans.empty()) {
        value["loans"] = peerResponse.loans;
    }
    return jsonResponse(statusOk, value.dump());
}

}  // namespace poplarstream::edge
