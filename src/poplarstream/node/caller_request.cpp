#include "poplarstream/node/caller_request.hpp"

#include <charconv>  // for from_chars
#include <cmath>  // for ceil
#include <optional>  // for optional

#include <fmt/format.h>  // for format
#include <nlohmann/json.hpp>  // for json

#include "poplarstream/base/bounded_json.hpp"  // for parseBoundedJson

namespace poplarstream {

namespace {

using nlohmann::json;

// The fields before validation.
struct RawFields
{
    std::string service;
    std::string tenant;
    std::string workClass;
    std::optional<std::int64_t> deadlineMilliseconds;
    std::string idempotencyKey;
    std::string payload;
};

CallerRejection rejection(std::string field, std::string message, unsigned status = 400)
{
    return {status, std::move(field), std::move(message)};
}

std::string headerText(const HttpRequest &request, std::string_view name)
{
    return std::string(headerValue(request.headers, name).value_or(std::string_view{}));
}

std::variant<RawFields, CallerRejection> fieldsFromHeaders(const HttpRequest &request)
{
    RawFields fields{.service = headerText(request, "Poplar-Service"),
                     .tenant = headerText(request, "Poplar-Tenant"),
                     .workClass = headerText(request, "Poplar-Class"),
                     .deadlineMilliseconds = std::nullopt,
                     .idempotencyKey = headerText(request, "Poplar-Idempotency-Key"),
                     .payload = request.body};
    const std::string deadline = headerText(request, "Poplar-Deadline-Ms");
    if (!deadline.empty()) {
        std::int64_t value = 0;
        const auto [end, error] =
                std::from_chars(deadline.data(), deadline.data() + deadline.size(), value);
        if (error != std::errc{} || end != deadline.data() + deadline.size()) {
            return rejection("deadline_ms", "expected a whole number of milliseconds");
        }
        fields.deadlineMilliseconds = value;
    }
    return fields;
}

std::optional<CallerRejection> parseText(const json &body, const char *name, std::string &text)
{
    const auto at = body.find(name);
    if (at == body.end()) {
        return std::nullopt;
    }
    if (!at->is_string()) {
        return rejection(name, "expected a string");
    }
    text = at->get<std::string>();
    return std::nullopt;
}

std::variant<RawFields, CallerRejection> fieldsFromJson(const HttpRequest &request)
{
    const json body = parseBoundedJson(request.body).value_or(json());
    if (!body.is_object()) {
        return rejection("body", "expected a JSON object");
    }
    RawFields fields;
    const std::pair<const char *, std::string *> texts[] = {
            {"service", &fields.service},
            {"tenant", &fields.tenant},
            {"class", &fields.workClass},
            {"idempotency_key", &fields.idempotencyKey},
    };
    for (const auto &[name, text] : texts) {
        if (auto rejected = parseText(body, name, *text)) {
            return std::move(*rejected);
        }
    }
    if (const auto deadline = body.find("deadline_ms"); deadline != body.end()) {
        if (!deadline->is_number_integer()) {
            return rejection("deadline_ms", "expected a whole number of milliseconds");
        }
        fields.deadlineMilliseconds = deadline->get<std::int64_t>();
    }
    if (const auto payload = body.find("payload"); payload != body.end()) {
        fields.payload = payload->is_string() ? payload->get<std::string>() : payload->dump();
    }
    return fields;
}

std::string_view classText(ServiceClass serviceClass)
{
    return serviceClass == ServiceClass::Urgent ? "urgent" : "slow";
}

}  // namespace

bool hasBearerToken(const HttpRequest &request, std::string_view token)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view value =
            headerValue(request.headers, "Authorization").value_or(std::string_view{});
    if (token.empty() || !value.starts_with(scheme)) {
        return false;
    }
    const std::string_view received = value.substr(scheme.size());
    unsigned difference = received.size() == token.size() ? 0 : 1;
    for (std::size_t i = 0; i < received.size(); ++i) {
        difference |= static_cast<unsigned char>(received[i])
                      ^ static_cast<unsigned char>(token[i % token.size()]);
    }
    return difference == 0;
}

std::variant<const TenantConfig *, CallerRejection>
authenticateTenant(const HttpRequest &request, const Configuration &configuration)
{
    for (const TenantConfig &tenant : configuration.tenants) {
        if (hasBearerToken(request, tenant.token)) {
            return &tenant;
        }
    }
    return rejection("authorization", "expected the bearer token of a tenant", 401);
}

std::variant<CallerRequest, CallerRejection> parseCallerRequest(const HttpRequest &request,
                                                                const Configuration &configuration)
{
    auto parsed = headerValue(request.headers, "Poplar-Service") ? fieldsFromHeaders(request)
                                                                 : fieldsFromJson(request);
    if (auto *rejected = std::get_if<CallerRejection>(&parsed)) {
        return std::move(*rejected);
    }
    RawFields &fields = std::get<RawFields>(parsed);
    CallerRequest result;
    result.tenant = configuration.tenants.find(AccountId(fields.tenant));
    if (result.tenant == nullptr) {
        return rejection("tenant", "expected the name of a tenant of the configuration");
    }
    if (!result.tenant->token.empty() && !hasBearerToken(request, result.tenant->token)) {
        return rejection("authorization", "expected the bearer token of the tenant", 401);
    }
    result.service = configuration.services.find(ServiceId(fields.service));
    if (result.service == nullptr) {
        return rejection("service", "expected the name of a service of the configuration");
    }
    const std::string_view expectedClass = classText(result.service->serviceClass);
    if (!fields.workClass.empty() && fields.workClass != expectedClass) {
        return rejection("class",
                         fmt::format("expected \"{}\", the class of this service", expectedClass));
    }
    result.deadline = fields.deadlineMilliseconds ? Milliseconds{*fields.deadlineMilliseconds}
                                                  : result.service->deadline;
    if (result.deadline <= Milliseconds{0} || result.deadline > maxDeadline) {
        return rejection("deadline_ms",
                         fmt::format("expected a number from 1 to {}", maxDeadline.count()));
    }
    if (fields.idempotencyKey.size() > maxIdempotencyKeyBytes) {
        return rejection("idempotency_key",
                         fmt::format("expected at most {} bytes", maxIdempotencyKeyBytes));
    }
    result.idempotencyKey = std::move(fields.idempotencyKey);
    result.payload = std::move(fields.payload);
    return result;
}

HttpResponse errorResponse(unsigned status, Verdict verdict, std::string_view error,
                           std::string_view field, Milliseconds retryAfter)
{
    const json body = {{"verdict", verdictText(verdict)}, {"error", error}, {"field", field}};
    HttpResponse response =
            jsonResponse(status, body.dump(-1, ' ', false, json::error_handler_t::replace));
    response.headers.push_back({"Poplar-Verdict", std::string(verdictText(verdict))});
    if (retryAfter > Milliseconds{0}) {
        const auto seconds = std::ceil(static_cast<double>(retryAfter.count()) / 1000);
        response.headers.push_back({"Retry-After", fmt::format("{:.0f}", seconds)});
    }
    return response;
}

HttpResponse errorResponse(const CallerRejection &rejection)
{
    return errorResponse(rejection.status, Verdict::NotRun, rejection.message, rejection.field);
}

void addVerdict(HttpResponse &response, Verdict verdict, std::string_view requestId)
{
    std::erase_if(response.headers,
                  [](const HttpHeader &header) { return header.name == "Poplar-Verdict"; });
    response.headers.push_back({"Poplar-Verdict", std::string(verdictText(verdict))});
    response.headers.push_back({"Poplar-Request-Id", std::string(requestId)});
}

}  // namespace poplarstream
