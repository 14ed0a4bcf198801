#pragma once

#include <variant>  // for visit

#include "poplarstream/records/run_record.hpp"  // for RunEntry

namespace poplarstream {

// Calls `visit(RunId)` for each run that the entry concerns.
template <class Visit>
void forEachRun(const RunEntry &entry, Visit visit)
{
    std::visit(
            [&](const auto &e) {
                if constexpr (requires { e.run; }) {
                    visit(e.run);
                } else if constexpr (requires { e.accepted.run; }) {
                    visit(e.accepted.run);
                } else if constexpr (requires { e.runs; }) {
                    for (const RunId &run : e.runs) {
                        visit(run);
                    }
                }
            },
            entry);
}

}  // namespace poplarstream
