#pragma once

#include <string>  // for string
#include <string_view>  // for string_view
#include <variant>  // for variant

#include "poplarstream/adapters/http_message.hpp"  // for HttpRequest, HttpResponse
#include "poplarstream/base/id.hpp"  // for ServiceId, AccountId, RequestId
#include "poplarstream/base/result.hpp"  // for Result
#include "poplarstream/base/time.hpp"  // for Milliseconds
#include "poplarstream/base/verdict.hpp"  // for Verdict
#include "poplarstream/config/configuration.hpp"  // for Configuration, ServiceConfig, TenantConfig

namespace poplarstream {

// A validated request of a caller. `service` and `tenant` point into the configuration.
struct CallerRequest
{
    const ServiceConfig *service = nullptr;
    const TenantConfig *tenant = nullptr;
    Milliseconds deadline{0};
    std::string idempotencyKey;
    std::string payload;
};

// Rejects a request before any processing. Its verdict is always "not run".
struct CallerRejection
{
    unsigned status = 400;
    std::string field;
    std::string message;
};

inline constexpr std::size_t maxIdempotencyKeyBytes = 200;
// The longest deadline that a request may set; a run may wait through a long outage.
inline constexpr Milliseconds maxDeadline{7LL * 24 * 60 * 60 * 1000};

// Parses and validates `POST /v1/requests`. The fields come from the JSON body, or, if the request
// has a `Poplar-Service` header, from the `Poplar-` headers with the raw body as payload. The
// deadline defaults to that of the service.
std::variant<CallerRequest, CallerRejection> parseCallerRequest(const HttpRequest &request,
                                                                const Configuration &configuration);

// The tenant whose bearer token the request carries, or a rejection (401).
std::variant<const TenantConfig *, CallerRejection>
authenticateTenant(const HttpRequest &request, const Configuration &configuration);

// Compares the `Authorization: Bearer` token with `token` in constant time. An empty `token` never
// matches.
bool hasBearerToken(const HttpRequest &request, std::string_view token);

// The error response of the caller API: {"verdict","error","field"} with the verdict header.
HttpResponse errorResponse(unsigned status, Verdict verdict, std::string_view error,
                           std::string_view field = {}, Milliseconds retryAfter = {});
HttpResponse errorResponse(const CallerRejection &rejection);

// Sets the verdict and request id headers of the caller API.
void addVerdict(HttpResponse &response, Verdict verdict, std::string_view requestId);

}  // namespace poplarstream
