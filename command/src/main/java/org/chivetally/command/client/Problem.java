package org.chivetally.command.client;

import java.util.Arrays;
import java.util.Optional;
import org.chivetally.errors.ErrorCode;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.json.JsonMapper;

/**
 * Problem document with which an entry answers a failed request.
 *
 * @param code stable code of the cause
 * @param certainty what is known about the work of the request: {@code not-run}, {@code failed}, {@code unknown}, or
 *     empty
 * @param detail human-readable explanation in one sentence
 */
public record Problem(ErrorCode code, String certainty, String detail) {
    private static final String UNKNOWN = "unknown";

    /**
     * Parses the problem document of an answer. Any other body becomes the detail, with a code that fits the HTTP
     * status.
     */
    public static Problem of(EntryReply reply) {
        JsonNode document = parsed(reply.body());
        ErrorCode code = codeOf(document.path("code").asString("")).orElseGet(() -> codeOf(reply.status()));
        String detail = document.path("detail").asString("HTTP " + reply.status() + " " + reply.body());
        return new Problem(
                code,
                document.path("outcome").asString(document.path("certainty").asString("")),
                detail);
    }

    /** Returns whether work may have started whose outcome is unknown. */
    public boolean isOutcomeUnknown() {
        return certainty.equals(UNKNOWN);
    }

    /** Returns the problem as one human-readable line. */
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
