package org.chivetally.command.client;

import java.util.Arrays;
import java.util.Optional;
import org.chivetally.errors.ErrorCode;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.json.JsonMapper;

/**
 * A problem document.
 *
 * @param code stable code of the cause
 * @param certainty what is certain about the work: {@code not-run}, {@code failed}, {@code unknown}, or empty
 * @param detail one sentence for a person
 */
public record Problem(ErrorCode code, String certainty, String detail) {
    private static final String UNKNOWN = "unknown";

    /** Reads the problem out of an answer; a body that is no problem document is kept as its detail. */
    public static Problem of(EntryReply reply) {
        JsonNode document = parsed(reply.body());
        ErrorCode code = codeOf(document.path("code").asString("")).orElseGet(() -> codeOf(reply.status()));
        String detail = document.path("detail").asString("HTTP " + reply.status() + " " + reply.body());
        return new Problem(
                code,
                document.path("outcome").asString(document.path("certainty").asString("")),
                detail);
    }

    /** Tells whether work may have started without a known outcome. */
    public boolean isOutcomeUnknown() {
        return certainty.equals(UNKNOWN);
    }

    /** Returns one line for a person. */
    public String line() {
        String work = certainty.isEmpty() ? "" : " (" + certainty + ")";
        return code.text() + work + ": " + detail;
    }

    private static JsonNode parsed(String body) {
        try {
            return JsonMapper.shared().readTree(body);
        } catch (JacksonException malformed) {
            return JsonMapper.shared().createObjectNode();
        }
    }

    private static Optional<ErrorCode> codeOf(String text) {
        return Arrays.stream(ErrorCode.values())
                .filter(code -> code.text().equals(text))
                .findFirst();
    }

    private static ErrorCode codeOf(int status) {
        return Arrays.stream(ErrorCode.values())
                .filter(code -> code.httpStatus() == status)
                .findFirst()
                .orElse(ErrorCode.INTERNAL);
    }
}
