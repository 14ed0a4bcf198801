#include <csignal>  // for sigset_t, sigwait
#include <optional>  // for optional
#include <stdexcept>  // for runtime_error

#include <fmt/format.h>  // for print

#include "commands.hpp"  // for runServe
#include "poplarstream/config/ini.hpp"  // for parseDocument
#include "poplarstream/config/settings.hpp"  // for readSettings
#include "poplarstream/node/entry_host.hpp"  // for EntryHost
#include "poplarstream/telemetry/event.hpp"  // for logEvent
#include "poplarstream/telemetry/event_kinds.hpp"  // for settingsFault

namespace poplarstream {

namespace {

// Logs every error as an event. Empty when there is one.
std::optional<ProcessSettings> readSettingsFile(const std::string &path)
{
    ParsedDocument parsed = parseDocument(readFile(path));
    SettingsResult read = readSettings(parsed.document);
    parsed.errors.insert(parsed.errors.end(), read.errors.begin(), read.errors.end());
    for (const ConfigError &error : parsed.errors) {
        logEvent(events::settingsFault, {{"file", path},
                                         {"section", error.section},
                                         {"key", error.key},
                                         {"fault", describe(error)}});
    }
    if (!parsed.errors.empty()) {
        return std::nullopt;
    }
    return std::move(read.settings);
}

// Reads the operators' tokens. A file that cannot be read or holds no token is an error of the
// settings, because every operator would be refused.
bool readOperatorTokens(const std::string &settingsFile, EntryHostOptions &options)
{
    const std::string &path = options.settings.tokens.operators;
    if (path.empty()) {
        return true;
    }
    std::string error = "expected a file with at least one token, found " + path;
    try {
        options.operatorTokens = readTokenFile(path);
    } catch (const std::runtime_error &exception) {
        error = exception.what();
    }
    if (options.operatorTokens.empty()) {
        logEvent(events::settingsFault, {{"file", settingsFile},
                                         {"section", "tokens"},
                                         {"key", "operators"},
                                         {"fault", error}});
        return false;
    }
    return true;
}

// Blocks the stop signals in all threads that start later, so that only sigwait() receives them,
// and ignores SIGPIPE, so that a broken connection does not end the process.
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

int runServe(const CommandLine &commandLine)
{
    if (commandLine.settingsFile.empty() || !commandLine.operands.empty()) {
        return exitUsage;
    }
    const auto settings = readSettingsFile(commandLine.settingsFile);
    if (!settings) {
        return exitFailed;
    }
    const sigset_t signals = blockStopSignals();
    EntryHostOptions options{.settings = *settings};
    if (!readOperatorTokens(commandLine.settingsFile, options)) {
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
