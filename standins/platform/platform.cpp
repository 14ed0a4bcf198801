#include "platform/platform.hpp"

#include <charconv>  // for from_chars

#include <nlohmann/json.hpp>  // for json

#include "common/service.hpp"  // for startServer, runAfter, systemMilliseconds
#include "poplarstream/records/record.hpp"  // for maxRecordBytes

namespace poplarstream::standins {

namespace {

using nlohmann::json;

constexpr std::string_view streamPrefix = "/streams/";

HttpResponse errorResponse(unsigned status, const std::string &text)
{
    return jsonResponse(status, json{{"error", text}}.dump());
}

std::uint64_t queryNumber(std::string_view target, std::string_view name, std::uint64_t fallback)
{
    std::uint64_t value = fallback;
    if (const auto text = queryValue(target, name)) {
        std::from_chars(text->data(), text->data() + text->size(), value);
    }
    return value;
}

}  // namespace

Platform::Platform(boost::asio::io_context &io, const PlatformOptions &options)
    : io_(io)
    , options_(options)
    , random_(options.seed)
{
    log_.setRetention(options.retention);
    hosts_.setLag(options.hostLagMs);
    if (!options.historyFile.empty()) {
        history_.open(options.historyFile, std::ios::app);
    }
    openServer();
}

void Platform::openServer()
{
    server_.emplace(startServer(io_, "platform", options_.listen,
                                [this](const HttpRequest &request, HttpRespond respond) {
                                    handle(request, std::move(respond));
                                }));
    options_.listen.port = server_->port();
}

void Platform::changeHost(const std::string &host, const std::string &state)
{
    hosts_.setState(host, state, steadyMilliseconds());
}

void Platform::shutdown()
{
    // Close the connections first so that no request in progress gets a response.
    server_.reset();
    unanswered_.clear();
    waitingReads_.clear();
}

void Platform::handle(const HttpRequest &request, HttpRespond respond)
{
    const std::string_view path = targetPath(request.target);
    if (awayMode_ == "silent") {
        unanswered_.push_back(std::move(respond));
    } else if (awayMode_ == "error") {
        respond(errorResponse(503, "away"));
    } else if (path == "/health") {
        respond(jsonResponse(200, "{}"));
    } else if (path == "/hosts" && request.method == "GET") {
        respondLater(std::move(respond), jsonResponse(200, hosts_.toJson(steadyMilliseconds())), 0);
    } else if (path.size() > streamPrefix.size() && path.starts_with(streamPrefix)) {
        const std::string stream(path.substr(streamPrefix.size()));
        if (request.method == "POST") {
            append(stream, request, respond);
        } else {
            read(stream, request, std::move(respond));
        }
    } else {
        respond(errorResponse(404, "no such resource"));
    }
}

void Platform::append(const std::string &stream, const HttpRequest &request,
                      const HttpRespond &respond)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("data")) {
        respond(errorResponse(400, "the body must be {\"data\": ...}"));
        return;
    }
    std::string data = body["data"].dump();
    if (data.size() > maxRecordBytes) {
        respond(errorResponse(413, "the record is too large"));
        return;
    }
    const std::int64_t timeMs = systemMilliseconds() + clockJumpMs_;
    if (history_.is_open()) {
        history_ << R"({"stream":")" << stream << R"(","time_ms":)" << timeMs << R"(,"data":)"
                 << data << "}" << std::endl;
    }
    const std::uint64_t offset = log_.append(stream, {timeMs, std::move(data)});
    ++appends_;
    respondToWaitingReads(stream);
    if (random_.unit() < loseResponseProbability_) {
        ++lostResponses_;
        unanswered_.push_back(respond);
        return;
    }
    respondLater(respond, jsonResponse(200, json{{"offset", offset}}.dump()), claimAppendSlot());
}

// Serves appends one after another at the configured rate. Returns the delay of this one in us.
std::int64_t Platform::claimAppendSlot()
{
    if (options_.appendsPerSecond <= 0) {
        return 0;
    }
    const std::int64_t nowUs = steadyMilliseconds() * 1000;
    nextAppendAtUs_ = std::max(nowUs, nextAppendAtUs_)
                      + static_cast<std::int64_t>(1e6 / options_.appendsPerSecond);
    return nextAppendAtUs_ - nowUs;
}

void Platform::read(const std::string &stream, const HttpRequest &request, HttpRespond respond)
{
    const std::uint64_t from = queryNumber(request.target, "from", 0);
    const std::uint64_t limit = queryNumber(request.target, "limit", 1000);
    const std::uint64_t waitMs = queryNumber(request.target, "wait_ms", 0);
    if (waitMs == 0 || log_.hasRecords(stream, from)) {
        respondLater(std::move(respond), jsonResponse(200, log_.readPage(stream, from, limit)), 0);
        return;
    }
    const std::uint64_t number = ++lastReadNumber_;
    waitingReads_.push_back({number, stream, from, limit, std::move(respond)});
    runAfter(io_, Milliseconds{std::min<std::uint64_t>(waitMs, 60'000)}, [this, number] {
        waitingReads_.remove_if([&](const WaitingRead &read) {
            const bool isThis = read.number == number;
            if (isThis) {
                read.respond(jsonResponse(200, log_.readPage(read.stream, read.from, read.limit)));
            }
            return isThis;
        });
    });
}

void Platform::respondToWaitingReads(const std::string &stream)
{
    waitingReads_.remove_if([&](const WaitingRead &read) {
        if (read.stream != stream || !log_.hasRecords(stream, read.from)) {
            return false;
        }
        respondLater(read.respond, jsonResponse(200, log_.readPage(stream, read.from, read.limit)),
                     0);
        return true;
    });
}

void Platform::respondLater(HttpRespond respond, HttpResponse response, std::int64_t extraUs)
{
    const std::int64_t delayMs = slowMs_ + extraUs / 1000;
    if (delayMs == 0) {
        respond(std::move(response));
        return;
    }
    runAfter(io_, Milliseconds{delayMs},
             [respond = std::move(respond), response = std::move(response)] { respond(response); });
}

HttpResponse Platform::handleControl(const HttpRequest &request)
{
    if (request.method == "POST") {
        try {
            applyFaults(json::parse(request.body));
        } catch (const json::exception &error) {
            return errorResponse(400, error.what());
        }
    }
    json state{{"away", awayMode_},
               {"slow_ms", slowMs_},
               {"lose_answers", loseResponseProbability_},
               {"lost_answers", lostResponses_},
               {"appends", appends_},
               {"port", options_.listen.port}};
    for (const auto &[name, stream] : log_.streams()) {
        state["streams"][name] = {{"first", stream.first}, {"next", stream.end()}};
    }
    return jsonResponse(200, state.dump());
}

void Platform::applyFaults(const json &fields)
{
    slowMs_ = fields.value("slow_ms", slowMs_);
    loseResponseProbability_ = fields.value("lose_answers", loseResponseProbability_);
    clockJumpMs_ += fields.value("clock_jump_ms", std::int64_t{0});
    if (fields.contains("seed")) {
        random_ = Random(fields["seed"].get<std::uint64_t>());
    }
    if (fields.contains("retention")) {
        log_.setRetention(fields["retention"].get<std::size_t>());
    }
    if (fields.contains("host_lag_ms")) {
        hosts_.setLag(fields["host_lag_ms"].get<std::int64_t>());
    }
    for (const json &host : fields.value("hosts", json::array())) {
        changeHost(host.at("host").get<std::string>(), host.at("state").get<std::string>());
    }
    setAway(fields.value("away", awayMode_));
}

void Platform::setAway(const std::string &mode)
{
    awayMode_ = mode;
    if (mode == "refuse") {
        shutdown();
    } else if (!server_) {
        openServer();
    }
    if (mode == "silent") {
        for (WaitingRead &read : waitingReads_) {
            unanswered_.push_back(std::move(read.respond));
        }
        waitingReads_.clear();
    }
}

}  // namespace poplarstream::standins
