#include "poplarstream/config/validation.hpp"

#include <algorithm>  // for sort
#include <set>  // for set

#include "poplarstream/config/cross_checks.hpp"  // for checkReferences
#include "poplarstream/config/sections.hpp"  // for readSection, removeSection

namespace poplarstream {
namespace {

void checkDocument(const ConfigDocument &document, SectionKindSet touched,
                   ConfigurationResult &read)
{
    if (!document.contains(SectionId("fleet"))) {
        read.errors.push_back({"fleet", "", "the section [fleet]", ""});
    }
    checkReferences(read.configuration, touched, read.errors);
    std::sort(read.errors.begin(), read.errors.end());
}

}  // namespace

ConfigurationResult readConfiguration(const ConfigDocument &document)
{
    ConfigurationResult read;
    for (const ConfigSection &section : document) {
        readSection(section, read.configuration, read.errors);
    }
    checkDocument(document, SectionKindSet{}.set(), read);
    return read;
}

ConfigurationResult readChangedSections(const Configuration &before, const ConfigDocument &document,
                                        std::span<const SectionId> changed)
{
    ConfigurationResult read{before, {}};
    // `changed` may list a section several times, but its errors must be reported once.
    const std::set<SectionId> distinct(changed.begin(), changed.end());
    SectionKindSet touched;
    for (const SectionId &id : distinct) {
        if (const auto kind = sectionKind(id.kind())) {
            touched.set(static_cast<std::size_t>(*kind));
        }
        if (const ConfigSection *section = document.find(id)) {
            readSection(*section, read.configuration, read.errors);
        } else {
            removeSection(id, read.configuration);
        }
    }
    checkDocument(document, touched, read);
    return read;
}

}  // namespace poplarstream
