package org.chivetally.entry.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.chivetally.errors.ChivetallyException;
import org.chivetally.errors.ErrorCode;
import org.chivetally.job.Resources;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.DeserializationFeature;
import tools.jackson.databind.cfg.JsonNodeFeature;
import tools.jackson.databind.json.JsonMapper;

/**
 * Digest of a submission's content. It does not depend on the whitespace or the key order of the JSON.
 *
 * <p>The deadline is not part of the digest: a client that submits the same content again may have less time left.
 */
final class ContentDigest {
    private static final JsonMapper CANONICAL = JsonMapper.builder()
            .enable(DeserializationFeature.USE_BIG_DECIMAL_FOR_FLOATS)
            .enable(JsonNodeFeature.WRITE_PROPERTIES_SORTED)
            .build();

    private final MessageDigest digest;

    /** Starts the digest of a submission. */
    ContentDigest(String service, String team) {
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException missing) {
            throw new ChivetallyException(ErrorCode.INTERNAL, "every Java runtime has SHA-256", missing);
        }
        add(service);
        add(team);
    }

    /**
     * Adds a task.
     *
     * @return false if the payload contains a number that is too large or too small for a canonical form
     */
    boolean add(SubmissionReader.Task task) {
        try {
            add(CANONICAL.readTree(task.payload()).toString());
        } catch (JacksonException | ArithmeticException | NumberFormatException outOfRange) {
            return false;
        }
        add(task.resources().map(ContentDigest::text).orElse(""));
        return true;
    }

    /** Completes the digest and returns it in hexadecimal. */
    String text() {
        return HexFormat.of().formatHex(digest.digest());
    }

    private static String text(Resources resources) {
        return resources.processorMillis() + "," + resources.memoryBytes() + "," + resources.accelerators();
    }

    // Each part is prefixed with its length; without it, parts split at other positions could give the same digest.
    private void add(String part) {
        byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
        digest.update((bytes.length + ":").getBytes(StandardCharsets.US_ASCII));
        digest.update(bytes);
    }
}
