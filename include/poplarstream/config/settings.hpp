#pragma once

#include <cstdint>  // for uint32_t, uint64_t
#include <map>  // for map
#include <string>  // for string

#include "poplarstream/base/id.hpp"  // for EntryHostId, RegionId, ZoneId
#include "poplarstream/base/time.hpp"  // for Milliseconds
#include "poplarstream/config/address.hpp"  // for Address
#include "poplarstream/config/config_error.hpp"  // for ConfigErrors
#include "poplarstream/config/document.hpp"  // for ConfigDocument

namespace poplarstream {

// [limits]. All keys are optional.
struct ProcessLimits
{
    std::uint32_t connections = 4096;  // open caller connections
    std::uint32_t queue = 4096;  // requests waiting for a slot
    std::uint64_t bodyBytes = 1024 * 1024;  // maximum size of a request body
    // How long a stopping process still accepts callers after it reports not ready, so that the
    // load balancer notices first.
    Milliseconds leaving{2'000};
    Milliseconds drain{30'000};  // how long a planned stop waits for requests in progress
};

// [tokens]. Paths of files with one token per line; empty if not set.
struct TokenFiles
{
    std::string operators;
};

// Another entry host. It receives one-way messages at `address` and requests at the next port.
struct PeerSetting
{
    ZoneId zone;
    Address address;
};

// The settings of one process: what it needs before it has read the fleet configuration.
struct ProcessSettings
{
    EntryHostId id;
    ZoneId zone;
    RegionId region;
    Address callers;
    Address operators;
    Address peersListen;
    Address platform;
    std::map<EntryHostId, PeerSetting> peers;
    ProcessLimits limits;
    TokenFiles tokens;
};

// If there are errors, the settings must not be used.
struct SettingsResult
{
    ProcessSettings settings;
    ConfigErrors errors;
};

// Reads the sections [entry-host], [listen], [platform], [peers], [limits] and [tokens]. The first
// three are required. [peers] has one entry `id = zone ip:port` for each other entry host.
SettingsResult readSettings(const ConfigDocument &document);

}  // namespace poplarstream
