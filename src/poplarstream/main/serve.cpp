#include <csignal>  // for sigset_t, sigwait
#include <optional>  // for optional
#include <stdexcept>  // for runtime_error

#include <fmt/format.h>  // for print

#include "commands.hpp"  // for serve
#include "poplarstream/config/ini.hpp"  // for parseDocument
#include "poplarstream/config/settings.hpp"  // for readSettings
#include "poplarstream/node/entry_host.hpp"  // for EntryHost
#include "poplarstream/telemetry/event.hpp"  // for logEvent
#include "poplarstream/telemetry/event_kinds.hpp"  // for settingsFault

namespace poplarstream {

namespace {

// Reports every fault as an event; empty when there are none.
std::optional<ProcessSettings> readSettingsFile(const std::string &path)
{
    ParsedDocument parsed = parseDocument(readFile(path));
    ReadSettings read = readSettings(parsed.document);
    parsed.faults.insert(parsed.faults.end(), read.faults.begin(), read.faults.end());
    for (const ConfigFault &fault : parsed.faults) {
        logEvent(events::settingsFault, {{"file", path},
                                         {"section", fault.section},
                                         {"key", fault.key},
                                         {"fault", describe(fault)}});
    }
    if (!parsed.faults.empty()) {
        return std::nullopt;
    }
    return std::move(read.settings);
}

// Reads the operators' tokens. A file that cannot be read or holds no token is a fault of the
// settings: every operator would be refused.
bool readOperatorTokens(const std::string &settingsFile, EntryHostOptions &options)
{
    const std::string &path = options.settings.tokens.operators;
    if (path.empty()) {
        return true;
    }
    std::string fault = "expected a file with at least one token, found " + path;
    try {
        options.operatorTokens = readTokenFile(path);
    } catch (const std::runtime_error &error) {
        fault = error.what();
    }
    if (options.operatorTokens.empty()) {
        logEvent(events::settingsFault, {{"file", settingsFile},
                                         {"section", "tokens"},
                                         {"key", "operators"},
                                         {"fault", fault}});
        return false;
    }
    return true;
}

// Blocks the signals in all threads that start later, so that only sigwait() takes them. A broken
// connection must not end the process.
sigset_t blockStopSignals()
{
    std::signal(SIGPIPE, SIG_IGN);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

}  // namespace

int serve(const CommandLine &line)
{
    if (line.settingsFile.empty() || !line.operands.empty()) {
        return exitUsage;
    }
    const auto settings = readSettingsFile(line.settingsFile);
    if (!settings) {
        return exitFailed;
    }
    const sigset_t signals = blockStopSignals();
    EntryHostOptions options{.settings = *settings};
    if (!readOperatorTokens(line.settingsFile, options)) {
        return exitFailed;
    }
    auto host = EntryHost::start(options);
    if (!host) {
        fmt::print(stderr, "poplarstream: cannot listen for {}: {}\n", host.failure().field,
                   host.failure().message);
        return exitFailed;
    }
    int signal = 0;
    sigwait(&signals, &signal);
    host.value()->shutdown();
    return exitDone;
}

}  // namespace poplarstream
