#pragma once

#include <optional>  // for optional
#include <string>  // for string
#include <string_view>  // for string_view

#include "poplarstream/accounts/loans.hpp"  // for LoanRequest, LoanResponse, LoansByShard

namespace poplarstream::accounts {

// Messages between owners, as JSON. The decoders return nothing for text that is not theirs.
std::string encodeRequest(const LoanRequest &request);
std::optional<LoanRequest> decodeRequest(std::string_view text);
std::string encodeResponse(const LoanResponse &response);
std::optional<LoanResponse> decodeResponse(std::string_view text);

// The value of a record with the loans of one account; empty if nothing is lent.
std::optional<std::string> encodeLoans(const LoansByShard &loans);
std::optional<LoansByShard> decodeLoans(std::string_view text);

}  // namespace poplarstream::accounts
