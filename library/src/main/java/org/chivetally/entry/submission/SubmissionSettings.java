package org.chivetally.entry.submission;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits of the jobs that one entry keeps.
 *
 * @param dedupeWindow how long final outcomes are kept; the same as the claims' window
 * @param maximumKeptBytes most bytes of kept outcomes; older answers are dropped over it
 */
public record SubmissionSettings(Duration dedupeWindow, long maximumKeptBytes) {
    /** Refuses missing or non-positive limits. */
    public SubmissionSettings {
        Objects.requireNonNull(dedupeWindow, "dedupeWindow");
        if (dedupeWindow.isNegative() || maximumKeptBytes < 1) {
            throw new IllegalArgumentException("limits must be positive");
        }
    }
}
