#include "poplarstream/config/stages.hpp"

#include <algorithm>  // for stable_sort

#include <fmt/format.h>  // for format

#include "poplarstream/config/edits.hpp"  // for difference, applyEdits
#include "poplarstream/config/schema.hpp"  // for sectionKind
#include "poplarstream/config/section_reader.hpp"  // for wholeNumber
#include "poplarstream/config/validation.hpp"  // for readConfiguration, readChanged
#include "poplarstream/records/record.hpp"  // for maxRecordBytes

namespace poplarstream {
namespace {

// Leaves 4 KiB of a record for its header and the author.
constexpr std::size_t stageBytes = maxRecordBytes - 4 * 1024;

// An upper bound of the size of the edit as JSON: names need no escapes, values may.
std::size_t encodedSize(const ConfigEdit &edit)
{
    constexpr std::size_t punctuation = 48;
    return punctuation + edit.section.size() + edit.key.value_or("").size()
           + 2 * edit.value.value_or("").size();
}

bool isRemoval(const ConfigEdit &edit)
{
    return !edit.key;
}

// The order of publication. Budgets come twice: lowered before the hosts change, raised after.
int rankOf(const ConfigEdit &edit)
{
    switch (sectionKind(SectionId(edit.section).kind()).value_or(SectionKind::Fleet)) {
    case SectionKind::Wave:
        return isRemoval(edit) ? 0 : 8;
    case SectionKind::Host:
        return isRemoval(edit) ? 5 : 6;
    case SectionKind::Pool:
        return isRemoval(edit) ? 9 : 3;
    case SectionKind::Service:
        return isRemoval(edit) ? 10 : 2;
    case SectionKind::Tenant:
        return isRemoval(edit) ? 4 : 5;
    case SectionKind::Rack:
        return isRemoval(edit) ? 11 : 2;
    case SectionKind::Zone:
        return isRemoval(edit) ? 12 : 1;
    default:
        return 1;
    }
}

bool isBudget(const ConfigEdit &edit)
{
    return edit.key == "max_away" && edit.value
           && SectionId(edit.section).kind() == sectionKindText(SectionKind::Pool);
}

// The lower of two budgets given as text; 0 for a pool that is new or whose budget is no number.
std::string lowerBudget(const std::string *before, const std::string &after)
{
    const auto old = before ? wholeNumber(*before) : std::nullopt;
    const auto now = wholeNumber(after);
    return std::to_string(old && now ? std::min(*old, *now) : 0);
}

struct RankedEdit
{
    int rank = 0;
    ConfigEdit edit;
};

std::vector<RankedEdit> inOrder(const ConfigDocument &from, const std::vector<ConfigEdit> &edits)
{
    std::vector<RankedEdit> ranked;
    for (const ConfigEdit &edit : edits) {
        if (isBudget(edit)) {
            const ConfigSection *pool = from.find(SectionId(edit.section));
            const std::string *before = pool ? valueOf(*pool, "max_away") : nullptr;
            ConfigEdit lowered = edit;
            lowered.value = lowerBudget(before, *edit.value);
            ranked.push_back({rankOf(edit), std::move(lowered)});
            ranked.push_back({7, edit});
        } else {
            ranked.push_back({rankOf(edit), edit});
        }
    }
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const RankedEdit &a, const RankedEdit &b) { return a.rank < b.rank; });
    return ranked;
}

// Cuts between sections, since a section in part is not valid.
std::vector<std::vector<ConfigEdit>> cut(std::vector<RankedEdit> ranked)
{
    std::vector<std::vector<ConfigEdit>> stages(1);
    std::size_t size = 0;
    for (std::size_t begin = 0; begin < ranked.size();) {
        std::size_t end = begin;
        std::size_t sectionSize = 0;
        while (end < ranked.size() && ranked[end].edit.section == ranked[begin].edit.section) {
            sectionSize += encodedSize(ranked[end++].edit);
        }
        if (size + sectionSize > stageBytes && !stages.back().empty()) {
            stages.emplace_back();
            size = 0;
        }
        for (; begin < end; ++begin) {
            stages.back().push_back(std::move(ranked[begin].edit));
        }
        size += sectionSize;
    }
    return stages;
}

// The first fault on the way through the stages, or nothing.
std::string problemOf(ConfigDocument document, const std::vector<std::vector<ConfigEdit>> &stages)
{
    Configuration configuration = readConfiguration(document).configuration;
    for (std::size_t i = 0; i < stages.size(); ++i) {
        ParsedDocument edited = applyEdits(document, stages[i]);
        std::vector<SectionId> changed;
        for (const ConfigEdit &edit : stages[i]) {
            changed.emplace_back(edit.section);
        }
        ReadConfiguration read = readChanged(configuration, edited.document, changed);
        if (!edited.errors.empty() || !read.errors.empty()) {
            return fmt::format("stage {} of {}: {}", i + 1, stages.size(),
                               describe(edited.errors.empty() ? read.errors : edited.errors));
        }
        document = std::move(edited.document);
        configuration = std::move(read.configuration);
    }
    return {};
}

}  // namespace

Result<std::vector<std::vector<ConfigEdit>>> stagedEdits(const ConfigDocument &from,
                                                         const ConfigDocument &to)
{
    std::vector<ConfigEdit> edits = difference(from, to);
    std::size_t size = 0;
    for (const ConfigEdit &edit : edits) {
        size += encodedSize(edit);
    }
    std::vector<std::vector<ConfigEdit>> stages;
    if (edits.empty()) {
        return stages;
    }
    if (size <= stageBytes) {
        stages.push_back(std::move(edits));
        return stages;
    }
    stages = cut(inOrder(from, edits));
    if (std::string problem = problemOf(from, stages); !problem.empty()) {
        return Failure{std::move(problem), "stages"};
    }
    return stages;
}

}  // namespace poplarstream
