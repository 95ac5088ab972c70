package org.chivetally.load;

import java.util.ArrayList;
import java.util.List;
import org.chivetally.job.JobOutcome.Certainty;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.json.JsonMapper;
import tools.jackson.databind.node.ArrayNode;
import tools.jackson.databind.node.ObjectNode;

/** Bodies of the entries' job interface, written and read. */
public final class JobInterface {
    private static final JsonMapper MAPPER = JsonMapper.shared();
    private static final int SUCCESS = 200;

    private JobInterface() {}

    /** Writes the body of a submission; each task's payload carries its token, also as the answer wanted. */
    public static String submission(ScheduledJob job, Tokens tokens, long deadlineMillis) {
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

    /** Reads the reply to a submission or to a request for an answer. */
    public static Reply reply(int status, String body) {
        JsonNode root;
        try {
            root = MAPPER.readTree(body);
        } catch (JacksonException malformed) {
            return new Reply.Malformed(status, body);
        }
        if (status == SUCCESS && "complete".equals(root.path("state").asString(""))) {
            return new Reply.Complete(root.path("job").asString(""), answers(root.path("answers")));
        }
        for (Certainty certainty : Certainty.values()) {
            if (certainty.text().equals(root.path("certainty").asString(""))) {
                return problem(status, certainty, root);
            }
        }
        return new Reply.Malformed(status, body);
    }

    /** Returns the name of the job in any reply that carries one, or an empty text. */
    public static String jobName(String body) {
        try {
            return MAPPER.readTree(body).path("job").asString("");
        } catch (JacksonException malformed) {
            return "";
        }
    }

    private static Reply.Problem problem(int status, Certainty certainty, JsonNode root) {
        String code = root.path("code").asString("");
        String detail = root.path("detail").asString("");
        return new Reply.Problem(
                status, code, certainty, detail, root.path("retryAfterMillis").asLong(0));
    }

    private static List<String> answers(JsonNode list) {
        List<String> answers = new ArrayList<>();
        for (JsonNode answer : list) {
            answers.add(answerText(answer));
        }
        return answers;
    }

    /** An answer is the token itself, or an object of the minion that carries it. */
    private static String answerText(JsonNode answer) {
        if (answer.isString()) {
            return answer.asString();
        }
        return answer.path("answer").asString(answer.toString());
    }
}
