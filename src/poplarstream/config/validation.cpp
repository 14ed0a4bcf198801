#include "poplarstream/config/validation.hpp"

#include <algorithm>  // for sort
#include <set>  // for set

#include "poplarstream/config/cross_checks.hpp"  // for checkReferences
#include "poplarstream/config/sections.hpp"  // for readSection, forgetSection

namespace poplarstream {
namespace {

void finish(const ConfigDocument &document, ReadConfiguration &read)
{
    if (!document.contains(SectionId("fleet"))) {
        read.faults.push_back({"fleet", "", "the section [fleet]", ""});
    }
    checkReferences(read.configuration, read.faults);
    std::sort(read.faults.begin(), read.faults.end());
}

}  // namespace

ReadConfiguration readConfiguration(const ConfigDocument &document)
{
    ReadConfiguration read;
    for (const ConfigSection &section : document) {
        readSection(section, read.configuration, read.faults);
    }
    finish(document, read);
    return read;
}

ReadConfiguration readChanged(const Configuration &before, const ConfigDocument &document,
                              std::span<const SectionId> changed)
{
    ReadConfiguration read{before, {}};
    // A section may be listed once for each of its keys, but its faults count once.
    const std::set<SectionId> distinct(changed.begin(), changed.end());
    for (const SectionId &id : distinct) {
        if (const ConfigSection *section = document.find(id)) {
            readSection(*section, read.configuration, read.faults);
        } else {
            forgetSection(id, read.configuration);
        }
    }
    finish(document, read);
    return read;
}

}  // namespace poplarstream
