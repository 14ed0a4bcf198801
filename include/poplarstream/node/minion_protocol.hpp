#pragma once

#include <string>  // for string
#include <string_view>  // for string_view

#include "poplarstream/adapters/http_message.hpp"  // for HttpRequest, HttpResponse
#include "poplarstream/base/id.hpp"  // for ServiceId
#include "poplarstream/base/time.hpp"  // for Milliseconds
#include "poplarstream/traffic/messages.hpp"  // for ResponseKind, LoadReport

namespace poplarstream {

// One attempt of a request on a minion.
struct MinionWork
{
    std::string requestId;
    ServiceId service;
    Milliseconds deadline{0};
    std::string_view payload;
};

HttpRequest workRequest(const MinionWork &work);
HttpRequest probeRequest();

// The parsed headers of a minion's response. `requestId` points into the response.
struct MinionResponse
{
    std::string_view requestId;
    traffic::ResponseKind kind = traffic::ResponseKind::Failed;
    traffic::LoadReport load;
};

// Status 503 with verdict not-run is a refusal. Any status below 500 is a success, whatever its
// meaning to the caller. A malformed load header is ignored.
MinionResponse parseMinionResponse(const HttpResponse &response);

// The minion's response for the caller, without the headers that are meant for entry hosts.
HttpResponse callerResponse(HttpResponse response);

}  // namespace poplarstream
