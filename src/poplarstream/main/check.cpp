#include <fmt/format.h>  // for print

#include "commands.hpp"  // for check
#include "poplarstream/config/ini.hpp"  // for parseDocument
#include "poplarstream/config/settings.hpp"  // for readSettings
#include "poplarstream/config/validation.hpp"  // for readConfiguration

namespace poplarstream {

namespace {

// Settings have a section that no configuration document has.
bool isSettings(const ConfigDocument &document)
{
    return document.contains(SectionId("entry-host")) || document.contains(SectionId("listen"));
}

ConfigFaults faultsOf(const ParsedDocument &parsed)
{
    ConfigFaults faults = parsed.faults;
    const ConfigFaults found = isSettings(parsed.document)
                                       ? readSettings(parsed.document).faults
                                       : readConfiguration(parsed.document).faults;
    faults.insert(faults.end(), found.begin(), found.end());
    return faults;
}

}  // namespace

int check(const CommandLine &line)
{
    if (line.operands.empty()) {
        return exitUsage;
    }
    std::size_t faultCount = 0;
    for (const std::string &path : line.operands) {
        const ConfigFaults faults = faultsOf(parseDocument(readFile(path)));
        for (const ConfigFault &fault : faults) {
            fmt::print("{}: {}\n", path, describe(fault));
        }
        if (faults.empty()) {
            fmt::print("{}: no faults\n", path);
        }
        faultCount += faults.size();
    }
    return faultCount == 0 ? exitDone : exitFailed;
}

}  // namespace poplarstream
