#pragma once

#include <map>  // for map

#include "poplarstream/base/id.hpp"  // for AccountId
#include "poplarstream/jobs/model.hpp"  // for Resources

namespace poplarstream::accounts {

// A customer of the deployment. Its keys are kept apart, in a KeyRing.
struct ClientAccount
{
    AccountId id;
    // Jobs a second that it is owed, and its share, beside the weights of the others, when there is
    // not enough capacity for all.
    double weight = 1;
    jobs::Resources cap;  // of what it may have running in the whole deployment; 0: no limit

    friend bool operator==(const ClientAccount &, const ClientAccount &) = default;
};

using ClientAccounts = std::map<AccountId, ClientAccount>;

}  // namespace poplarstream::accounts
