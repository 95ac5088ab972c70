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

/** Builder of problem details documents ({@code application/problem+json}) with a stable error code. */
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

    /**
     * Creates a document.
     *
     * @param detail explanation for a human reader
     */
    public static ProblemDocument of(ErrorCode code, String detail) {
        return new ProblemDocument(code, detail);
    }

    /** Creates a document for invalid input that lists every mistake with its place. */
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

    /** Creates a document for version conflicts with the current version of each resource and who changed it. */
    public static ProblemDocument of(List<Conflict> conflicts) {
        ProblemDocument problem = of(
                ErrorCode.VERSION_CONFLICT,
                String.join("\n", conflicts.stream().map(Conflict::text).toList()));
        ArrayNode list = problem.node.putArray("conflicts");
        conflicts.forEach(conflict -> ResourceJson.write(list.addObject(), conflict));
        return problem;
    }

    /** Adds a member with a string value. */
    public ProblemDocument with(String key, String value) {
        node.put(key, value);
        return this;
    }

    /** Returns the document as JSON. */
    public String text() {
        return node.toString();
    }

    /** Returns the HTTP response, with a Retry-After header for codes of temporary conditions. */
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
