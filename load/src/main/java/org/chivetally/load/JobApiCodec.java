package org.chivetally.load;

import java.util.ArrayList;
import java.util.List;
import org.chivetally.job.JobOutcome.Certainty;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.json.JsonMapper;
import tools.jackson.databind.node.ArrayNode;
import tools.jackson.databind.node.ObjectNode;

/** Encodes and decodes the JSON bodies of the entries' job interface. */
public final class JobApiCodec {
    private static final JsonMapper MAPPER = JsonMapper.shared();
    private static final int HTTP_OK = 200;

    private JobApiCodec() {}

    /**
     * Encodes a submission. Each task's payload carries the task's token, which the minion returns as its answer.
     *
     * @param deadlineMillis deadline of the job, in milliseconds from its submission
     */
    public static String submissionBody(ScheduledJob job, Tokens tokens, long deadlineMillis) {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("service", job.service().name());
        body.put("team", job.team());
        body.put("deadlineMillis", deadlineMillis);
        ArrayNode tasks = body.putArray("tasks");
        for (int task = 0; task < job.taskMillis().size(); task++) {
            String token = tokens.token(job.index(), task);
            ObjectNode payload = tasks.addObject().putObject("payload");
            payload.put("workMillis", job.taskMillis().get(task));
            payload.put("token", token);
            payload.put("answer", token);
        }
        return MAPPER.writeValueAsString(body);
    }

    /** Decodes the response to a submission or to a query for an answer. */
    public static Reply parseReply(int status, String body) {
        JsonNode root;
        try {
            root = MAPPER.readTree(body);
        } catch (JacksonException malformed) {
            return new Reply.Malformed(status, body);
        }
        if (status == HTTP_OK && "complete".equals(root.path("state").asString(""))) {
            return new Reply.Complete(root.path("job").asString(""), parseAnswers(root.path("answers")));
        }
        for (Certainty certainty : Certainty.values()) {
            if (certainty.text().equals(root.path("certainty").asString(""))) {
                return parseProblem(status, certainty, root);
            }
        }
        return new Reply.Malformed(status, body);
    }

    /** Returns the ID of the job that a response refers to, or an empty string. */
    public static String parseJobId(String body) {
        try {
            return MAPPER.readTree(body).path("job").asString("");
        } catch (JacksonException malformed) {
            return "";
        }
    }

    private static Reply.Problem parseProblem(int status, Certainty certainty, JsonNode root) {
        String code = root.path("code").asString("");
        String detail = root.path("detail").asString("");
        return new Reply.Problem(
                status, code, certainty, detail, root.path("retryAfterMillis").asLong(0));
    }

    private static List<String> parseAnswers(JsonNode nodes) {
        List<String> answers = new ArrayList<>();
        for (JsonNode answer : nodes) {
            answers.add(answerToken(answer));
        }
        return answers;
    }

    /**
     * Returns the token in a task answer, which is either the token itself or an object of the minion that contains it.
     */
    private static String answerToken(JsonNode answer) {
        if (answer.isString()) {
            return answer.asString();
        }
        return answer.path("answer").asString(answer.toString());
    }
}
