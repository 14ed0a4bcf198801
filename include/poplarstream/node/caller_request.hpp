#pragma once

#include <string>  // for string
#include <string_view>  // for string_view
#include <variant>  // for variant

#include "poplarstream/adapters/http_message.hpp"  // for HttpRequest, HttpResponse
#include "poplarstream/base/id.hpp"  // for ServiceId, TenantId, RequestId
#include "poplarstream/base/result.hpp"  // for Result
#include "poplarstream/base/time.hpp"  // for Milliseconds
#include "poplarstream/base/verdict.hpp"  // for Verdict
#include "poplarstream/config/configuration.hpp"  // for Configuration, ServiceConfig, TenantConfig

namespace poplarstream {

// A caller's request that passed all checks. `service` and `tenant` point into the configuration.
struct CallerRequest
{
    const ServiceConfig *service = nullptr;
    const TenantConfig *tenant = nullptr;
    Milliseconds deadline{0};
    std::string idempotencyKey;
    std::string payload;
};

// A refusal before anything was done with the request. Its verdict is always "not run".
struct CallerRejection
{
    unsigned status = 400;
    std::string field;
    std::string message;
};

inline constexpr std::size_t maxIdempotencyKeyBytes = 200;
// The longest deadline of a request; a run may wait for its turn through a long outage.
inline constexpr Milliseconds maxDeadline{7LL * 24 * 60 * 60 * 1000};

// Reads `POST /v1/requests`. The fields are those of the JSON body; when the request has a
// `Poplar-Service` header, they are the `Poplar-` headers and the body is the payload as it stands.
// The deadline defaults to that of the service.
std::variant<CallerRequest, CallerRejection> readCallerRequest(const HttpRequest &request,
                                                               const Configuration &configuration);

// The tenant whose token the request carries, or the rejection (401).
std::variant<const TenantConfig *, CallerRejection>
authenticateTenant(const HttpRequest &request, const Configuration &configuration);

// Whether the `Authorization: Bearer` token equals `token`, in a time that does not depend on how
// many bytes agree. An empty `token` admits nobody.
bool hasBearerToken(const HttpRequest &request, std::string_view token);

// The error answer of the callers' interface: {"verdict","error","field"} with the verdict header.
HttpResponse errorResponse(unsigned status, Verdict verdict, std::string_view error,
                           std::string_view field = {}, Milliseconds retryAfter = {});
HttpResponse errorResponse(const CallerRejection &rejection);

// Adds the verdict and request id headers of the callers' interface.
void addVerdict(HttpResponse &response, Verdict verdict, std::string_view requestId);

}  // namespace poplarstream
