package org.chivetally.entry.http;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.Supplier;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.http.javadsl.server.AllDirectives;
import org.apache.pekko.http.javadsl.server.PathMatchers;
import org.apache.pekko.http.javadsl.server.Route;
import org.apache.pekko.http.scaladsl.model.EntityStreamSizeException;
import org.apache.pekko.stream.Materializer;
import org.chivetally.document.Utf8;
import org.chivetally.entry.submission.Failures;
import org.chivetally.entry.submission.JobStatus;
import org.chivetally.entry.submission.Jobs;
import org.chivetally.entry.submission.Submission;
import org.chivetally.entry.submission.SubmissionReply;
import org.chivetally.entry.submission.Waits;
import org.chivetally.job.JobId;
import org.chivetally.job.JobOutcome;
import org.chivetally.job.ServicePolicies;
import org.chivetally.logging.EventLine;

/** Routes that submit jobs, return their status and answers, list them and cancel them. */
public final class JobRoutes extends AllDirectives {
    /** Header that carries the idempotency key in requests and responses. */
    public static final String KEY_HEADER = "Idempotency-Key";

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final String JOB_HEADER = "Chivetally-Job";
    private static final long BODY_TIMEOUT_MILLIS = 30_000;
    private static final Duration OUTCOME_GRACE = Duration.ofSeconds(5);
    private static final Duration DEFAULT_CANCEL_WAIT = Duration.ofSeconds(1);
    private static final int DEFAULT_LIST_LIMIT = 50;
    private static final int MAXIMUM_LIST_LIMIT = 1_000;
    private static final int BAD_REQUEST = 400;
    private static final int CONTENT_TOO_LARGE = 413;

    private final Parts parts;
    private final AtomicInteger openSubmissions = new AtomicInteger();

    /** Creates the routes. */
    public JobRoutes(Parts parts) {
        this.parts = parts;
    }

    /** Returns the route of all paths under {@code /v1/jobs} and of {@code /v1/services/SERVICE/run}. */
    public Route route() {
        return concat(
                path(
                        PathMatchers.segment("v1").slash("jobs"),
                        () -> concat(post(() -> serve(this::submit)), get(() -> serve(this::list)))),
                path(
                        PathMatchers.segment("v1").slash("jobs").slash(PathMatchers.segment()),
                        name -> concat(
                                get(() -> serve(request -> status(name))),
                                delete(() -> serve(request -> cancel(name, request))))),
                path(
                        PathMatchers.segment("v1")
                                .slash("jobs")
                                .slash(PathMatchers.segment())
                                .slash("answer"),
                        name -> get(() -> serve(request -> answer(name, request)))),
                path(
                        PathMatchers.segment("v1")
                                .slash("services")
                                .slash(PathMatchers.segment())
                                .slash("run"),
                        service -> post(() -> serve(request -> run(service, request)))));
    }

    /** Returns the number of submissions that are being processed and have no response yet. */
    public int openSubmissions() {
        return openSubmissions.get();
    }

    private Route serve(Function<HttpRequest, CompletionStage<HttpResponse>> handler) {
        return extractRequest(request -> completeWithFuture(handleErrors(handler, request)));
    }

    private CompletionStage<HttpResponse> handleErrors(
            Function<HttpRequest, CompletionStage<HttpResponse>> handler, HttpRequest request) {
        try {
            return handler.apply(request).exceptionally(this::errorResponse);
        } catch (IllegalArgumentException invalid) {
            request.discardEntityBytes(parts.materializer());
            InputMistake mistake = new InputMistake("wait", "must be a number of seconds");
            return CompletableFuture.completedStage(Responses.invalidInput(BAD_REQUEST, List.of(mistake)));
        }
    }

    private HttpResponse errorResponse(Throwable failure) {
        Throwable cause = failure instanceof CompletionException wrapped ? wrapped.getCause() : failure;
        if (cause instanceof EntityStreamSizeException) {
            String rule = "longer than " + parts.maximumBodyBytes() + " bytes";
            return Responses.invalidInput(CONTENT_TOO_LARGE, List.of(new InputMistake(InputMistake.BODY, rule)));
        }
        LOGGER.atSevere().withCause(cause).log("%s", EventLine.of("request-failed"));
        return Responses.internal("the request failed inside the entry");
    }

    private CompletionStage<HttpResponse> submit(HttpRequest request) {
        Optional<Duration> wait = WaitPreference.of(request);
        return withBody(request, body -> {
            SubmissionReader reader = new SubmissionReader(parts.policies(), parts.newKey());
            SubmissionReader.Result read = reader.readJob(body, header(request, KEY_HEADER));
            return read.submission()
                    .map(submission -> submit(submission, wait))
                    .orElseGet(() -> invalidInput(read.mistakes()));
        });
    }

    private CompletionStage<HttpResponse> submit(Submission submission, Optional<Duration> wait) {
        return parts.jobs()
                .submit(submission)
                .thenCompose(reply -> switch (reply) {
                    case SubmissionReply.Refused refused ->
                        CompletableFuture.completedStage(Responses.failure(refused.failure()));
                    case SubmissionReply.Accepted accepted -> awaitOutcome(submission, accepted, wait);
                })
                .thenApply(response -> response.addHeader(
                        RawHeader.create(KEY_HEADER, submission.key().key())));
    }

    private CompletionStage<HttpResponse> awaitOutcome(
            Submission submission, SubmissionReply.Accepted accepted, Optional<Duration> wait) {
        return parts.waits()
                .within(wait.orElse(Duration.ZERO), accepted.outcome())
                .thenApplyAsync(
                        outcome -> outcome.map(last -> Responses.outcome(accepted.job(), last))
                                .orElseGet(() -> Responses.pending(runningStatus(submission, accepted.job()))),
                        parts.executor());
    }

    private JobStatus runningStatus(Submission submission, JobId job) {
        return new JobStatus(
                job,
                submission.specification().service(),
                submission.key().team(),
                submission.specification().tasks().size(),
                JobStatus.Phase.RUNNING,
                parts.processId(),
                1,
                Optional.empty(),
                Optional.empty());
    }

    private CompletionStage<HttpResponse> run(String service, HttpRequest request) {
        Optional<String> team = request.getUri().query().get("team");
        Optional<String> deadline = request.getUri().query().get("deadlineMillis");
        return withBody(request, body -> {
            SubmissionReader reader = new SubmissionReader(parts.policies(), parts.newKey());
            SubmissionReader.Result read =
                    reader.readSingle(service, body, team, deadline, header(request, KEY_HEADER));
            return read.submission().map(this::runSingle).orElseGet(() -> invalidInput(read.mistakes()));
        });
    }

    private CompletionStage<HttpResponse> runSingle(Submission submission) {
        Duration maximumWait = submission.specification().deadline().plus(OUTCOME_GRACE);
        return parts.jobs()
                .submit(submission)
                .thenCompose(reply -> switch (reply) {
                    case SubmissionReply.Refused refused ->
                        CompletableFuture.completedStage(Responses.failure(refused.failure()));
                    case SubmissionReply.Accepted accepted ->
                        parts.waits()
                                .within(maximumWait, accepted.outcome())
                                .thenApplyAsync(outcome -> singleResponse(accepted.job(), outcome), parts.executor());
                })
                .thenApply(response -> response.addHeader(
                        RawHeader.create(KEY_HEADER, submission.key().key())));
    }

    private HttpResponse singleResponse(JobId job, Optional<JobOutcome> outcome) {
        HttpResponse response = switch (outcome.orElseGet(() -> Failures.coordinatorSilent(parts.processId()))) {
            case JobOutcome.Complete complete ->
                Responses.json(Responses.OK, complete.answers().getFirst());
            case JobOutcome.Failure failure -> Responses.outcome(job, failure);
        };
        return response.addHeader(RawHeader.create(JOB_HEADER, job.text()));
    }

    private CompletionStage<HttpResponse> status(String name) {
        return parts.jobs()
                .status(new JobId(name))
                .thenApplyAsync(
                        found -> found.map(status -> Responses.json(
                                        Responses.OK,
                                        Responses.statusDocument(status).toString()))
                                .orElseGet(() -> jobNotFound(name)),
                        parts.executor());
    }

    private CompletionStage<HttpResponse> answer(String name, HttpRequest request) {
        Duration wait = WaitPreference.of(request).orElse(Duration.ZERO);
        return parts.jobs()
                .outcome(new JobId(name), wait)
                .thenApplyAsync(
                        found -> found.map(JobRoutes::answerOf).orElseGet(() -> jobNotFound(name)), parts.executor());
    }

    private static HttpResponse answerOf(JobStatus status) {
        return status.outcome()
                .map(outcome -> Responses.outcome(status.job(), outcome))
                .orElseGet(() -> Responses.pending(status));
    }

    private CompletionStage<HttpResponse> cancel(String name, HttpRequest request) {
        Duration wait = WaitPreference.of(request).orElse(DEFAULT_CANCEL_WAIT);
        return parts.jobs()
                .cancel(new JobId(name), wait)
                .thenApplyAsync(
                        found -> found.map(JobRoutes::cancelResponse).orElseGet(() -> jobNotFound(name)),
                        parts.executor());
    }

    private static HttpResponse cancelResponse(JobStatus status) {
        int code = status.outcome().isPresent() ? Responses.OK : Responses.ACCEPTED;
        return Responses.json(code, Responses.statusDocument(status).toString());
    }

    private CompletionStage<HttpResponse> list(HttpRequest request) {
        Optional<String> team = request.getUri().query().get("team");
        int limit =
                request.getUri().query().get("limit").map(JobRoutes::parseLimit).orElse(DEFAULT_LIST_LIMIT);
        if (limit < 1) {
            InputMistake mistake = new InputMistake("limit", "must be a whole number from 1 to " + MAXIMUM_LIST_LIMIT);
            return invalidInput(List.of(mistake));
        }
        return parts.jobs().list(team, limit).thenApplyAsync(Responses::jobs, parts.executor());
    }

    private static int parseLimit(String text) {
        try {
            int limit = Integer.parseInt(text);
            return limit > MAXIMUM_LIST_LIMIT ? 0 : limit;
        } catch (NumberFormatException notWhole) {
            return 0;
        }
    }

    // Every open submission keeps its content and its answer in memory. Without a limit on open submissions, a burst of
    // requests ends the process with an out-of-memory error, and no client receives an outcome.
    private CompletionStage<HttpResponse> withBody(
            HttpRequest request, Function<String, CompletionStage<HttpResponse>> handler) {
        if (openSubmissions.incrementAndGet() > parts.maximumOpenSubmissions()) {
            openSubmissions.decrementAndGet();
            request.discardEntityBytes(parts.materializer());
            return CompletableFuture.completedStage(overloaded(request));
        }
        return request.entity()
                .withSizeLimit(parts.maximumBodyBytes())
                .toStrict(BODY_TIMEOUT_MILLIS, parts.materializer())
                .thenCompose(body -> decode(body.getData().toArrayUnsafe(), handler))
                .whenComplete((response, failure) -> openSubmissions.decrementAndGet());
    }

    private static CompletionStage<HttpResponse> decode(
            byte[] body, Function<String, CompletionStage<HttpResponse>> handler) {
        return switch (Utf8.decode(body)) {
            case Utf8.Decoded.Text whole -> handler.apply(whole.text());
            case Utf8.Decoded.Malformed malformed -> {
                String place = SubmissionReader.place(malformed.line(), malformed.column());
                yield invalidInput(List.of(new InputMistake(place, Utf8.Decoded.Malformed.MESSAGE)));
            }
        };
    }

    private HttpResponse overloaded(HttpRequest request) {
        JobOutcome.Certainty certainty =
                header(request, KEY_HEADER).isPresent() ? JobOutcome.Certainty.UNKNOWN : JobOutcome.Certainty.NOT_RUN;
        String detail = "too many requests are held by this entry; this one started nothing";
        return Responses.failure(Failures.overloaded(certainty, detail));
    }

    private static CompletionStage<HttpResponse> invalidInput(List<InputMistake> mistakes) {
        return CompletableFuture.completedStage(Responses.invalidInput(BAD_REQUEST, mistakes));
    }

    private static HttpResponse jobNotFound(String name) {
        return Responses.failure(Failures.noJob(name));
    }

    private static Optional<String> header(HttpRequest request, String name) {
        return request.getHeader(name).map(HttpHeader::value);
    }

    /**
     * Dependencies and limits of the routes.
     *
     * @param processId process id of this entry
     * @param jobs submits, looks up, lists and cancels jobs
     * @param policies policies of the services
     * @param newKey generates keys for submissions without an idempotency key
     * @param waits limits how long a response waits for an outcome
     * @param maximumBodyBytes maximum length of a request body, in bytes
     * @param maximumOpenSubmissions maximum number of concurrently open submissions; further ones are rejected
     * @param executor runs the serialization of response documents, which may be large
     * @param materializer runs the streams that read or discard request bodies
     */
    public record Parts(
            String processId,
            Jobs jobs,
            ServicePolicies policies,
            Supplier<String> newKey,
            Waits waits,
            long maximumBodyBytes,
            int maximumOpenSubmissions,
            Executor executor,
            Materializer materializer) {}
}
