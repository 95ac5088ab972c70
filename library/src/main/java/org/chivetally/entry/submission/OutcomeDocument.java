package org.chivetally.entry.submission;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.chivetally.errors.ErrorCode;
import org.chivetally.job.JobId;
import org.chivetally.job.JobOutcome;
import org.chivetally.job.JobOutcome.Certainty;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.json.JsonMapper;
import tools.jackson.databind.node.ArrayNode;
import tools.jackson.databind.node.ObjectNode;

/** Outcomes as JSON documents: for callers over HTTP and between entries. */
public final class OutcomeDocument {
    private static final JsonMapper MAPPER = JsonMapper.shared();
    private static final String PROBLEM_TYPE = "urn:chivetally:problem:";

    private OutcomeDocument() {}

    /** Returns the document of a job's outcome. */
    public static String write(JobId job, JobOutcome outcome) {
        return switch (outcome) {
            case JobOutcome.Complete complete -> writeComplete(job, complete);
            case JobOutcome.Failure failure ->
                problem(failure).put("job", job.text()).toString();
        };
    }

    /** Returns a failure as a problem document, to which more may be added. */
    public static ObjectNode problem(JobOutcome.Failure failure) {
        ObjectNode document = MAPPER.createObjectNode();
        document.put("type", PROBLEM_TYPE + failure.code().text())
                .put("title", title(failure.code()))
                .put("status", failure.code().httpStatus())
                .put("code", failure.code().text())
                .put("detail", failure.detail())
                .put("certainty", failure.certainty().text());
        ArrayNode unknown = document.putArray("unknownTasks");
        failure.unknownTasks().forEach(unknown::add);
        document.put("retryAfterMillis", failure.retryAfterMillis());
        return document;
    }

    /**
     * Reads a document that another entry wrote.
     *
     * @throws IllegalArgumentException when it is none
     */
    public static JobOutcome read(String document) {
        try {
            JsonNode root = MAPPER.readTree(document);
            return root.has("code") ? readFailure(root) : new JobOutcome.Complete(RawJson.items(document, "answers"));
        } catch (JacksonException malformed) {
            throw new IllegalArgumentException("not an outcome: " + malformed.getOriginalMessage(), malformed);
        }
    }

    private static String writeComplete(JobId job, JobOutcome.Complete complete) {
        String name = MAPPER.writeValueAsString(job.text());
        StringBuilder text = new StringBuilder();
        text.append("{\"job\":").append(name).append(",\"state\":\"complete\",\"answers\":[");
        text.append(String.join(",", complete.answers()));
        return text.append("]}").toString();
    }

    private static JobOutcome.Failure readFailure(JsonNode root) {
        List<Integer> unknown = new ArrayList<>();
        root.path("unknownTasks").forEach(task -> unknown.add(task.asInt(0)));
        return new JobOutcome.Failure(
                code(root.path("code").asString("")),
                certainty(root.path("certainty").asString("")),
                root.path("detail").asString(""),
                unknown,
                root.path("retryAfterMillis").asLong(0));
    }

    private static ErrorCode code(String text) {
        for (ErrorCode code : ErrorCode.values()) {
            if (code.text().equals(text)) {
                return code;
            }
        }
        return ErrorCode.INTERNAL;
    }

    // A newer entry may use a word that this one does not know; the only claim that is safe then is none.
    private static Certainty certainty(String text) {
        for (Certainty certainty : Certainty.values()) {
            if (certainty.text().equals(text)) {
                return certainty;
            }
        }
        return Certainty.UNKNOWN;
    }

    private static String title(ErrorCode code) {
        String words = code.text().replace('-', ' ');
        return words.substring(0, 1).toUpperCase(Locale.ROOT) + words.substring(1);
    }
}
