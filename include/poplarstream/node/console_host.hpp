#pragma once

#include <memory>  // for shared_ptr
#include <string_view>  // for string_view

#include "poplarstream/adapters/http_server.hpp"  // for HttpRequest, HttpRespond
#include "poplarstream/node/operators_duty.hpp"  // for OperatorsSettings, OperatorsPorts

namespace poplarstream {

// Serves the pages of module `console`: logs operators in, collects the data of the pages from the
// other duties, and publishes drafts. Its only state is the history of absences. Runs on the
// operators' thread.
class ConsoleHost
{
public:
    // `thread` must outlive the object.
    ConsoleHost(DutyThread &thread, OperatorsSettings settings, OperatorsPorts ports);
    ~ConsoleHost();
    ConsoleHost(const ConsoleHost &) = delete;
    ConsoleHost &operator=(const ConsoleHost &) = delete;

    // Starts to sample absences; call before the thread starts.
    void start();

    // Whether the path belongs to the console: "/", "/console" and all paths below it.
    static bool isConsolePath(std::string_view path);

    // Whether the request carries the cookie of a valid session.
    bool hasSession(const HttpRequest &request) const;

    void handle(const HttpRequest &request, const HttpRespond &respond);

private:
    struct State;
    std::shared_ptr<State> state_;
};

}  // namespace poplarstream
