package org.chivetally.resource.http;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.regex.Pattern;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.chivetally.document.Mistakes;

/**
 * Parameters of a write request, from its query and headers. Other components are valid only if there are no mistakes.
 *
 * @param basedOn version on which the change is based, from the query or else from the header If-Match
 * @param force whether the change applies to any current version
 * @param dryRun whether to return the changes without making them
 * @param changedBy name from the header Chivetally-Operator, or {@code unnamed} if absent
 * @param writeId id from the header Idempotency-Key, or a random UUID if absent
 * @param mistakes mistakes found in the query and the headers
 */
record WriteParameters(
        OptionalLong basedOn, boolean force, boolean dryRun, String changedBy, String writeId, Mistakes mistakes) {
    private static final String OPERATOR_HEADER = "Chivetally-Operator";
    private static final String WRITE_ID_HEADER = "Idempotency-Key";
    private static final String DEFAULT_OPERATOR = "unnamed";
    private static final Pattern OPERATOR_PATTERN = Pattern.compile("[^\\p{Cntrl}]{1,100}");
    private static final Pattern WRITE_ID_PATTERN = Pattern.compile("[A-Za-z0-9_-]{8,100}");

    /** Reads the parameters of a change of one resource, which needs a base version or {@code force}. */
    static WriteParameters forSingleChange(HttpRequest request) {
        QueryParameters query = new QueryParameters(request);
        OptionalLong basedOn = query.version("basedOn");
        boolean force = query.flag("force");
        if (basedOn.isEmpty()) {
            basedOn = versionFromIfMatch(request, query);
        }
        if (basedOn.isEmpty() && !force) {
            query.addMistake("basedOn", "is missing: the version that was seen, 0 to create, or force=true for any");
        }
        return of(request, query, basedOn, force);
    }

    /** Reads the parameters of a change of several resources, whose base versions are in the request body. */
    static WriteParameters forBatch(HttpRequest request) {
        return of(request, new QueryParameters(request), OptionalLong.empty(), false);
    }

    private static WriteParameters of(HttpRequest request, QueryParameters query, OptionalLong basedOn, boolean force) {
        boolean dryRun = query.flag("dryRun");
        String changedBy = header(request, OPERATOR_HEADER).orElse(DEFAULT_OPERATOR);
        if (!OPERATOR_PATTERN.matcher(changedBy).matches()) {
            query.addMistake(OPERATOR_HEADER, "a name has 1 to 100 characters and no control characters");
        }
        String writeId = header(request, WRITE_ID_HEADER)
                .orElseGet(() -> UUID.randomUUID().toString());
        if (!WRITE_ID_PATTERN.matcher(writeId).matches()) {
            query.addMistake(WRITE_ID_HEADER, "an id has 8 to 100 characters of A-Z, a-z, 0-9, hyphen and underscore");
        }
        return new WriteParameters(basedOn, force, dryRun, changedBy, writeId, query.finish());
    }

    private static OptionalLong versionFromIfMatch(HttpRequest request, QueryParameters query) {
        Optional<String> entityTag = header(request, "If-Match");
        if (entityTag.isEmpty()) {
            return OptionalLong.empty();
        }
        OptionalLong version = QueryParameters.parseVersion(entityTag.get().replace("\"", ""));
        if (version.isEmpty()) {
            query.addMistake("If-Match", "\"" + entityTag.get() + "\" is not a version");
        }
        return version;
    }

    private static Optional<String> header(HttpRequest request, String name) {
        return request.getHeader(name).map(HttpHeader::value);
    }
}
