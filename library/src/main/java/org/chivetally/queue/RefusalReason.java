package org.chivetally.queue;

import java.util.Arrays;

/** Why a job was not taken on, or given back before anything of it had started. */
public enum RefusalReason {
    /** What waits already takes longer than the caller allows. */
    BACKLOG("backlog", true),
    /** All room goes to jobs that can still end within their objective. */
    DEPRIORITIZED("overtaken", true),
    /** There was no room until it was too late. */
    NOT_STARTED_IN_TIME("not started in time", true),
    /** The process stops before the job could end. */
    STOPPING("stopping", false),
    /** The process stood still, and the caller may have sent the job again elsewhere meanwhile. */
    STALLED("stood still", false),
    /** Operators have evacuated all failure domains that have workers for the job. */
    EVACUATED("evacuated", false),
    /** The log takes no writes now, so the job can't be kept. */
    LOG_UNAVAILABLE("log takes no writes", false),
    /** The owner of the job's partition could not be reached. */
    OWNER_UNAVAILABLE("no owner", false);

    private final String text;
    private final boolean overload;

    RefusalReason(String text, boolean overload) {
        this.text = text;
        this.overload = overload;
    }

    /** Returns the reason in words, as in logs, in frames and to callers. */
    public String text() {
        return text;
    }

    /** Tells whether the service has more to do than it can, rather than that something is away. */
    public boolean isOverload() {
        return overload;
    }

    /** Returns the reason of these words; words that a newer process may use mean that it could not serve the job. */
    public static RefusalReason of(String text) {
        return Arrays.stream(values())
                .filter(reason -> reason.text.equals(text))
                .findFirst()
                .orElse(OWNER_UNAVAILABLE);
    }
}
