#include "poplarstream/edge/caller_handler.hpp"

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

std::string_view outcomeText(ResponseKind kind)
{
    switch (kind) {
    case ResponseKind::Accepted:
    case ResponseKind::Cancelled:
        return "stored";
    case ResponseKind::Unavailable:
        return "refused";
    case ResponseKind::Unknown:
        return "not-known";
    case ResponseKind::State:
    case ResponseKind::Count:
    case ResponseKind::NoSuchQueue:
    case ResponseKind::NoSuchJob:
    case ResponseKind::BadRequest:
        break;
    }
    return "answered";
}

Response answerOf(ResponseKind kind, std::string message = {})
{
    Response answer;
    answer.kind = kind;
    answer.message = std::move(message);
    return answer;
}

}  // namespace

CallerHandler::CallerHandler(Runtime &runtime, CallerHooks hooks)
    : runtime_(runtime)
    , hooks_(std::move(hooks))
{}

void CallerHandler::handleCall(const Call &call, const Respond &reply)
{
    answerCall(call, [this, kind = call.kind, since = steadyNow(), reply](const Response &answer) {
        runtime_.durations.record(kindText(kind), outcomeText(answer.kind), steadyNow() - since);
        reply(answer);
    });
}

void CallerHandler::answerCall(const Call &call, const Respond &reply)
{
    const Configuration *const configuration = hooks_.configuration();
    if (configuration == nullptr) {
        reply(answerOf(ResponseKind::Unavailable, "no configuration yet"));
        return;
    }
    const Route *const route = findRoute(configuration->routes, call.host, call.path);
    if (route == nullptr) {
        reply(answerOf(ResponseKind::NoSuchQueue, "no such queue"));
        return;
    }
    const std::string_view rest = std::string_view(call.path).substr(route->pathPrefix.size());
    if (rest.empty() && call.kind == CallKind::Lookup) {
        count(*route, call, reply);
        return;
    }
    const std::optional<jobs::JobId> id = jobIdFrom(rest);
    if (!id) {
        reply(answerOf(ResponseKind::BadRequest, "a job id is 16 hexadecimal digits"));
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
        reply(answerOf(ResponseKind::BadRequest, "no such method"));
        break;
    }
}

void CallerHandler::submit(const Route &route, const jobs::JobId &id, const Call &call,
                           const Respond &reply)
{
    Result<jobs::JobSpec> spec = runtime_.decode.jobSpec(call.body);
    if (!spec) {
        logEvent(events::jobRefused, {{"job", id.text()}, {"reason", spec.failure().message}});
        reply(answerOf(ResponseKind::BadRequest, spec.failure().message));
        return;
    }
    jobs::Submission submission;
    submission.id = id;
    submission.policy = route.policy;
    submission.spec = std::move(spec).value();
    submission.acceptedUnixMs = unixNowMs();
    const Respond logged = [reply, id, queue = route.policy.queue](const Response &answer) {
        if (answer.kind == ResponseKind::Accepted) {
            logEvent(events::jobAccepted, {{"job", id.text()}, {"queue", queue.text()}});
        } else {
            logEvent(events::jobRefused, {{"job", id.text()}, {"reason", answer.message}});
        }
        reply(answer);
    };
    store(submissionRecord(submission), ResponseKind::Accepted, call.remaining, logged);
}

void CallerHandler::cancel(const jobs::JobId &id, const Call &call, const Respond &reply)
{
    logEvent(events::jobCancelled, {{"job", id.text()}});
    store(cancellationRecord(id), ResponseKind::Cancelled, call.remaining, reply);
}

void CallerHandler::lookUp(const Route &route, const jobs::JobId &id, const Call &call,
                           const Respond &reply)
{
    PeerRequest question;
    question.kind = PeerRequest::Kind::State;
    question.queue = route.policy.queue;
    question.job = id;
    hooks_.sendToOwner(question, within(ownerDeadline, call.remaining),
                       [reply](PeerResponse answer) {
                           if (answer.kind == PeerResponse::Kind::State) {
                               Response found = answerOf(ResponseKind::State);
                               found.state = answer.state;
                               reply(found);
                           } else if (answer.kind == PeerResponse::Kind::UnknownJob) {
                               reply(answerOf(ResponseKind::NoSuchJob, "no such job"));
                           } else {
                               reply(answerOf(ResponseKind::Unavailable,
                                              "the owner of the job does not answer"));
                           }
                       });
}

void CallerHandler::count(const Route &route, const Call &call, const Respond &reply)
{
    PeerRequest question;
    question.kind = PeerRequest::Kind::Count;
    question.queue = route.policy.queue;
    hooks_.sendToOwner(question, within(ownerDeadline, call.remaining),
                       [reply](PeerResponse answer) {
                           if (answer.kind == PeerResponse::Kind::Count) {
                               Response found = answerOf(ResponseKind::Count);
                               found.count = answer.count;
                               reply(found);
                           } else {
                               reply(answerOf(ResponseKind::Unavailable,
                                              "the owner of the queue does not answer"));
                           }
                       });
}

void CallerHandler::store(const StoredRecord &record, ResponseKind stored, Milliseconds remaining,
                          const Respond &reply)
{
    if (health_.isInTrouble(steadyNow())) {
        storeThroughOwner(record, stored, {}, remaining, reply);
    } else {
        storeDirectly(record, stored, remaining, reply);
    }
}

void CallerHandler::storeDirectly(const StoredRecord &record, ResponseKind stored,
                                  Milliseconds remaining, const Respond &reply)
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

void CallerHandler::storeThroughOwner(const StoredRecord &record, ResponseKind stored,
                                      std::optional<AppendResult> tried, Milliseconds remaining,
                                      const Respond &reply)
{
    PeerRequest question;
    question.kind = PeerRequest::Kind::Store;
    question.records = {record};
    hooks_.sendToOwner(question, within(ownerDeadline, remaining), [=, this](PeerResponse answer) {
        const bool isUnsure =
                tried == AppendResult::Unknown || answer.kind == PeerResponse::Kind::NoResponse;
        if (answer.kind == PeerResponse::Kind::Stored) {
            reply(answerOf(stored));
        } else if (!tried && answer.kind == PeerResponse::Kind::NotOwner) {
            storeDirectly(record, stored, remaining, reply);
        } else if (isUnsure) {
            reply(answerOf(ResponseKind::Unknown, "the store does not answer"));
        } else {
            reply(answerOf(ResponseKind::Unavailable, "the store cannot be reached"));
        }
    });
}

}  // namespace poplarstream::edge
