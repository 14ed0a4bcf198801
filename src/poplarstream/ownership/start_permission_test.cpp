#include "poplarstream/ownership/start_permission.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

namespace poplarstream::ownership {
namespace {

const TimePoint start = timePoint(1'000'000);
const StartLimits limits;

// Guards against starting a cancelled job: an owner that lags behind the log of cancellations does
// not know yet that the job was cancelled.
TEST(StartPermission, OwnerBehindTheLog)
{
    SCOPED_TRACE("given an owner that has read the log to its end");
    const StartEvidence evidence{true, start};
    EXPECT_EQ(planningHold(evidence, limits, start), StartHold::None);
    {
        SCOPED_TRACE("when further reads fail or take too long");
        const TimePoint last = start + limits.maxCancellationAge;
        EXPECT_EQ(planningHold(evidence, limits, last), StartHold::None);
        EXPECT_EQ(planningHold(evidence, limits, last + Milliseconds{1}),
                  StartHold::CancellationsUnread);
        {
            SCOPED_TRACE("then starts that are already recorded are not sent either");
            EXPECT_EQ(sendingHold(evidence, last, limits, last + Milliseconds{1}),
                      StartHold::CancellationsUnread);
        }
    }
    {
        SCOPED_TRACE("and starts go on once the log has been read again");
        const StartEvidence later{true, start + Milliseconds{9000}};
        EXPECT_EQ(planningHold(later, limits, start + Milliseconds{9500}), StartHold::None);
    }
}

// Guards against a process that acts on an expired permission after a pause: another owner may have
// read the record of the start and decided about the task meanwhile.
TEST(StartPermission, PauseBetweenRecordAndStart)
{
    SCOPED_TRACE("given a start whose record was written just now");
    const TimePoint recordedAt = start + Milliseconds{100};
    const StartEvidence evidence{true, recordedAt};
    EXPECT_EQ(sendingHold(evidence, recordedAt, limits, recordedAt + Milliseconds{20}),
              StartHold::None);
    {
        SCOPED_TRACE("when the process is paused before it sends the start");
        const TimePoint resumed = recordedAt + limits.maxRecordAge;
        EXPECT_EQ(sendingHold(evidence, recordedAt, limits, resumed), StartHold::RecordTooOld);
    }
    {
        SCOPED_TRACE("or has lost the ownership meanwhile");
        EXPECT_EQ(sendingHold({false, recordedAt}, recordedAt, limits, recordedAt),
                  StartHold::NotOwner);
    }
}

}  // namespace
}  // namespace poplarstream::ownership
