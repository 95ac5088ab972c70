package org.chivetally.job;

import java.time.Duration;
import java.util.Objects;

/**
 * Rules for running the tasks of one service, as declared by operators.
 *
 * @param name name of the service
 * @param idempotent whether a task may be started again after an attempt that may have started
 * @param claimMode where submissions to the service are claimed
 * @param maximumAttempts maximum number of attempts per task, including the first; at least 1
 * @param attemptLease maximum run time of one attempt, after which the agent ends it
 * @param defaultDeadline deadline of jobs that specify none
 * @param speculate whether a second copy of a straggling task may be started; only for idempotent services
 * @param resources resources required by tasks that declare none
 */
public record ServicePolicy(
        String name,
        boolean idempotent,
        ClaimMode claimMode,
        int maximumAttempts,
        Duration attemptLease,
        Duration defaultDeadline,
        boolean speculate,
        Resources resources) {
    /** Rejects null components, less than one attempt, and duplicate runs of tasks that are not idempotent. */
    public ServicePolicy {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(claimMode, "claimMode");
        Objects.requireNonNull(attemptLease, "attemptLease");
        Objects.requireNonNull(defaultDeadline, "defaultDeadline");
        Objects.requireNonNull(resources, "resources");
        if (maximumAttempts < 1) {
            throw new IllegalArgumentException("a service allows at least one attempt");
        }
        if (!idempotent && (speculate || claimMode == ClaimMode.MEMORY)) {
            throw new IllegalArgumentException("only an idempotent service may speculate or claim in memory");
        }
    }

    /** Returns the policy of a service that is not declared; it is safe for tasks that must not run twice. */
    public static ServicePolicy undeclared(String name) {
        return new ServicePolicy(
                name, false, ClaimMode.LOG, 3, Duration.ofSeconds(30), Duration.ofSeconds(60), false, Resources.NONE);
    }

    /** Where submissions of a service are claimed. */
    public enum ClaimMode {
        /** In the platform log. Submissions are refused as not run while the log is unavailable. */
        LOG,
        /** In the platform log if it is available, otherwise only in the memory of the entry. */
        MEMORY
    }
}
