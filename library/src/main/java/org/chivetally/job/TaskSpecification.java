package org.chivetally.job;

import java.util.Objects;

/**
 * One task of a job.
 *
 * @param payload JSON text that is passed to the minion unchanged
 * @param resources resources that the task declares to require; {@link Resources#NONE} if it declares none
 */
public record TaskSpecification(String payload, Resources resources) {
    /** Rejects null components. */
    public TaskSpecification {
        Objects.requireNonNull(payload, "payload");
        Objects.requireNonNull(resources, "resources");
    }
}
