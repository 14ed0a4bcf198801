#pragma once

#include <string>  // for string
#include <string_view>  // for string_view

#include "poplarstream/adapters/http_message.hpp"  // for HttpRequest, HttpResponse
#include "poplarstream/base/id.hpp"  // for ServiceId
#include "poplarstream/base/time.hpp"  // for Milliseconds
#include "poplarstream/traffic/messages.hpp"  // for ResponseKind, LoadReport

namespace poplarstream {

// One attempt at a minion.
struct MinionWork
{
    std::string requestId;
    ServiceId service;
    Milliseconds deadline{0};
    std::string_view payload;
};

HttpRequest workRequest(const MinionWork &work);
HttpRequest probeRequest();

// What the headers of a minion's answer say. `requestId` points into the answer.
struct MinionResponse
{
    std::string_view requestId;
    traffic::ResponseKind kind = traffic::ResponseKind::Failed;
    traffic::LoadReport load;
};

// Status 503 with verdict not-run is a refusal; below 500 is success, whatever the minion means by
// the status. A malformed load header is ignored.
MinionResponse parseMinionResponse(const HttpResponse &response);

// The minion's answer as the caller gets it: without the headers that are meant for entry hosts.
HttpResponse callerResponse(HttpResponse answer);

}  // namespace poplarstream
