#include "capacity_wire.hpp"

#include <cmath>  // for ceil
#include <sstream>  // for ostringstream

#include <boost/beast/http/message.hpp>  // for request, response
#include <boost/beast/http/string_body.hpp>  // for string_body
#include <boost/beast/http/write.hpp>  // for operator<<
#include <nlohmann/json.hpp>  // for json

#include "poplarstream/adapters/worker_protocol.hpp"  // for taskListRequest

namespace poplarstream::bench {

namespace {

namespace http = boost::beast::http;
using nlohmann::json;

constexpr double segmentBytes = 1448;
constexpr double segmentHeaderBytes = 52;
constexpr std::int64_t exampleTime = 1'796'000'000'000;

WireSize sizeOf(std::size_t bytes)
{
    const auto size = static_cast<double>(bytes);
    return {size, std::ceil(size / segmentBytes)};
}

template <class Message>
WireSize sizeOfMessage(const Message &message)
{
    std::ostringstream text;
    text << message;
    return sizeOf(text.str().size());
}

json taskJson(std::size_t index)
{
    return {{"run", "z00-0123456789abcdef"},
            {"token", {{"offset", 1'000'000 + index}, {"index", 0}}},
            {"state", "running"},
            {"ran_ms", 30'000},
            {"peak", {{"cpus", 1.0}, {"memory_mb", 900}, {"accelerators", 0}}},
            {"usage", {{"cpus", 1.0}, {"memory_mb", 900}, {"accelerators", 0}}}};
}

}  // namespace

WireSize requestSize(const HttpRequest &request, std::string_view host)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, std::string(host));
    for (const HttpHeader &header : request.headers) {
        message.insert(header.name, header.value);
    }
    message.body() = request.body;
    message.prepare_payload();
    return sizeOfMessage(message);
}

WireSize responseSize(const HttpResponse &response)
{
    http::response<http::string_body> message;
    message.version(11);
    message.result(response.status);
    for (const HttpHeader &header : response.headers) {
        message.insert(header.name, header.value);
    }
    message.keep_alive(true);
    message.body() = response.body;
    message.prepare_payload();
    return sizeOfMessage(message);
}

WireSize peerMessageSize(std::size_t payload)
{
    constexpr std::size_t lengthBytes = 8;
    return sizeOf(payload + lengthBytes);
}

CallSize readCall(std::string_view stream, Offset from, const std::vector<std::string> &records)
{
    HttpRequest request;
    request.target = "/streams/" + std::string(stream) + "?from=" + std::to_string(from)
                     + "&limit=1000&wait_ms=4000";
    std::string list;
    Offset next = from;
    for (const std::string &record : records) {
        list.append(list.empty() ? "" : ",")
                .append(R"({"data":)")
                .append(record)
                .append(R"(,"offset":)")
                .append(std::to_string(next++))
                .append(R"(,"time_ms":)")
                .append(std::to_string(exampleTime))
                .append("}");
    }
    const std::string body =
            R"({"first":0,"next":)" + std::to_string(next) + R"(,"records":[)" + list + "]}";
    return {requestSize(request), responseSize(jsonResponse(200, body))};
}

CallSize appendCall(std::string_view stream, std::string_view record)
{
    HttpRequest request{"POST", "/streams/" + std::string(stream), {}, {}, {}};
    request.headers.push_back({"Content-Type", "application/json"});
    request.body.append(R"({"data":)").append(record).append("}");
    return {requestSize(request), responseSize(jsonResponse(200, R"({"offset":1000000})"))};
}

CallSize workerPoll(std::size_t tasks)
{
    json body = {
            {"boot", exampleTime},
            {"change", 1'200},
            {"grant", 900'000},
            {"rebooted_for", 900'000},
            {"mode", "in-service"},
            {"usage", {{"cpus", 1.5}, {"memory_mb", 1'800}, {"accelerators", 0}, {"age_ms", 500}}},
            {"tasks", json::array()}};
    for (std::size_t i = 0; i < tasks; ++i) {
        body["tasks"].push_back(taskJson(i));
    }
    const HttpRequest request = taskListRequest({static_cast<std::uint64_t>(exampleTime), 1'200});
    return {requestSize(request), responseSize(jsonResponse(200, body.dump()))};
}

CallSize hostListCall(std::size_t hosts)
{
    json list = json::array();
    for (std::size_t i = 0; i < hosts; ++i) {
        list.push_back({{"host", "h" + std::to_string(10'000 + i)}, {"state", "live"}});
    }
    const HttpRequest request{"GET", "/hosts", {}, {}, {}};
    return {requestSize(request), responseSize(jsonResponse(200, list.dump()))};
}

double headerBytes(const CallSize &call)
{
    return 2 * segmentHeaderBytes * (call.sent.packets + call.received.packets);
}

}  // namespace poplarstream::bench
