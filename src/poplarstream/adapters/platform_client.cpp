#include "poplarstream/adapters/platform_client.hpp"

#include "poplarstream/adapters/http_client.hpp"  // for HttpClient, HttpOutcome
#include "poplarstream/base/bounded_json.hpp"  // for parseBoundedJson

namespace poplarstream {

namespace {

using nlohmann::json;

std::string describe(const HttpOutcome &outcome)
{
    return outcome.delivery == HttpDelivery::Answered
                   ? "status " + std::to_string(outcome.response.status)
                   : std::string(httpErrorText(outcome.error));
}

AppendOutcome appendOutcomeOf(const HttpOutcome &outcome)
{
    if (outcome.delivery == HttpDelivery::NotSent) {
        return AppendRefused{describe(outcome)};
    }
    if (outcome.delivery == HttpDelivery::MayHaveBeenSent) {
        return AppendUnknown{describe(outcome)};
    }
    const unsigned status = outcome.response.status;
    // 408 and 429 may come from intermediaries, which do not know whether the record was appended.
    if (status >= 400 && status < 500 && status != 408 && status != 429) {
        return AppendRefused{describe(outcome)};
    }
    const json body = parseBoundedJson(outcome.response.body).value_or(json());
    if (status == 200 && body.is_object() && body.contains("offset")
        && body["offset"].is_number_unsigned()) {
        return Appended{body["offset"].get<Offset>()};
    }
    return AppendUnknown{describe(outcome)};
}

Result<std::vector<PlatformHost>> hostsFromJson(std::string_view text)
{
    try {
        std::vector<PlatformHost> hosts;
        const json list = parseBoundedJson(text).value_or(json());
        if (!list.is_array()) {
            return Failure{"the host list is not an array", ""};
        }
        for (const json &item : list) {
            hosts.push_back({HostId(item.at("host").get<std::string>()),
                             item.at("state").get<std::string>()});
        }
        return hosts;
    } catch (const json::exception &error) {
        return Failure{std::string("invalid host list: ") + error.what(), ""};
    }
}

LogPage parsePage(std::string_view text)
{
    const json body = parseBoundedJson(text).value_or(json());
    LogPage page{body.at("first").get<Offset>(), body.at("next").get<Offset>(), {}};
    for (const json &item : body.at("records")) {
        page.entries.push_back({item.at("offset").get<Offset>(),
                                timePoint(item.at("time_ms").get<std::int64_t>()),
                                item.at("data").dump()});
    }
    return page;
}

}  // namespace

Result<LogPage> logPageFromJson(std::string_view text, Offset from)
{
    try {
        LogPage page = parsePage(text);
        Offset expected = std::max(from, page.first);
        for (const LogEntry &entry : page.entries) {
            if (entry.offset != expected) {
                return Failure{"the page skips an offset", "records"};
            }
            ++expected;
        }
        if (page.next != expected) {
            return Failure{"the page ends at another offset than it says", "next"};
        }
        return page;
    } catch (const json::exception &error) {
        return Failure{std::string("invalid page: ") + error.what(), ""};
    }
}

PlatformClient makePlatformClient(HttpClient &client, const PlatformSettings &settings)
{
    PlatformClient platform;
    platform.append = [&client, settings](const std::string &stream, std::string_view data,
                                          const std::function<void(AppendOutcome)> &done) {
        // The record is already JSON text and embedded as is: validating it is cheaper than parsing
        // and serializing it again.
        if (!parseBoundedJson(data)) {
            done(AppendRefused{"the record is not JSON"});
            return;
        }
        HttpRequest request{"POST", "/streams/" + stream, {}, {}, {}};
        request.headers.push_back({"Content-Type", "application/json"});
        request.body.append(R"({"data":)").append(data).append("}");
        client.send(settings.endpoint, std::move(request), {settings.appendDeadline, {}},
                    [done](const HttpOutcome &outcome) { done(appendOutcomeOf(outcome)); });
    };
    platform.read = [&client, settings](const std::string &stream, Offset from,
                                        const std::function<void(Result<LogPage>)> &done) {
        HttpRequest request;
        request.target = "/streams/" + stream + "?from=" + std::to_string(from)
                         + "&limit=" + std::to_string(settings.pageRecords)
                         + "&wait_ms=" + std::to_string(settings.readWait.count());
        client.send(settings.endpoint, std::move(request), {settings.readDeadline, {}},
                    [done, from](const HttpOutcome &outcome) {
                        done(outcome.response.status == 200
                                             && outcome.delivery == HttpDelivery::Answered
                                     ? logPageFromJson(outcome.response.body, from)
                                     : Result<LogPage>(Failure{describe(outcome), ""}));
                    });
    };
    platform.hosts = [&client, settings](
                             const std::function<void(Result<std::vector<PlatformHost>>)> &done) {
        client.send(settings.endpoint, {"GET", "/hosts", {}, {}, {}}, {settings.readDeadline, {}},
                    [done](const HttpOutcome &outcome) {
                        done(outcome.response.status == 200
                                             && outcome.delivery == HttpDelivery::Answered
                                     ? hostsFromJson(outcome.response.body)
                                     : Result<std::vector<PlatformHost>>(
                                             Failure{describe(outcome), ""}));
                    });
    };
    return platform;
}

}  // namespace poplarstream
