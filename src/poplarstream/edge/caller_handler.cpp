#include "poplarstream/edge/caller_handler.hpp"

#include <memory>  // for make_shared

#include <fmt/format.h>  // for format

#include "poplarstream/edge/authentication.hpp"  // for authenticate
#include "poplarstream/edge/routes.hpp"  // for findRoute, jobIdFrom
#include "poplarstream/edge/stored_jobs.hpp"  // for submissionRecord, cancellationRecord
#include "poplarstream/jobs/queries.hpp"  // for endsByItself
#include "poplarstream/ownership/division.hpp"  // for shardOfPartition
#include "poplarstream/telemetry/event_kinds.hpp"  // for jobAccepted, jobRefused

namespace poplarstream::edge {

namespace {

// When a caller should come back, by the cause. A process reads its first configuration within a
// second of its start if the store is well; the division of a new deployment takes about as long.
constexpr Milliseconds returnWhenStarted{1000};
constexpr Milliseconds returnWhenOwned{1000};

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
    case ResponseKind::Unauthorized:
    case ResponseKind::Overloaded:
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

// The counts of the shards that have answered.
struct CountSum
{
    int count = 0;
    int missing = 0;  // shards that have not answered
    bool isComplete = true;  // each that answered has told its count
};

Response makeResponse(ResponseKind kind, std::string message = {})
{
    Response response;
    response.kind = kind;
    response.message = std::move(message);
    return response;
}

Response unavailable(Milliseconds retryAfter, std::string message)
{
    Response response = makeResponse(ResponseKind::Unavailable, std::move(message));
    response.retryAfter = retryAfter;
    return response;
}

}  // namespace

CallerHandler::CallerHandler(Runtime &runtime, CallerHooks hooks)
    : runtime_(runtime)
    , hooks_(std::move(hooks))
    , submissions_(runtime, {[this](int partition) { return shardOf(partition); },
                             hooks_.sendToOwner, hooks_.isOwner})
    , owners_(runtime, {hooks_.sendToOwner, hooks_.configurationAsOf})
{}

void CallerHandler::handleCall(const Call &call, const Respond &respond)
{
    dispatch(call, [this, kind = call.kind, since = steadyNow(),
                    respond](const Response &response) {
        runtime_.durations.record(kindText(kind), outcomeText(response.kind), steadyNow() - since);
        respond(response);
    });
}

void CallerHandler::dispatch(const Call &call, const Respond &respond)
{
    const Configuration *const configuration = hooks_.configuration();
    if (configuration == nullptr) {
        respond(unavailable(returnWhenStarted, "no configuration yet"));
        return;
    }
    const Route *const route = findRoute(configuration->routes, call.host, call.path);
    // A queue or key that was added since, or by a version that could not be read, may be missing.
    // Its callers would not try again after a final answer.
    const bool isUnusable = hooks_.isConfigurationUnusable && hooks_.isConfigurationUnusable();
    const bool isCurrent =
            !isUnusable
            && hooks_.configurationAsOf() + runtime_.settings.configurationDelay >= steadyNow();
    const AuthenticatedCall authenticated = authenticate(*configuration, isCurrent, route, call);
    authentications_.record(authenticated.authentication,
                            route == nullptr ? "-" : route->policy.queue.text(), steadyNow());
    if (authenticated.rejection) {
        respond(*authenticated.rejection);
        return;
    }
    if (route == nullptr) {
        respond(isCurrent ? makeResponse(ResponseKind::NoSuchQueue, "no such queue")
                          : unavailable(runtime_.settings.configurationDelay,
                                        "the configuration may be out of date"));
        return;
    }
    const std::string_view rest = std::string_view(call.path).substr(route->pathPrefix.size());
    if (rest.empty() && call.kind == CallKind::Lookup) {
        count(*route, call, respond);
        return;
    }
    const std::optional<jobs::JobId> id = jobIdFrom(rest);
    if (!id) {
        respond(makeResponse(ResponseKind::BadRequest, "a job id is 16 hexadecimal digits"));
        return;
    }
    switch (call.kind) {
    case CallKind::Submit:
        submit(*route, *id, authenticated.account, call, respond);
        break;
    case CallKind::Lookup:
        lookUp(*route, *id, authenticated.account, call, respond);
        break;
    case CallKind::Cancel:
        cancel(*route, *id, authenticated.account, call, respond);
        break;
    case CallKind::Other:
        respond(makeResponse(ResponseKind::BadRequest, "no such method"));
        break;
    }
}

void CallerHandler::submit(const Route &route, const jobs::JobId &id, const AccountId &account,
                           const Call &call, const Respond &respond)
{
    Result<jobs::JobSpec> spec = runtime_.decode.jobSpec(call.body);
    if (!spec) {
        logEvent(events::jobRefused, {{"job", id.text()}, {"reason", spec.failure().message}});
        respond(makeResponse(ResponseKind::BadRequest, spec.failure().message));
        return;
    }
    jobs::Submission submission;
    submission.id = id;
    submission.policy = route.policy;
    submission.account = account;
    submission.spec = std::move(spec).value();
    submission.acceptedUnixMs = unixNowMs();
    const Respond logAndRespond = [respond, id,
                                   queue = route.policy.queue](const Response &response) {
        if (response.kind == ResponseKind::Accepted) {
            logEvent(events::jobAccepted, {{"job", id.text()}, {"queue", queue.text()}});
        } else {
            logEvent(events::jobRefused, {{"job", id.text()}, {"reason", response.message}});
        }
        respond(response);
    };
    const StoredRecord record = submissionRecord(submission);
    if (storedBytes(record) > runtime_.settings.limits.maxRecordBytes) {
        logAndRespond(makeResponse(ResponseKind::BadRequest, "the job is too large to be stored"));
        return;
    }
    if (const auto retryAfter = rejectionOf(submission)) {
        ++rejectedOverShare_;
        Response response =
                makeResponse(ResponseKind::Overloaded, "the account is beyond its share");
        response.retryAfter = *retryAfter;
        logAndRespond(response);
        return;
    }
    submissions_.store(record, ResponseKind::Accepted, call.remaining, logAndRespond);
}

std::optional<Milliseconds> CallerHandler::rejectionOf(const jobs::Submission &submission) const
{
    // The owner holds accounts by the waiting work of jobs that end by themselves.
    if (submission.account.isEmpty() || !hooks_.holdOf || !jobs::endsByItself(submission.spec)) {
        return {};
    }
    const int shard = shardOf(jobPartition(submission.id, runtime_.settings.jobPartitions));
    const std::optional<accounts::Hold> hold = hooks_.holdOf(shard, submission.account);
    return hold ? accounts::rejectionOf(*hold, submission.policy.service, submission.id.text())
                : std::nullopt;
}

void CallerHandler::cancel(const Route &route, const jobs::JobId &id, const AccountId &account,
                           const Call &call, const Respond &respond)
{
    logEvent(events::jobCancelled, {{"job", id.text()}});
    submissions_.store(cancellationRecord(id, {account, route.policy.queue}),
                       ResponseKind::Cancelled, call.remaining, respond);
}

void CallerHandler::lookUp(const Route &route, const jobs::JobId &id, const AccountId &account,
                           const Call &call, const Respond &respond)
{
    PeerRequest request;
    request.kind = PeerRequest::Kind::State;
    request.shard = shardOf(jobPartition(id, runtime_.settings.jobPartitions));
    request.queue = route.policy.queue;
    request.job = id;
    request.account = account;
    owners_.ask(request, call.remaining, [respond](const PeerResponse &response) {
        if (response.kind == PeerResponse::Kind::State) {
            Response found = makeResponse(ResponseKind::State);
            found.state = response.state;
            respond(found);
        } else if (response.kind == PeerResponse::Kind::UnknownJob) {
            respond(makeResponse(ResponseKind::NoSuchJob, "no such job"));
        } else {
            respond(unavailable(returnWhenOwned, "the owner of the job does not answer"));
        }
    });
}

int CallerHandler::shardOf(int partition) const
{
    const int shardCount = hooks_.shardCount();
    return shardCount == 0 ? 0 : ownership::shardOfPartition(partition, shardCount);
}

void CallerHandler::count(const Route &route, const Call &call, const Respond &respond)
{
    const int shardCount = hooks_.shardCount();
    if (shardCount == 0) {
        respond(unavailable(returnWhenStarted, "the deployment is not divided yet"));
        return;
    }
    const auto sum = std::make_shared<CountSum>();
    sum->missing = shardCount;
    for (int shard = 0; shard < shardCount; ++shard) {
        PeerRequest request;
        request.kind = PeerRequest::Kind::Count;
        request.shard = shard;
        request.queue = route.policy.queue;
        owners_.ask(request, call.remaining, [respond, sum](const PeerResponse &response) {
            sum->isComplete = sum->isComplete && response.kind == PeerResponse::Kind::Count;
            sum->count += response.count;
            if (--sum->missing > 0) {
                return;
            }
            Response found = makeResponse(ResponseKind::Count);
            found.count = sum->count;
            respond(sum->isComplete ? found
                                    : unavailable(returnWhenOwned,
                                                  "an owner of the queue does not answer"));
        });
    }
}

void CallerHandler::leave(TimePoint end)
{
    submissions_.endBy(end);
    owners_.endBy(end);
}

std::string CallerHandler::metrics() const
{
    return authentications_.prometheusText() + submissions_.metrics() + owners_.metrics()
           + fmt::format("poplar_submissions_over_share_total {}\n", rejectedOverShare_);
}

}  // namespace poplarstream::edge
