package org.chivetally.entry.http;

import java.util.ArrayList;
import java.util.List;
import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpCharsets;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.MediaTypes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.chivetally.entry.submission.JobStatus;
import org.chivetally.entry.submission.OutcomeDocument;
import org.chivetally.errors.ErrorCode;
import org.chivetally.job.JobId;
import org.chivetally.job.JobOutcome;
import org.chivetally.job.JobOutcome.Certainty;
import tools.jackson.databind.json.JsonMapper;
import tools.jackson.databind.node.ArrayNode;
import tools.jackson.databind.node.ObjectNode;

/** Builds the responses of the HTTP interface. */
final class Responses {
    static final int OK = 200;
    static final int ACCEPTED = 202;

    private static final ContentType PROBLEM = MediaTypes.applicationWithFixedCharset(
                    "problem+json", HttpCharsets.UTF_8)
            .toContentType();
    private static final JsonMapper MAPPER = JsonMapper.shared();
    private static final long MILLIS_PER_SECOND = 1_000;

    private Responses() {}

    /** Returns a response with a JSON document. */
    static HttpResponse json(int status, String document) {
        return HttpResponse.create()
                .withStatus(status)
                .withEntity(HttpEntities.create(ContentTypes.APPLICATION_JSON, document));
    }

    /** Returns the final outcome of a job. */
    static HttpResponse outcome(JobId job, JobOutcome outcome) {
        String document = OutcomeDocument.write(job, outcome);
        return switch (outcome) {
            case JobOutcome.Complete complete -> json(OK, document);
            case JobOutcome.Failure failure -> problem(failure.code().httpStatus(), document, failure);
        };
    }

    /** Returns a failure that belongs to no job. */
    static HttpResponse failure(JobOutcome.Failure failure) {
        return problem(
                failure.code().httpStatus(), OutcomeDocument.problem(failure).toString(), failure);
    }

    /** Returns the validation errors of a request, for which no task was run. */
    static HttpResponse invalidInput(int status, List<InputMistake> mistakes) {
        JobOutcome.Failure failure = notRun(ErrorCode.INVALID_INPUT, mistakes.size() + " mistake(s) in the request");
        ObjectNode document = OutcomeDocument.problem(failure).put("status", status);
        ArrayNode list = document.putArray("mistakes");
        for (InputMistake mistake : mistakes) {
            list.addObject().put("place", mistake.place()).put("message", mistake.message());
        }
        return problem(status, document.toString(), failure);
    }

    /** Returns a {@code NOT_FOUND} failure. */
    static HttpResponse notFound(String detail) {
        return failure(notRun(ErrorCode.NOT_FOUND, detail));
    }

    /** Returns an internal error of this entry. It is unknown whether the request had an effect before the error. */
    static HttpResponse internal(String detail) {
        return failure(new JobOutcome.Failure(ErrorCode.INTERNAL, Certainty.UNKNOWN, detail, List.of(), 0));
    }

    /** Returns the status of a job that has no final outcome yet. */
    static HttpResponse pending(JobStatus status) {
        return json(ACCEPTED, statusDocument(status).toString())
                .addHeader(RawHeader.create("Location", "/v1/jobs/" + status.job()));
    }

    /** Returns a list of jobs. */
    static HttpResponse jobs(List<JobStatus> statuses) {
        ObjectNode document = MAPPER.createObjectNode();
        ArrayNode list = document.putArray("jobs");
        statuses.forEach(status -> list.add(statusDocument(status)));
        return json(OK, document.toString());
    }

    /** Returns the status of a job as a JSON object. */
    static ObjectNode statusDocument(JobStatus status) {
        ObjectNode document = MAPPER.createObjectNode();
        document.put("job", status.job().text()).put("state", state(status));
        if (!status.service().isEmpty()) {
            document.put("service", status.service()).put("tasks", status.tasks());
        }
        document.put("team", status.team())
                .put("coordinator", status.coordinator())
                .put("generation", status.generation());
        status.submittedAt().ifPresent(time -> document.put("submittedAt", time.toString()));
        if (status.outcome().orElse(null) instanceof JobOutcome.Failure failure) {
            document.set("failure", OutcomeDocument.problem(failure));
        }
        return document;
    }

    private static String state(JobStatus status) {
        return switch (status.phase()) {
            case CLAIMING -> "claiming";
            case RUNNING -> "running";
            case FINAL -> status.outcome().map(Responses::finalState).orElse("final");
        };
    }

    private static String finalState(JobOutcome outcome) {
        return switch (outcome) {
            case JobOutcome.Complete complete -> "complete";
            case JobOutcome.Failure failure -> failedState(failure.code());
        };
    }

    private static String failedState(ErrorCode code) {
        return switch (code) {
            case CANCELLED -> "cancelled";
            case ANSWER_EXPIRED -> "expired";
            default -> "failed";
        };
    }

    private static JobOutcome.Failure notRun(ErrorCode code, String detail) {
        return new JobOutcome.Failure(code, Certainty.NOT_RUN, detail, List.of(), 0);
    }

    private static HttpResponse problem(int status, String document, JobOutcome.Failure failure) {
        List<HttpHeader> headers = new ArrayList<>();
        if (failure.retryAfterMillis() > 0) {
            long seconds = Math.ceilDiv(failure.retryAfterMillis(), MILLIS_PER_SECOND);
            headers.add(RawHeader.create("Retry-After", Long.toString(seconds)));
        }
        return HttpResponse.create()
                .withStatus(status)
                .withEntity(HttpEntities.create((ContentType.NonBinary) PROBLEM, document))
                .addHeaders(headers);
    }
}
