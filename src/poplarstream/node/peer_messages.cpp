#include "poplarstream/node/peer_messages.hpp"

#include <algorithm>  // for clamp

#include <nlohmann/json.hpp>  // for json

#include "poplarstream/node/caller_request.hpp"  // for maxDeadline

namespace poplarstream {

namespace {

using nlohmann::json;

// The numbers are part of the protocol between releases and are never reused.
enum class MessageKind : std::uint8_t { Heartbeat = 1, Digest = 2 };
enum class RequestKind : std::uint8_t { Submission = 1, Question = 2, Cancellation = 3, State = 4 };

struct BadField
{
    std::string message;
};

const json &item(const json &list, std::size_t index)
{
    if (!list.is_array() || index >= list.size()) {
        throw BadField{"item " + std::to_string(index) + " is missing"};
    }
    return list[index];
}

std::string text(const json &value)
{
    if (!value.is_string()) {
        throw BadField{"expected a text"};
    }
    return value.get<std::string>();
}

std::uint64_t number(const json &value, std::uint64_t max)
{
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > max) {
        throw BadField{"a number is out of range"};
    }
    return value.get<std::uint64_t>();
}

Milliseconds duration(const json &value)
{
    const auto max = static_cast<std::uint64_t>(maxDeadline.count());
    return Milliseconds{static_cast<std::int64_t>(number(value, max))};
}

std::uint64_t remaining(TimePoint until, TimePoint now)
{
    const std::int64_t left = (until - now).count();
    return static_cast<std::uint64_t>(
            std::clamp<std::int64_t>(left, 0, std::int64_t{maxDeadline.count()}));
}

unsigned kindNumber(RequestKind kind)
{
    return static_cast<unsigned>(kind);
}

json requestJson(const RunSubmission &call, TimePoint now)
{
    return json::array({kindNumber(RequestKind::Submission), call.hops + 1, call.service.text(),
                        call.tenant.text(), call.idempotencyKey, call.payload,
                        remaining(call.deadline, now), remaining(call.respondBy, now)});
}

json requestJson(const RunQuery &call, TimePoint)
{
    return json::array({kindNumber(RequestKind::Question), call.hops + 1, call.run.text(),
                        call.tenant.text()});
}

json requestJson(const RunCancellation &call, TimePoint)
{
    return json::array({kindNumber(RequestKind::Cancellation), call.hops + 1, call.run.text(),
                        call.tenant.text()});
}

std::uint32_t readHops(const json &value)
{
    return static_cast<std::uint32_t>(number(value, maxRunCallHops));
}

PeerRequest readRequest(const json &value, TimePoint now)
{
    switch (static_cast<RequestKind>(number(item(value, 0), 255))) {
    case RequestKind::Submission:
        return RunCall(RunSubmission{.service = ServiceId(text(item(value, 2))),
                                     .tenant = AccountId(text(item(value, 3))),
                                     .idempotencyKey = text(item(value, 4)),
                                     .payload = text(item(value, 5)),
                                     .deadline = now + duration(item(value, 6)),
                                     .respondBy = now + duration(item(value, 7)),
                                     .reply = {},
                                     .hops = readHops(item(value, 1))});
    case RequestKind::Question:
        return RunCall(RunQuery{.run = RunId(text(item(value, 2))),
                                .tenant = AccountId(text(item(value, 3))),
                                .reply = {},
                                .hops = readHops(item(value, 1))});
    case RequestKind::Cancellation:
        return RunCall(RunCancellation{.run = RunId(text(item(value, 2))),
                                       .tenant = AccountId(text(item(value, 3))),
                                       .reply = {},
                                       .hops = readHops(item(value, 1))});
    case RequestKind::State:
        return StateRequest{text(item(value, 1))};
    }
    throw BadField{"an unknown kind of request"};
}

// The value that `read` returns, or a failure if it throws BadField.
template <class Value, class Read>
Result<Value> catchBadField(Read read)
{
    try {
        return Value(read());
    } catch (const BadField &error) {
        return Failure{error.message, ""};
    }
}

template <class Message>
Result<PeerMessage> asPeerMessage(Result<Message> message)
{
    if (!message) {
        return message.failure();
    }
    return PeerMessage(std::move(message).value());
}

}  // namespace

json peerMessageJson(const PeerMessage &message)
{
    const MessageKind kind = std::holds_alternative<membership::Heartbeat>(message)
                                     ? MessageKind::Heartbeat
                                     : MessageKind::Digest;
    return json::binary(
            std::visit([](const auto &content) { return membership::encode(content); }, message),
            static_cast<std::uint8_t>(kind));
}

Result<PeerMessage> readPeerMessage(const json &value)
{
    if (!value.is_binary() || !value.get_binary().has_subtype()) {
        return Failure{"not a message", ""};
    }
    const auto &binary = value.get_binary();
    switch (static_cast<MessageKind>(binary.subtype())) {
    case MessageKind::Heartbeat:
        return asPeerMessage(membership::decodeHeartbeat(binary));
    case MessageKind::Digest:
        return asPeerMessage(membership::decodeDigest(binary));
    }
    return Failure{"an unknown kind of message", ""};
}

json peerRequestJson(const RunCall &call, TimePoint now)
{
    return std::visit([&](const auto &request) { return requestJson(request, now); }, call);
}

json peerRequestJson(const StateRequest &request)
{
    return json::array({kindNumber(RequestKind::State), request.stream});
}

Result<PeerRequest> readPeerRequest(const json &value, TimePoint now)
{
    return catchBadField<PeerRequest>([&] { return readRequest(value, now); });
}

json responseJson(const HttpResponse &response)
{
    json headers = json::array();
    for (const HttpHeader &header : response.headers) {
        headers.push_back(json::array({header.name, header.value}));
    }
    return json::array({response.status, std::move(headers), response.body});
}

Result<HttpResponse> readResponse(const json &value)
{
    return catchBadField<HttpResponse>([&] {
        HttpResponse response;
        response.status = static_cast<unsigned>(number(item(value, 0), 599));
        if (response.status < 200) {
            throw BadField{"not the status of a response"};
        }
        const json &headers = item(value, 1);
        if (!headers.is_array()) {
            throw BadField{"expected a list of headers"};
        }
        for (const json &entry : headers) {
            HttpHeader header{text(item(entry, 0)), text(item(entry, 1))};
            if (!isWritableHeader(header)) {
                throw BadField{"a header that cannot be written"};
            }
            response.headers.push_back(std::move(header));
        }
        response.body = text(item(value, 2));
        return response;
    });
}

json stateReplyJson(const Result<std::string> &state)
{
    return state ? json::array({true, state.value()})
                 : json::array({false, state.failure().message});
}

Result<std::string> readStateReply(const json &value)
{
    auto content = catchBadField<std::string>([&] { return text(item(value, 1)); });
    if (!content) {
        return content.failure();
    }
    if (!value[0].is_boolean()) {
        return Failure{"expected whether the state is given", ""};
    }
    if (!value[0].get<bool>()) {
        return Failure{content.value(), ""};
    }
    return content;
}

}  // namespace poplarstream
