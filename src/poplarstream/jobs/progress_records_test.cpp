#include "poplarstream/jobs/progress_records.hpp"

#include <algorithm>  // for count_if, max
#include <map>  // for map

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ
#include <rapidcheck.h>  // for check

#include "poplarstream/jobs/codec.hpp"  // for settledState
#include "poplarstream/jobs/commands.hpp"  // for makeJob, recordCompletion, cancelJob
#include "poplarstream/jobs/queries.hpp"  // for findTask, isFinal

namespace poplarstream::jobs {
namespace {

constexpr TimePoint now = timePoint(5'000'000);
constexpr std::int64_t unixNow = 1'800'000'000'000;
constexpr std::size_t maxRecordBytes = 8192;  // four tasks

Submission submission(const std::vector<int> &counts, int repeatCount)
{
    Submission submission;
    submission.id = JobId("00000000000000a1");
    submission.policy.maxAttempts = 1000;
    for (const int count : counts) {
        StepSpec step;
        step.count = count;
        step.checkpointing = true;
        submission.spec.steps.push_back(step);
    }
    submission.spec.repeatCount = repeatCount;
    submission.spec.firstRunUnixMs = unixNow;
    return submission;
}

// The store's newest record of each key, with its age.
struct Stored
{
    std::map<std::string, std::pair<int, std::string>> newest;
    int offset = 0;

    void write(const ProgressRecord &record)
    {
        if (record.value) {
            newest[record.key] = {++offset, *record.value};
        } else {
            newest.erase(record.key);
        }
    }

    Result<bool> read(Job &job) const
    {
        std::map<int, ProgressRecord> byAge;
        for (const auto &[key, value] : newest) {
            if (jobOfRecord(key) != key) {
                byAge[value.first] = {key, value.second};
            }
        }
        std::vector<ProgressRecord> parts;
        for (auto &[age, record] : byAge) {
            parts.push_back(std::move(record));
        }
        return applyProgressRecords(job, newest.at(job.submission.id.text()).second, parts);
    }
};

// Starts, ends, loses or checkpoints a run of a random task.
void changeOneTask(Job &job)
{
    const int number = *rc::gen::inRange(0, static_cast<int>(job.occurrences.size()));
    const auto &steps = job.submission.spec.steps;
    const int step = *rc::gen::inRange(0, static_cast<int>(steps.size()));
    const int index = *rc::gen::inRange(0, steps[static_cast<std::size_t>(step)].count);
    const TaskRef ref{job.submission.id, number, step, index};
    Task &task = *findTask(job, ref);
    if (task.attempts.empty()) {
        if (!task.isDone && !isFinal(job.state)) {
            Attempt attempt;
            attempt.run = ++task.lastRun;
            attempt.worker = {WorkerId("w" + std::to_string(index)), 17};
            task.attempts.push_back(attempt);
        }
        return;
    }
    const int run = task.attempts.back().run;
    const auto result = *rc::gen::element(AttemptResult::Done, AttemptResult::Done,
                                          AttemptResult::Failed, AttemptResult::Lapsed);
    recordCompletion(job, ref, run, result, "cp" + std::to_string(run), now);
}

int doneTasks(const Job &job)
{
    int done = 0;
    for (const auto &[number, occurrence] : job.occurrences) {
        for (const auto &tasks : occurrence.steps) {
            done += static_cast<int>(std::count_if(tasks.begin(), tasks.end(),
                                                   [](const Task &task) { return task.isDone; }));
        }
    }
    return done;
}

void expectSameTasks(const Job &left, const Job &right)
{
    for (const auto &[number, occurrence] : left.occurrences) {
        const Occurrence &other = right.occurrences.at(number);
        RC_ASSERT(occurrence.remaining == other.remaining);
        RC_ASSERT(occurrence.isDone == other.isDone);
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            for (std::size_t index = 0; index < occurrence.steps[step].size(); ++index) {
                const Task &task = occurrence.steps[step][index];
                const Task &read = other.steps[step][index];
                RC_ASSERT(task.isDone == read.isDone);
                RC_ASSERT(task.attempts.size() == read.attempts.size());
                if (!task.isDone) {
                    RC_ASSERT(task.lastRun == read.lastRun);
                    RC_ASSERT(task.failures == read.failures);
                    RC_ASSERT(task.checkpoint == read.checkpoint);
                }
            }
        }
    }
}

// Guards against a job whose progress outgrows the limit of the store for a record, and against a
// successor that reads other progress than was stored.
TEST(ProgressRecords, LargeJobsAreStoredInParts)
{
    EXPECT_TRUE(rc::check(
            "a successor reads what was written last, in records that the store takes", [] {
                const int repeatCount = *rc::gen::element(0, 0, 3);
                const Submission submitted = submission({7, 2, 5}, repeatCount);
                Job job = makeJob(submitted, now, unixNow);
                Stored stored;
                const int changes = *rc::gen::inRange(1, 120);
                for (int change = 0; change < changes; ++change) {
                    changeOneTask(job);
                    if (change % 4 != 0 && change + 1 != changes) {
                        continue;
                    }
                    for (const ProgressRecord &record : takeChangedRecords(job, maxRecordBytes)) {
                        RC_ASSERT(record.key.size() + record.value.value_or("").size()
                                  <= maxRecordBytes);
                        stored.write(record);
                    }
                    Job successor = makeJob(submitted, now, unixNow);
                    RC_ASSERT(stored.read(successor));
                    RC_ASSERT(successor.state == job.state);
                    expectSameTasks(job, successor);
                    RC_ASSERT(takeChangedRecords(successor, maxRecordBytes).size() == 1U);
                }
            }));
}

// Guards against a second run after an owner that ended while it wrote a large change: what was
// stored of it must not hide what had been stored before.
TEST(ProgressRecords, ChangesThatAreStoredInPartLoseNothing)
{
    EXPECT_TRUE(rc::check("no task that was done is open again", [] {
        const Submission submitted = submission({9, 3}, 0);
        Job job = makeJob(submitted, now, unixNow);
        Stored stored;
        for (const ProgressRecord &record : takeChangedRecords(job, maxRecordBytes)) {
            stored.write(record);
        }
        for (int round = 0; round < 8; ++round) {
            const int doneBefore = doneTasks(job);
            const int changes = *rc::gen::inRange(1, 20);
            for (int change = 0; change < changes; ++change) {
                changeOneTask(job);
            }
            for (const ProgressRecord &record : takeChangedRecords(job, maxRecordBytes)) {
                stored.write(record);
                Job successor = makeJob(submitted, now, unixNow);
                RC_ASSERT(stored.read(successor));
                RC_ASSERT(doneTasks(successor) >= doneBefore
                          || successor.state == JobState::Completed);
                RC_ASSERT(isFinal(successor.state) || doneTasks(successor) < 12);
            }
        }
    }));
}

// Ends all tasks of an occurrence with the second run of each.
void finishOccurrence(Job &job, int number)
{
    Occurrence &occurrence = job.occurrences.at(number);
    for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
        for (std::size_t index = 0; index < occurrence.steps[step].size(); ++index) {
            Task &task = occurrence.steps[step][index];
            task.lastRun = 2;
            Attempt attempt;
            attempt.run = task.lastRun;
            task.attempts.push_back(attempt);
            recordCompletion(
                    job,
                    {job.submission.id, number, static_cast<int>(step), static_cast<int>(index)},
                    task.lastRun, AttemptResult::Done, "", now);
        }
    }
}

// Guards against a successor that starts the finished occurrences of a repeating job again.
TEST(ProgressRecords, SuccessorKeepsFinishedOccurrences)
{
    constexpr int repeatCount = 6;
    SCOPED_TRACE("given a repeating job that is stored in parts");
    const Submission submitted = submission({7, 2}, repeatCount);
    Job job = makeJob(submitted, now, unixNow);
    Stored stored;
    for (const int number : {0, 1, 2, 4, 5}) {
        SCOPED_TRACE("when occurrence " + std::to_string(number) + " has finished");
        finishOccurrence(job, number);
        for (const ProgressRecord &record : takeChangedRecords(job, maxRecordBytes)) {
            stored.write(record);
        }
        Job successor = makeJob(submitted, now, unixNow);
        ASSERT_TRUE(stored.read(successor));
        {
            SCOPED_TRACE("then a successor knows each task of the finished occurrences as done");
            EXPECT_EQ(successor.finishedOccurrences, job.finishedOccurrences);
            for (int each = 0; each < repeatCount; ++each) {
                const Occurrence &written = job.occurrences.at(each);
                const Occurrence &read = successor.occurrences.at(each);
                EXPECT_EQ(read.isDone, written.isDone) << each;
                EXPECT_EQ(read.remaining, written.remaining) << each;
                for (std::size_t step = 0; step < written.steps.size(); ++step) {
                    for (std::size_t index = 0; index < written.steps[step].size(); ++index) {
                        EXPECT_EQ(read.steps[step][index].isDone, written.steps[step][index].isDone)
                                << each << "." << step << "." << index;
                    }
                }
            }
        }
    }
}

// Guards against a successor that misses finished occurrences without noticing.
TEST(ProgressRecords, MissingFinishedOccurrencesAreNoticed)
{
    const Submission submitted = submission({7, 2}, 6);
    const auto read = [&submitted](const std::string &finished) {
        Job job = makeJob(submitted, now, unixNow);
        const std::string head = R"({"state":"running","begun":true,"open":0,)" + finished
                                 + R"("done":[[0,1],[4,4]],"runs":[]})";
        const bool isApplied = static_cast<bool>(applyProgressRecords(job, head, {}));
        EXPECT_EQ(job.finishedOccurrences, isApplied ? 3 : 0);
        return isApplied;
    };
    SCOPED_TRACE("given a head with three finished occurrences");
    EXPECT_TRUE(read(R"("finished":3,)"));
    {
        SCOPED_TRACE("when it states more of them");
        EXPECT_FALSE(read(R"("finished":4,)"));
    }
    {
        SCOPED_TRACE("when it was written by a version that does not state their number");
        EXPECT_TRUE(read(""));
    }
}

// Guards against records that stay in the store for good, and against an ended job that each new
// owner loads in full.
TEST(ProgressRecords, NothingButTheStateIsLeftOfAnEndedJob)
{
    for (const bool isCancelled : {false, true}) {
        SCOPED_TRACE(isCancelled ? "given a cancelled job" : "given a completed job");
        Job job = makeJob(submission({9, 3}, 0), now, unixNow);
        Stored stored;
        const auto write = [&] {
            for (const ProgressRecord &record : takeChangedRecords(job, maxRecordBytes)) {
                stored.write(record);
            }
        };
        for (int step = 0; step < 2; ++step) {
            for (Task &task : job.occurrences.at(0).steps[static_cast<std::size_t>(step)]) {
                Attempt attempt;
                attempt.run = ++task.lastRun;
                task.attempts.push_back(attempt);
            }
        }
        write();
        EXPECT_GT(stored.newest.size(), 3U);
        if (isCancelled) {
            EXPECT_TRUE(cancelJob(job, now));
        }
        for (int step = 0; step < 2; ++step) {
            const int count = step == 0 ? 9 : 3;
            for (int index = 0; index < count; ++index) {
                write();
                EXPECT_FALSE(settledState(stored.newest.begin()->second.second));
                recordCompletion(job, {job.submission.id, 0, step, index}, 1, AttemptResult::Done,
                                 "", now);
            }
        }
        write();
        EXPECT_EQ(stored.newest.size(), 1U);
        EXPECT_EQ(settledState(stored.newest.begin()->second.second).has_value(), !isCancelled);
    }
}

// Guards against a record that is too large because of a checkpoint.
TEST(ProgressRecords, CheckpointsOfAnySizeFit)
{
    Job job = makeJob(submission({9}, 0), now, unixNow);
    for (Task &task : job.occurrences.at(0).steps[0]) {
        task.lastRun = 1;
        task.checkpoint.assign(100'000, '"');
    }
    for (const ProgressRecord &record : takeChangedRecords(job, maxRecordBytes)) {
        EXPECT_LE(record.key.size() + record.value.value_or("").size(), maxRecordBytes);
    }
}

// Guards against applying a part of malformed progress.
TEST(ProgressRecords, MalformedPartsChangeNothing)
{
    const std::string head = R"({"state":"running","begun":true,"open":1,"done":[],"runs":[]})";
    const std::string id = "00000000000000a1";
    for (const ProgressRecord &part :
         {ProgressRecord{id + ".0.0.0", "[[1]]"}, ProgressRecord{id + ".0.0.8", "[1,1]"},
          ProgressRecord{id + ".0.7.0", "[1]"}, ProgressRecord{id + ".5", "11"},
          ProgressRecord{id + ".0", "1"}, ProgressRecord{id + ".0.0.-1", "[1]"}}) {
        Job job = makeJob(submission({9, 3}, 0), now, unixNow);
        EXPECT_FALSE(applyProgressRecords(job, head, std::vector<ProgressRecord>{part}))
                << part.key;
        EXPECT_EQ(doneTasks(job), 0);
        EXPECT_TRUE(job.storedParts.empty());
    }
}

}  // namespace
}  // namespace poplarstream::jobs
