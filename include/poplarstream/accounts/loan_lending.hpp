#pragma once

#include "poplarstream/accounts/loans.hpp"  // for LoanBook, LoanRequest, HandledRequest

namespace poplarstream::accounts {

// Takes over the loans that an earlier owner of the shard has stored. To be called before anything
// starts or is lent.
void adoptLoans(LoanBook &book, const AccountId &account, LoansByShard loans);

// Handles a request of another owner. The book must have the present use: nothing may start by an
// older limit afterwards.
HandledRequest handleRequest(LoanBook &book, const LoanRequest &request, TimePoint now);

// A version of an account's loans is in the store.
void markStored(LoanBook &book, const LoanChange &change);

}  // namespace poplarstream::accounts
