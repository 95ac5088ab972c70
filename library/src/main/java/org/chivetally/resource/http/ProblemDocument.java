package org.chivetally.resource.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.MediaTypes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.chivetally.document.Mistake;
import org.chivetally.document.Mistakes;
import org.chivetally.errors.ErrorCode;
import org.chivetally.resource.Conflict;
import tools.jackson.databind.node.ArrayNode;
import tools.jackson.databind.node.JsonNodeFactory;
import tools.jackson.databind.node.ObjectNode;

/** Builds problem documents with a stable code. */
public final class ProblemDocument {
    private static final ContentType PROBLEM_JSON =
            MediaTypes.applicationBinary("problem+json", true, "json").toContentType();
    private static final String RETRY_AFTER_SECONDS = "1";

    private final ErrorCode code;
    private final ObjectNode node = JsonNodeFactory.instance.objectNode();

    private ProblemDocument(ErrorCode code, String detail) {
        this.code = code;
        node.put("type", "about:blank");
        node.put("title", code.text());
        node.put("status", code.httpStatus());
        node.put("code", code.text());
        node.put("detail", detail);
    }

    /** Starts a document with its code and one sentence for a person. */
    public static ProblemDocument of(ErrorCode code, String detail) {
        return new ProblemDocument(code, detail);
    }

    /** Returns the document of malformed input, with every mistake and its place. */
    public static ProblemDocument of(Mistakes mistakes) {
        ProblemDocument problem = of(ErrorCode.INVALID_INPUT, mistakes.text());
        ArrayNode list = problem.node.putArray("mistakes");
        for (Mistake mistake : mistakes.list()) {
            list.addObject()
                    .put("place", mistake.place())
                    .put("path", mistake.path())
                    .put("message", mistake.message());
        }
        return problem;
    }

    /** Returns the document of changes that did not fit, with the other writes. */
    public static ProblemDocument of(List<Conflict> conflicts) {
        ProblemDocument problem = of(
                ErrorCode.VERSION_CONFLICT,
                String.join("\n", conflicts.stream().map(Conflict::text).toList()));
        ArrayNode list = problem.node.putArray("conflicts");
        conflicts.forEach(conflict -> ResourceJson.write(list.addObject(), conflict));
        return problem;
    }

    /** Adds one more text member. */
    public ProblemDocument with(String key, String value) {
        node.put(key, value);
        return this;
    }

    /** Returns the JSON text. */
    public String text() {
        return node.toString();
    }

    /** Returns the answer; with Retry-After where the code may pass by itself. */
    public HttpResponse response() {
        HttpResponse response = HttpResponse.create()
                .withStatus(code.httpStatus())
                .withEntity(HttpEntities.create(PROBLEM_JSON, text().getBytes(StandardCharsets.UTF_8)));
        return switch (code) {
            case OVERLOADED, LOG_UNAVAILABLE, NOT_READY ->
                response.addHeader(RawHeader.create("Retry-After", RETRY_AFTER_SECONDS));
            default -> response;
        };
    }
}
