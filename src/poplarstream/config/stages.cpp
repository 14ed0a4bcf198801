#include "poplarstream/config/stages.hpp"

#include <algorithm>  // for stable_sort

#include <fmt/format.h>  // for format

#include "poplarstream/config/edits.hpp"  // for difference, applyEdits
#include "poplarstream/config/schema.hpp"  // for sectionKind
#include "poplarstream/config/section_reader.hpp"  // for parseInteger
#include "poplarstream/config/validation.hpp"  // for readConfiguration, readChangedSections
#include "poplarstream/records/record.hpp"  // for maxRecordBytes

namespace poplarstream {
namespace {

// Reserves 4 KiB of a record for its header and the author.
constexpr std::size_t maxStageBytes = maxRecordBytes - 4 * 1024;

// An upper bound of the size of the edit as JSON. Only values may need escapes, which at most
// double their size.
std::size_t maxEncodedSize(const ConfigEdit &edit)
{
    constexpr std::size_t punctuation = 48;
    return punctuation + edit.section.size() + edit.key.value_or("").size()
           + 2 * edit.value.value_or("").size();
}

bool isRemoval(const ConfigEdit &edit)
{
    return !edit.key;
}

// The order of publication. Budgets are published twice: lowered before the hosts change and raised
// afterwards.
int publicationRank(const ConfigEdit &edit)
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

bool isBudgetEdit(const ConfigEdit &edit)
{
    return edit.key == "max_away" && edit.value
           && SectionId(edit.section).kind() == sectionKindText(SectionKind::Pool);
}

// The lower of two budgets given as text; 0 if the pool is new or a budget is not a number.
std::string lowerBudget(const std::string *before, const std::string &after)
{
    const auto old = before ? parseInteger(*before) : std::nullopt;
    const auto now = parseInteger(after);
    return std::to_string(old && now ? std::min(*old, *now) : 0);
}

struct RankedEdit
{
    int rank = 0;
    ConfigEdit edit;
};

std::vector<RankedEdit> orderForPublication(const ConfigDocument &from,
                                            const std::vector<ConfigEdit> &edits)
{
    std::vector<RankedEdit> ranked;
    for (const ConfigEdit &edit : edits) {
        if (isBudgetEdit(edit)) {
            const ConfigSection *pool = from.find(SectionId(edit.section));
            const std::string *before = pool ? valueOf(*pool, "max_away") : nullptr;
            ConfigEdit lowered = edit;
            lowered.value = lowerBudget(before, *edit.value);
            ranked.push_back({publicationRank(edit), std::move(lowered)});
            ranked.push_back({7, edit});
        } else {
            ranked.push_back({publicationRank(edit), edit});
        }
    }
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const RankedEdit &a, const RankedEdit &b) { return a.rank < b.rank; });
    return ranked;
}

// Splits between sections only, since a partial section is invalid.
std::vector<std::vector<ConfigEdit>> splitIntoStages(std::vector<RankedEdit> ranked)
{
    std::vector<std::vector<ConfigEdit>> stages(1);
    std::size_t size = 0;
    for (std::size_t begin = 0; begin < ranked.size();) {
        std::size_t end = begin;
        std::size_t sectionSize = 0;
        while (end < ranked.size() && ranked[end].edit.section == ranked[begin].edit.section) {
            sectionSize += maxEncodedSize(ranked[end++].edit);
        }
        if (size + sectionSize > maxStageBytes && !stages.back().empty()) {
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

// Applies the stages in order and returns the first error, or an empty string.
std::string findStageError(ConfigDocument document,
                           const std::vector<std::vector<ConfigEdit>> &stages)
{
    Configuration configuration = readConfiguration(document).configuration;
    for (std::size_t i = 0; i < stages.size(); ++i) {
        ParsedDocument edited = applyEdits(document, stages[i]);
        std::vector<SectionId> changed;
        for (const ConfigEdit &edit : stages[i]) {
            changed.emplace_back(edit.section);
        }
        ConfigurationResult read = readChangedSections(configuration, edited.document, changed);
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
        size += maxEncodedSize(edit);
    }
    std::vector<std::vector<ConfigEdit>> stages;
    if (edits.empty()) {
        return stages;
    }
    if (size <= maxStageBytes) {
        stages.push_back(std::move(edits));
        return stages;
    }
    stages = splitIntoStages(orderForPublication(from, edits));
    if (std::string problem = findStageError(from, stages); !problem.empty()) {
        return Failure{std::move(problem), "stages"};
    }
    return stages;
}

}  // namespace poplarstream
