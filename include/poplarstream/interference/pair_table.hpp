#pragma once

#include <cstddef>  // for size_t
#include <map>  // for map
#include <string>  // for string
#include <utility>  // for pair
#include <vector>  // for vector

#include "poplarstream/base/time.hpp"  // for TimePoint, Milliseconds
#include "poplarstream/jobs/model.hpp"  // for TaskRef, WorkerIncarnation

namespace poplarstream::interference {

// The tasks of one image beside a serving task.
struct Neighbour
{
    std::string image;
    int count = 0;
    double share = 0;  // sum of their paces, 1 for each task at full pace

    friend bool operator==(const Neighbour &, const Neighbour &) = default;
};

// What a worker reports of one serving task, with what ran beside it.
struct Sample
{
    jobs::TaskRef task;
    int run = 0;
    jobs::WorkerIncarnation worker;
    std::string image;
    double tailMs = 0;  // rough; 0: none was reported
    bool isReady = false;  // the task has started up
    bool isOverloaded = false;  // the worker has less capacity than is reserved there
    std::vector<Neighbour> neighbours;  // by image
};

// The effect of one task of an image on the tail latency of another image, as the logarithm of the
// factor, and the standard deviation of that estimate.
struct Estimate
{
    double effect = 0;
    double deviation = 0;
};

// A pair that was named as harmful, or no longer is.
struct PairChange
{
    std::string victim;
    std::string neighbour;
    bool isHarmful = false;
    Estimate estimate;
};

// Evidence on one pair of images, weighted by its precision (the inverse variance).
struct PairEvidence
{
    double precision = 0;
    double effect = 0;
    TimePoint updatedAt{};
    bool isHarmful = false;
    // When each worker last contributed a comparison with other workers.
    std::map<jobs::WorkerIncarnation, TimePoint> comparedOn;
};

// A mean of logarithms of tail latencies.
struct TailMean
{
    double value = 0;
    int samples = 0;
    TimePoint updatedAt{};
};

// The samples of one run of a serving task since its neighbours last changed.
struct Situation
{
    std::string image;
    std::vector<Neighbour> neighbours;
    TimePoint since{};
    TailMean tail;
    bool isCompared = false;  // with the situation before
    std::vector<Neighbour> previousNeighbours;
    TailMean previousTail;  // no samples: not known
};

using ImagePair = std::pair<std::string, std::string>;  // victim, neighbour

// What is known of the images that slow each other down. Bounded; forgets what is not seen again.
struct PairTable
{
    std::map<ImagePair, PairEvidence> pairs;
    std::map<std::string, TailMean> alone;  // of each image without neighbours
    // By how much a worker's tasks without neighbours are slower than those of their image.
    std::map<jobs::WorkerIncarnation, TailMean> workers;
    std::map<std::pair<jobs::TaskRef, int>, Situation> situations;  // by task and run
    std::size_t harmful = 0;  // pairs
    TimePoint cleanedAt{};
    std::vector<PairChange> changes;  // for the log; the caller takes them
};

// Learns from a report. A start, an overloaded worker and a missing figure teach nothing. A worker
// that is slow for all of its tasks is told from harm by comparing the same task before and after
// its neighbours change, and by counting each worker once in comparisons between workers.
void learn(PairTable &table, const Sample &sample, TimePoint now);

// Records that `victim` was as slow while the tasks of `neighbour` beside it did nothing.
void recordNoEffect(PairTable &table, const std::string &victim, const std::string &neighbour,
                    TimePoint now);

// Forgets old evidence and drops what exceeds the bounds. Call it about once a second.
void clean(PairTable &table, TimePoint now);

Estimate estimateOf(const PairTable &table, const std::string &victim, const std::string &neighbour,
                    TimePoint now);

// The images that are known to slow `image` down or to be slowed down by it.
std::vector<std::string> conflictsOf(const PairTable &table, const std::string &image);

// Whether `neighbour` is known to slow `victim` down.
bool isHarmful(const PairTable &table, const std::string &victim, const std::string &neighbour);

}  // namespace poplarstream::interference
