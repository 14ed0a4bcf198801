#include "poplarstream/base/verdict.hpp"

namespace poplarstream {

std::string_view verdictText(Verdict verdict)
{
    switch (verdict) {
    case Verdict::Ran:
        return "ran";
    case Verdict::NotRun:
        return "not-run";
    case Verdict::MayHaveRun:
        return "may-have-run";
    }
    return "may-have-run";
}

std::optional<Verdict> verdictFromText(std::string_view text)
{
    for (const Verdict verdict : {Verdict::Ran, Verdict::NotRun, Verdict::MayHaveRun}) {
        if (verdictText(verdict) == text) {
            return verdict;
        }
    }
    return std::nullopt;
}

}  // namespace poplarstream
