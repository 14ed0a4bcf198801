#pragma once

#include <functional>  // for function
#include <memory>  // for unique_ptr
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/base/result.hpp"  // for Result
#include "poplarstream/config/settings.hpp"  // for ProcessSettings
#include "poplarstream/maintenance/fleet_view.hpp"  // for Policy

namespace poplarstream {

// Everything that an entry host is started with. The tokens have been read from their files.
struct EntryHostOptions
{
    ProcessSettings settings;
    std::vector<std::string> operatorTokens;
    maintenance::Policy wavePolicy;
};

// One entry host: all duties, each on its thread, joined by bounded mailboxes.
class EntryHost
{
public:
    // Opens the listeners and starts the threads. Fails when an address cannot be bound.
    static Result<std::unique_ptr<EntryHost>> start(const EntryHostOptions &options);

    // Stops at once if shutdown() was not called before.
    ~EntryHost();
    EntryHost(const EntryHost &) = delete;
    EntryHost &operator=(const EntryHost &) = delete;

    // Graceful shutdown: readiness goes false, requests in progress are answered, leases are given
    // up. Returns when all is done or the drain limit of the settings has passed.
    void shutdown();

private:
    struct Duties;
    explicit EntryHost(std::unique_ptr<Duties> duties);
    std::unique_ptr<Duties> duties_;
};

}  // namespace poplarstream
