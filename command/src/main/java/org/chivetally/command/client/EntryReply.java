package org.chivetally.command.client;

import java.util.Optional;
import org.chivetally.errors.ChivetallyException;
import org.chivetally.errors.ErrorCode;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.json.JsonMapper;

/**
 * An entry's answer to one request.
 *
 * @param status HTTP status
 * @param body text of the body, possibly empty
 */
public record EntryReply(int status, String body) {
    private static final JsonMapper MAPPER = JsonMapper.shared();
    private static final int FIRST_ERROR_STATUS = 400;

    /** Returns whether the request succeeded. */
    public boolean succeeded() {
        return status < FIRST_ERROR_STATUS;
    }

    /** Returns the body as JSON; an empty body gives an empty object. */
    public JsonNode document() {
        if (body.isBlank()) {
            return MAPPER.createObjectNode();
        }
        try {
            return MAPPER.readTree(body);
        } catch (JacksonException malformed) {
            throw new ChivetallyException(
                    ErrorCode.INTERNAL, "the entry answered " + status + " with a body that is not JSON", malformed);
        }
    }

    /** Returns the problem document of a failed request, or empty if the request succeeded. */
    public Optional<Problem> problem() {
        if (succeeded()) {
            return Optional.empty();
        }
        return Optional.of(Problem.of(this));
    }
}
