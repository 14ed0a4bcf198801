#pragma once

#include <memory>  // for shared_ptr
#include <string_view>  // for string_view

#include "poplarstream/adapters/http_server.hpp"  // for HttpRequest, HttpRespond
#include "poplarstream/node/operators_duty.hpp"  // for OperatorsSettings, OperatorsPorts

namespace poplarstream {

// Serves the console of module `console`: it logs operators in, gathers what the pages show from
// the other duties, and publishes drafts. All state is the history of absences. Runs on the
// operators' thread.
class ConsoleHost
{
public:
    // `thread` must outlive the object.
    ConsoleHost(DutyThread &thread, OperatorsSettings settings, OperatorsPorts ports);
    ~ConsoleHost();
    ConsoleHost(const ConsoleHost &) = delete;
    ConsoleHost &operator=(const ConsoleHost &) = delete;

    // Starts to sample absences; call it before the thread starts.
    void start();

    // Whether the path is one of the console's: "/" and those below "/console".
    static bool isConsolePath(std::string_view path);

    // Whether the request has the cookie of a valid session.
    bool hasSession(const HttpRequest &request) const;

    void handle(const HttpRequest &request, const HttpRespond &respond);

private:
    struct State;
    std::shared_ptr<State> state_;
};

}  // namespace poplarstream
