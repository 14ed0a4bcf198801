#include <fmt/format.h>  // for print

#include "commands.hpp"  // for runCheck
#include "poplarstream/config/ini.hpp"  // for parseDocument
#include "poplarstream/config/settings.hpp"  // for readSettings
#include "poplarstream/config/validation.hpp"  // for readConfiguration

namespace poplarstream {

namespace {

// Settings have sections that no configuration document has.
bool isSettings(const ConfigDocument &document)
{
    return document.contains(SectionId("entry-host")) || document.contains(SectionId("listen"));
}

ConfigErrors findErrors(const ParsedDocument &parsed)
{
    ConfigErrors errors = parsed.errors;
    const ConfigErrors validationErrors = isSettings(parsed.document)
                                                  ? readSettings(parsed.document).errors
                                                  : readConfiguration(parsed.document).errors;
    errors.insert(errors.end(), validationErrors.begin(), validationErrors.end());
    return errors;
}

}  // namespace

int runCheck(const CommandLine &commandLine)
{
    if (commandLine.operands.empty()) {
        return exitUsage;
    }
    std::size_t errorCount = 0;
    for (const std::string &path : commandLine.operands) {
        const ConfigErrors errors = findErrors(parseDocument(readFile(path)));
        for (const ConfigError &error : errors) {
            fmt::print("{}: {}\n", path, describe(error));
        }
        if (errors.empty()) {
            fmt::print("{}: no faults\n", path);
        }
        errorCount += errors.size();
    }
    return errorCount == 0 ? exitDone : exitFailed;
}

}  // namespace poplarstream
