#pragma once

#include <string>  // for string

#include "command_line.hpp"  // for CommandLine
#include "poplarstream/adapters/http_message.hpp"  // for HttpRequest, HttpResponse

namespace poplarstream {

// Sends a request with the operator's token to the address of the command line and waits for the
// answer. Throws std::runtime_error when there is none, and std::invalid_argument when the options
// are missing or malformed.
HttpResponse callOperators(const CommandLine &line, HttpRequest request);

// Prints the body and returns the exit status: 0 for a status below 300.
int printAnswer(const HttpResponse &response);

}  // namespace poplarstream
