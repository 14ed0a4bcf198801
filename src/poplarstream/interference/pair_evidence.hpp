#pragma once

#include "poplarstream/interference/pair_table.hpp"  // for PairTable, ImagePair

namespace poplarstream::interference {

// The precision of evidence falls by a factor e in this time.
inline constexpr Milliseconds evidenceMemory{180'000};

constexpr double square(double value)
{
    return value * value;
}

// The evidence on a pair. A pair that is new takes the place of the one with the least evidence if
// the table is full.
PairEvidence &evidenceOf(PairTable &table, const ImagePair &pair, TimePoint now);

// Adds a comparison that showed `effect` with this variance.
void addEvidence(PairTable &table, const ImagePair &pair, double effect, double variance,
                 TimePoint now);

// Forgets the pairs without evidence of late.
void cleanPairs(PairTable &table, TimePoint now);

}  // namespace poplarstream::interference
