#pragma once

#include <utility>  // for move

#include "poplarstream/history/check.hpp"  // for History, CheckResult

namespace poplarstream::history {

// Calls `visit(event body, index)` for each event of type T.
template <class T, class Visit>
void forEachEvent(History history, Visit visit)
{
    for (std::size_t i = 0; i < history.size(); ++i) {
        if (const auto *body = std::get_if<T>(&history[i].body)) {
            visit(*body, i);
        }
    }
}

inline void addViolation(CheckResult &result, std::size_t event, std::string what)
{
    result.violations.push_back({event, std::move(what)});
}

}  // namespace poplarstream::history
