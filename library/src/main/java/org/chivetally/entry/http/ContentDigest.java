package org.chivetally.entry.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import org.chivetally.errors.ChivetallyException;
import org.chivetally.errors.ErrorCode;
import org.chivetally.job.Resources;
import tools.jackson.databind.DeserializationFeature;
import tools.jackson.databind.cfg.JsonNodeFeature;
import tools.jackson.databind.json.JsonMapper;

/**
 * Digest of a submission's content, the same for the same content in another layout or order of keys.
 *
 * <p>The deadline is left out: a caller that submits again may well have less time left.
 */
final class ContentDigest {
    private static final JsonMapper CANONICAL = JsonMapper.builder()
            .enable(DeserializationFeature.USE_BIG_DECIMAL_FOR_FLOATS)
            .enable(JsonNodeFeature.WRITE_PROPERTIES_SORTED)
            .build();

    private final MessageDigest digest;

    private ContentDigest() {
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException missing) {
            throw new ChivetallyException(ErrorCode.INTERNAL, "every Java runtime has SHA-256", missing);
        }
    }

    /** Returns the digest in hexadecimal. */
    static String of(String service, String team, List<SubmissionReader.Task> tasks) {
        ContentDigest content = new ContentDigest();
        content.add(service);
        content.add(team);
        for (SubmissionReader.Task task : tasks) {
            content.add(CANONICAL.readTree(task.payload()).toString());
            content.add(task.resources().map(ContentDigest::text).orElse(""));
        }
        return HexFormat.of().formatHex(content.digest.digest());
    }

    private static String text(Resources resources) {
        return resources.processorMillis() + "," + resources.memoryBytes() + "," + resources.accelerators();
    }

    // The length goes first, so that two parts can't be cut elsewhere and give the same digest.
    private void add(String part) {
        byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
        digest.update((bytes.length + ":").getBytes(StandardCharsets.US_ASCII));
        digest.update(bytes);
    }
}
