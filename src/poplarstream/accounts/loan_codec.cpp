#include "poplarstream/accounts/loan_codec.hpp"

#include <exception>  // for exception

#include <nlohmann/json.hpp>  // for json

#include "poplarstream/accounts/amounts.hpp"  // for isNone
#include "poplarstream/base/bounded_json.hpp"  // for parseBoundedJsonOrThrow
#include "poplarstream/base/json_value.hpp"  // for integerFrom

namespace poplarstream::accounts {

namespace {

using nlohmann::json;

// More than any deployment has; sums of a few such amounts do not overflow.
constexpr std::int64_t maxAmount = std::int64_t{1} << 52;
constexpr int maxShard = 63;

json amountJson(const jobs::Resources &amount)
{
    return {amount.cpuMilli, amount.memoryMb, amount.gpus};
}

jobs::Resources amountFrom(const json &value)
{
    const auto at = [&](std::size_t index) {
        return integerFrom<std::int64_t>(value.at(index), 0, maxAmount);
    };
    return {at(0), at(1), at(2)};
}

json amountsJson(const AccountAmounts &amounts)
{
    json object = json::object();
    for (const auto &[account, amount] : amounts) {
        object[account.text()] = amountJson(amount);
    }
    return object;
}

AccountAmounts amountsFrom(const json &value)
{
    AccountAmounts amounts;
    for (const auto &[account, amount] : value.get_ref<const json::object_t &>()) {
        amounts[AccountId(account)] = amountFrom(amount);
    }
    return amounts;
}

json idJson(const RequestId &id)
{
    return {id.epoch, id.serial};
}

RequestId idFrom(const json &value)
{
    return {integerFrom<std::int64_t>(value.at(0), 0), integerFrom<std::int64_t>(value.at(1), 0)};
}

// Empty if `decode` throws an exception.
template <class Decode>
auto decoded(std::string_view text, const Decode &decode) -> std::optional<decltype(decode(json()))>
{
    try {
        return decode(parseBoundedJsonOrThrow(text));
    } catch (const std::exception &) {
        return {};
    }
}

}  // namespace

std::string encodeRequest(const LoanRequest &request)
{
    json wideSince = json::object();
    for (const auto &[account, since] : request.wideSince) {
        wideSince[account.text()] = since;
    }
    const json value = {
            {"borrower", request.borrower},      {"id", idJson(request.id)},
            {"kept", amountsJson(request.kept)}, {"wanted", amountsJson(request.wanted)},
            {"lent", amountsJson(request.lent)}, {"wideSince", std::move(wideSince)}};
    return value.dump();
}

std::optional<LoanRequest> decodeRequest(std::string_view text)
{
    return decoded(text, [](const json &value) {
        LoanRequest request;
        request.borrower = integerFrom<int>(value.at("borrower"), 0, maxShard);
        request.id = idFrom(value.at("id"));
        request.kept = amountsFrom(value.at("kept"));
        request.wanted = amountsFrom(value.at("wanted"));
        request.lent = amountsFrom(value.at("lent"));
        for (const auto &[account, since] :
             value.at("wideSince").get_ref<const json::object_t &>()) {
            request.wideSince[AccountId(account)] = integerFrom<std::int64_t>(since);
        }
        return request;
    });
}

std::string encodeResponse(const LoanResponse &response)
{
    const json value = {{"id", idJson(response.id)},
                        {"held", amountsJson(response.held)},
                        {"recalled", amountsJson(response.recalled)}};
    return value.dump();
}

std::optional<LoanResponse> decodeResponse(std::string_view text)
{
    return decoded(text, [](const json &value) {
        LoanResponse response;
        response.id = idFrom(value.at("id"));
        response.held = amountsFrom(value.at("held"));
        response.recalled = amountsFrom(value.at("recalled"));
        return response;
    });
}

std::optional<std::string> encodeLoans(const LoansByShard &loans)
{
    json rows = json::array();
    for (const auto &[shard, loan] : loans) {
        if (!isNone(loan.amount)) {
            rows.push_back({shard, amountJson(loan.amount), idJson(loan.request)});
        }
    }
    if (rows.empty()) {
        return {};
    }
    return json{{"loans", std::move(rows)}}.dump();
}

std::optional<LoansByShard> decodeLoans(std::string_view text)
{
    return decoded(text, [](const json &value) {
        LoansByShard loans;
        for (const json &row : value.at("loans")) {
            const jobs::Resources amount = amountFrom(row.at(1));
            loans[integerFrom<int>(row.at(0), 0, maxShard)] = {amount, amount, idFrom(row.at(2))};
        }
        return loans;
    });
}

}  // namespace poplarstream::accounts
