#include "poplarstream/edge/caller_duty.hpp"

#include <algorithm>  // for min, max

#include "poplarstream/edge/routes.hpp"  // for findRoute, jobIdFrom
#include "poplarstream/edge/stored_jobs.hpp"  // for submissionRecord, cancellationRecord
#include "poplarstream/telemetry/event_kinds.hpp"  // for jobAccepted, jobRefused

namespace poplarstream::edge {

namespace {

// Time that is kept for the way back to the caller.
constexpr Milliseconds answerMargin{200};
constexpr Milliseconds storeDeadline{1000};
constexpr Milliseconds ownerDeadline{1000};
constexpr Milliseconds leastDeadline{50};

Milliseconds within(Milliseconds most, Milliseconds remaining)
{
    return std::max(std::min(most, remaining - answerMargin), leastDeadline);
}

std::string_view kindText(CallKind kind)
{
    switch (kind) {
    case CallKind::Submit:
        return "submission";
    case CallKind::Lookup:
        return "lookup";
    case CallKind::Cancel:
        return "cancellation";
    case CallKind::Other:
        break;
    }
    return "other-call";
}

std::string_view outcomeText(AnswerKind kind)
{
    switch (kind) {
    case AnswerKind::Accepted:
    case AnswerKind::Cancelled:
        return "stored";
    case AnswerKind::Unavailable:
        return "refused";
    case AnswerKind::Unknown:
        return "not-known";
    case AnswerKind::State:
    case AnswerKind::Count:
    case AnswerKind::NoSuchQueue:
    case AnswerKind::NoSuchJob:
    case AnswerKind::BadRequest:
        break;
    }
    return "answered";
}

Answer answerOf(AnswerKind kind, std::string message = {})
{
    Answer answer;
    answer.kind = kind;
    answer.message = std::move(message);
    return answer;
}

}  // namespace

CallerDuty::CallerDuty(Runtime &runtime, CallerHooks hooks)
    : runtime_(runtime)
    , hooks_(std::move(hooks))
{}

void CallerDuty::take(const Call &call, const Reply &reply)
{
    answerCall(call, [this, kind = call.kind, since = steadyNow(), reply](const Answer &answer) {
        runtime_.durations.record(kindText(kind), outcomeText(answer.kind), steadyNow() - since);
        reply(answer);
    });
}

void CallerDuty::answerCall(const Call &call, const Reply &reply)
{
    const Configuration *const configuration = hooks_.configuration();
    if (configuration == nullptr) {
        reply(answerOf(AnswerKind::Unavailable, "no configuration yet"));
        return;
    }
    const Route *const route = findRoute(configuration->routes, call.host, call.path);
    if (route == nullptr) {
        reply(answerOf(AnswerKind::NoSuchQueue, "no such queue"));
        return;
    }
    const std::string_view rest = std::string_view(call.path).substr(route->pathPrefix.size());
    if (rest.empty() && call.kind == CallKind::Lookup) {
        count(*route, call, reply);
        return;
    }
    const std::optional<jobs::JobId> id = jobIdFrom(rest);
    if (!id) {
        reply(answerOf(AnswerKind::BadRequest, "a job id is 16 hexadecimal digits"));
        return;
    }
    switch (call.kind) {
    case CallKind::Submit:
        submit(*route, *id, call, reply);
        break;
    case CallKind::Lookup:
        lookUp(*route, *id, call, reply);
        break;
    case CallKind::Cancel:
        cancel(*id, call, reply);
        break;
    case CallKind::Other:
        reply(answerOf(AnswerKind::BadRequest, "no such method"));
        break;
    }
}

void CallerDuty::submit(const Route &route, const jobs::JobId &id, const Call &call,
                        const Reply &reply)
{
    Result<jobs::JobSpec> spec = runtime_.decode.jobSpec(call.body);
    if (!spec) {
        logEvent(events::jobRefused, {{"job", id.text()}, {"reason", spec.failure().message}});
        reply(answerOf(AnswerKind::BadRequest, spec.failure().message));
        return;
    }
    jobs::Submission submission;
    submission.id = id;
    submission.policy = route.policy;
    submission.spec = std::move(spec).value();
    submission.acceptedUnixMs = unixNowMs();
    const Reply logged = [reply, id, queue = route.policy.queue](const Answer &answer) {
        if (answer.kind == AnswerKind::Accepted) {
            logEvent(events::jobAccepted, {{"job", id.text()}, {"queue", queue.text()}});
        } else {
            logEvent(events::jobRefused, {{"job", id.text()}, {"reason", answer.message}});
        }
        reply(answer);
    };
    store(submissionRecord(submission), AnswerKind::Accepted, call.remaining, logged);
}

void CallerDuty::cancel(const jobs::JobId &id, const Call &call, const Reply &reply)
{
    logEvent(events::jobCancelled, {{"job", id.text()}});
    store(cancellationRecord(id), AnswerKind::Cancelled, call.remaining, reply);
}

void CallerDuty::lookUp(const Route &route, const jobs::JobId &id, const Call &call,
                        const Reply &reply)
{
    PeerQuestion question;
    question.kind = PeerQuestion::Kind::State;
    question.queue = route.policy.queue;
    question.job = id;
    hooks_.askOwner(question, within(ownerDeadline, call.remaining), [reply](PeerReply answer) {
        if (answer.kind == PeerReply::Kind::State) {
            Answer found = answerOf(AnswerKind::State);
            found.state = answer.state;
            reply(found);
        } else if (answer.kind == PeerReply::Kind::UnknownJob) {
            reply(answerOf(AnswerKind::NoSuchJob, "no such job"));
        } else {
            reply(answerOf(AnswerKind::Unavailable, "the owner of the job does not answer"));
        }
    });
}

void CallerDuty::count(const Route &route, const Call &call, const Reply &reply)
{
    PeerQuestion question;
    question.kind = PeerQuestion::Kind::Count;
    question.queue = route.policy.queue;
    hooks_.askOwner(question, within(ownerDeadline, call.remaining), [reply](PeerReply answer) {
        if (answer.kind == PeerReply::Kind::Count) {
            Answer found = answerOf(AnswerKind::Count);
            found.count = answer.count;
            reply(found);
        } else {
            reply(answerOf(AnswerKind::Unavailable, "the owner of the queue does not answer"));
        }
    });
}

void CallerDuty::store(const StoredRecord &record, AnswerKind stored, Milliseconds remaining,
                       const Reply &reply)
{
    if (health_.isInTrouble(steadyNow())) {
        storeThroughOwner(record, stored, {}, remaining, reply);
    } else {
        storeDirectly(record, stored, remaining, reply);
    }
}

void CallerDuty::storeDirectly(const StoredRecord &record, AnswerKind stored,
                               Milliseconds remaining, const Reply &reply)
{
    AppendRequest request;
    request.log = Log::Jobs;
    request.records = {record};
    request.deadline = within(storeDeadline, remaining);
    const TimePoint sentAt = steadyNow();
    health_.begin(sentAt);
    runtime_.store.append(std::move(request), [=, this](const AppendOutcome &outcome) {
        const bool isStored = outcome.result == AppendResult::Stored;
        health_.end(sentAt, isStored, steadyNow());
        if (isStored) {
            reply(answerOf(stored));
            return;
        }
        storeThroughOwner(record, stored, outcome.result, remaining - (steadyNow() - sentAt),
                          reply);
    });
}

void CallerDuty::storeThroughOwner(const StoredRecord &record, AnswerKind stored,
                                   std::optional<AppendResult> tried, Milliseconds remaining,
                                   const Reply &reply)
{
    PeerQuestion question;
    question.kind = PeerQuestion::Kind::Store;
    question.records = {record};
    hooks_.askOwner(question, within(ownerDeadline, remaining), [=, this](PeerReply answer) {
        const bool isUnsure =
                tried == AppendResult::Unknown || answer.kind == PeerReply::Kind::NoAnswer;
        if (answer.kind == PeerReply::Kind::Stored) {
            reply(answerOf(stored));
        } else if (!tried && answer.kind == PeerReply::Kind::NotOwner) {
            storeDirectly(record, stored, remaining, reply);
        } else if (isUnsure) {
            reply(answerOf(AnswerKind::Unknown, "the store does not answer"));
        } else {
            reply(answerOf(AnswerKind::Unavailable, "the store cannot be reached"));
        }
    });
}

}  // namespace poplarstream::edge
