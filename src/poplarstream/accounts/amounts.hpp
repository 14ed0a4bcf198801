#pragma once

#include <algorithm>  // for max, min

#include "poplarstream/accounts/loans.hpp"  // for AccountAmounts

namespace poplarstream::accounts {

inline bool isNone(const jobs::Resources &amount)
{
    return amount == jobs::Resources{};
}

inline jobs::Resources leastOf(const jobs::Resources &a, const jobs::Resources &b)
{
    return {std::min(a.cpuMilli, b.cpuMilli), std::min(a.memoryMb, b.memoryMb),
            std::min(a.gpus, b.gpus)};
}

inline jobs::Resources mostOf(const jobs::Resources &a, const jobs::Resources &b)
{
    return {std::max(a.cpuMilli, b.cpuMilli), std::max(a.memoryMb, b.memoryMb),
            std::max(a.gpus, b.gpus)};
}

// An amount of nothing has no entry.
inline void setAmount(AccountAmounts &amounts, const AccountId &account,
                      const jobs::Resources &amount)
{
    if (isNone(amount)) {
        amounts.erase(account);
    } else {
        amounts[account] = amount;
    }
}

}  // namespace poplarstream::accounts
