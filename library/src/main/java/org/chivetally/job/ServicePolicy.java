package org.chivetally.job;

import java.time.Duration;
import java.util.Objects;

/**
 * How the tasks of one service may be run, as operators declare it.
 *
 * @param name name of the service
 * @param idempotent whether a task may run again after an attempt that may have started
 * @param claimMode where submissions are claimed
 * @param maximumAttempts most attempts of one task, counted from one
 * @param attemptLease longest run of one attempt; the agent ends it afterwards
 * @param defaultDeadline deadline of a job that names none
 * @param speculate whether a straggler may get a second copy; only for idempotent services
 * @param resources what a task needs that declares nothing
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
    /** Refuses missing parts, fewer than one attempt, and second copies of what must run once. */
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

    /** Returns the policy of a service that nobody declared: safe for work that must run once. */
    public static ServicePolicy undeclared(String name) {
        return new ServicePolicy(
                name, false, ClaimMode.LOG, 3, Duration.ofSeconds(30), Duration.ofSeconds(60), false, Resources.NONE);
    }

    /** Where submissions of a service are claimed. */
    public enum ClaimMode {
        /** In the platform's log; refused as not run while the log is down. */
        LOG,
        /** In the log when it answers, otherwise in the entry's memory only. */
        MEMORY
    }
}
