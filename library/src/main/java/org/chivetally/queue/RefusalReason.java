package org.chivetally.queue;

import java.util.Arrays;

/** Why a job was not accepted, or was refused before any of its tasks had run. */
public enum RefusalReason {
    /** The queued work takes longer than the caller's timeout. */
    BACKLOG("backlog", true),
    /** All capacity goes to jobs that can still meet their objective. */
    OVERTAKEN("overtaken", true),
    /** No capacity became available before the latest useful start. */
    NOT_STARTED_IN_TIME("not started in time", true),
    /** The process is stopping and would end before the job. */
    STOPPING("stopping", false),
    /** The process was stalled, and the caller may have submitted the job to another entry in the meantime. */
    STOOD_STILL("stood still", false),
    /** All failure domains with workers for the job are evacuated. */
    EVACUATED("evacuated", false),
    /** The log accepts no writes, so the job can't be stored. */
    LOG_UNAVAILABLE("log takes no writes", false),
    /** The owner of the job's partition is unreachable. */
    OWNER_UNAVAILABLE("no owner", false);

    private final String text;
    private final boolean overload;

    RefusalReason(String text, boolean overload) {
        this.text = text;
        this.overload = overload;
    }

    /** Returns the text of the reason, as used in logs, in frames and in responses to callers. */
    public String text() {
        return text;
    }

    /** Returns whether the service is overloaded, as opposed to a part of the system being unavailable. */
    public boolean isOverload() {
        return overload;
    }

    /**
     * Returns the reason with the given text; {@link #OWNER_UNAVAILABLE} for an unknown text, as of a newer release.
     */
    public static RefusalReason of(String text) {
        return Arrays.stream(values())
                .filter(reason -> reason.text.equals(text))
                .findFirst()
                .orElse(OWNER_UNAVAILABLE);
    }
}
