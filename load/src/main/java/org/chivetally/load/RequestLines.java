package org.chivetally.load;

import java.util.List;
import tools.jackson.databind.json.JsonMapper;
import tools.jackson.databind.node.ObjectNode;

/**
 * Formats the requests of a run as JSON lines, one object per request, so that a client's view can be correlated with
 * logs.
 */
public final class RequestLines {
    private static final JsonMapper MAPPER = JsonMapper.shared();
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private RequestLines() {}

    /** Returns the lines in the given order. Times are in milliseconds since the beginning of the run. */
    public static String of(List<RequestRecord> requests, Tokens tokens) {
        StringBuilder lines = new StringBuilder();
        for (RequestRecord request : requests) {
            lines.append(MAPPER.writeValueAsString(line(request, tokens))).append('\n');
        }
        return lines.toString();
    }

    private static ObjectNode line(RequestRecord request, Tokens tokens) {
        ObjectNode line = MAPPER.createObjectNode();
        line.put("key", tokens.key(request.job().index()));
        line.put("repeat", request.repeat());
        line.put("attempt", request.attempt());
        line.put("entry", request.entry());
        line.put("tasks", request.job().taskMillis().size());
        line.put("due", request.dueNanos() / NANOS_PER_MILLI);
        line.put("sent", request.sentNanos() / NANOS_PER_MILLI);
        line.put("ended", request.endedNanos() / NANOS_PER_MILLI);
        line.put("reply", text(request.reply()));
        return line;
    }

    private static String text(Reply reply) {
        return switch (reply) {
            case Reply.Complete complete -> "complete " + complete.job();
            case Reply.Problem problem -> problem.certainty().text() + " " + problem.code() + " " + problem.detail();
            case Reply.Malformed malformed -> "malformed " + malformed.status() + " " + malformed.body();
            case Reply.Unreachable unreachable -> "unreachable " + unreachable.reason();
            case Reply.Closed closed -> "closed " + closed.reason();
            case Reply.Pending pending -> "pending " + pending.job();
            case Reply.TimedOut timedOut -> "no answer";
        };
    }
}
