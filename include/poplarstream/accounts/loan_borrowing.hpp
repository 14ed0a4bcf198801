#pragma once

#include <utility>  // for pair
#include <vector>  // for vector

#include "poplarstream/accounts/loans.hpp"  // for LoanBook, LoanRequest, LoanResponse

namespace poplarstream::accounts {

// A new owner's state: it holds nothing until the lenders tell it what its shard holds.
LoanBook makeLoanBook(int shard, int shards, std::int64_t epoch);

// Takes note of the work that waits at this owner. Needs the present use and limits.
void noteWaiting(LoanBook &book, std::map<AccountId, WaitingWork> waiting, std::int64_t unixNowMs);

// Lowers what is held by what is to be given back: at once for what a lender asks for, else if it
// has not been used for some time. The next request tells the lenders. To be called with the
// present use and waiting work.
void giveBack(LoanBook &book, TimePoint now);

// The requests to be sent now, with the shards of the lenders; none without need.
std::vector<std::pair<int, LoanRequest>> beginRequests(LoanBook &book, TimePoint now);

// Handles a response of a lender; false if it is not to the newest request.
bool handleResponse(LoanBook &book, int lender, const LoanResponse &response, TimePoint now);

// The request to a lender has had no response in time. It may still be carried out.
void abandonRequest(LoanBook &book, int lender, const RequestId &id, TimePoint now);

}  // namespace poplarstream::accounts
