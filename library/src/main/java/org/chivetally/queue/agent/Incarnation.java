package org.chivetally.queue.agent;

import java.util.Objects;

/**
 * One start of a minion's process. A minion may be restarted under the same id; it then has no runs, and its counters
 * restart.
 *
 * @param id id of the minion in calls and announcements
 * @param startedAtMillis start time that the minion reports, in milliseconds since 1970; 0 if it reports none, so that
 *     only the id is compared
 * @param name distinguishes the incarnations with one id in messages and logs; equal to the id if there is no start
 *     time
 */
public record Incarnation(String id, long startedAtMillis, String name) {
    /** Rejects null components. */
    public Incarnation {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(name, "name");
    }

    /** Returns the incarnation with an id and a start time in milliseconds since 1970; 0 for an unknown start time. */
    public static Incarnation of(String id, long startedAtMillis) {
        return new Incarnation(id, startedAtMillis, startedAtMillis == 0 ? id : id + "@" + startedAtMillis);
    }

    /**
     * Tells whether the other may be the same incarnation: the ids are equal, and so are the start times if both are
     * known.
     */
    boolean matches(Incarnation other) {
        return hasId(other.id) && mayHaveStartedAt(other.startedAtMillis);
    }

    /** Tells whether this incarnation has an id. */
    boolean hasId(String otherId) {
        return id.equals(otherId);
    }

    /** Tells whether this incarnation may have a start time. An unknown one, which is 0, matches any. */
    boolean mayHaveStartedAt(long otherStartedAtMillis) {
        return startedAtMillis == otherStartedAtMillis || startedAtMillis == 0 || otherStartedAtMillis == 0;
    }

    /** Tells whether both have the same id and this incarnation started before the other. */
    boolean isEarlierThan(Incarnation other) {
        return hasId(other.id) && !mayHaveStartedAt(other.startedAtMillis) && startedAtMillis < other.startedAtMillis;
    }
}
