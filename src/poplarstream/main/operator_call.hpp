#pragma once

#include <string>  // for string

#include "command_line.hpp"  // for CommandLine
#include "poplarstream/adapters/http_message.hpp"  // for HttpRequest, HttpResponse

namespace poplarstream {

// Sends a request with the operator's token to the address in the options and waits for the
// response. Throws std::runtime_error when there is none and std::invalid_argument when an option
// is missing or malformed.
HttpResponse callOperatorApi(const CommandLine &commandLine, HttpRequest request);

// Prints the body. Returns exitDone for an HTTP status below 300, otherwise exitFailed.
int printResponse(const HttpResponse &response);

}  // namespace poplarstream
