#pragma once

#include <functional>  // for function
#include <memory>  // for unique_ptr
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/base/result.hpp"  // for Result
#include "poplarstream/config/settings.hpp"  // for ProcessSettings
#include "poplarstream/maintenance/fleet_view.hpp"  // for Policy

namespace poplarstream {

// The start options of an entry host. The tokens have already been read from their files.
struct EntryHostOptions
{
    ProcessSettings settings;
    std::vector<std::string> operatorTokens;
    maintenance::Policy wavePolicy;
};

// One entry host: all duties, each on its own thread, connected by bounded mailboxes.
class EntryHost
{
public:
    // Opens the listeners and starts the threads. Fails when an address cannot be bound.
    static Result<std::unique_ptr<EntryHost>> start(const EntryHostOptions &options);

    // Stops immediately if shutdown() was not called before.
    ~EntryHost();
    EntryHost(const EntryHost &) = delete;
    EntryHost &operator=(const EntryHost &) = delete;

    // Graceful shutdown: readiness becomes false, requests in progress are completed, and leases
    // are released. Returns when this is done or the time limits have passed.
    void shutdown();

private:
    struct Duties;
    explicit EntryHost(std::unique_ptr<Duties> duties);
    std::unique_ptr<Duties> duties_;
};

}  // namespace poplarstream
