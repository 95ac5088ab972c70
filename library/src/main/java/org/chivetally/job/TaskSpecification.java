package org.chivetally.job;

import java.util.Objects;

/**
 * One task of a job.
 *
 * @param payload JSON text handed to the minion as it is
 * @param resources what the task says it needs
 */
public record TaskSpecification(String payload, Resources resources) {
    /** Refuses missing parts. */
    public TaskSpecification {
        Objects.requireNonNull(payload, "payload");
        Objects.requireNonNull(resources, "resources");
    }
}
