#include <string>  // for string, to_string
#include <vector>  // for vector

#include <benchmark/benchmark.h>  // for State, BENCHMARK

#include "poplarstream/accounts/key_ring.hpp"  // for KeyRing, AccountKeys

namespace poplarstream::accounts {
namespace {

// Two keys of an account, so that the old one can be withdrawn after callers use the new one.
constexpr int keysPerAccount = 2;

std::string keyOf(std::int64_t account, int number)
{
    return "key-of-an-account-" + std::to_string(account) + "-" + std::to_string(number);
}

std::vector<AccountKeys> keysOf(std::int64_t accounts)
{
    std::vector<AccountKeys> keys;
    for (std::int64_t account = 0; account < accounts; ++account) {
        AccountKeys each{AccountId(std::to_string(account)), {}};
        for (int number = 0; number < keysPerAccount; ++number) {
            each.keys.push_back(keyOf(account, number));
        }
        keys.push_back(std::move(each));
    }
    return keys;
}

// The account of a call's key.
void findAccount(benchmark::State &state)
{
    const KeyRing ring = KeyRing::create(keysOf(state.range(0))).value();
    const std::string key = keyOf(state.range(0) / 2, 1);
    for ([[maybe_unused]] const auto turn : state) {
        benchmark::DoNotOptimize(ring.find(key));
    }
}

// The keys of a new version of the configuration.
void createKeyRing(benchmark::State &state)
{
    const std::vector<AccountKeys> keys = keysOf(state.range(0));
    for ([[maybe_unused]] const auto turn : state) {
        benchmark::DoNotOptimize(KeyRing::create(keys));
    }
}

BENCHMARK(findAccount)->Arg(1)->Arg(20)->Arg(340);
BENCHMARK(createKeyRing)->Arg(1)->Arg(20)->Arg(340);

}  // namespace
}  // namespace poplarstream::accounts
