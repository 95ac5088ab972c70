package org.chivetally.queue.agent;

import java.util.Objects;

/**
 * One start of a minion: its id, and when it started where it tells that. A minion may come back under the same id, and
 * then holds no runs and counts from the beginning.
 *
 * @param id id that its calls and announcements carry
 * @param startedAtMillis start by its own account, in milliseconds since 1970; 0 when it told none, so that the id
 *     alone counts
 * @param name tells incarnations of one id apart in frames and logs; the id alone without a start
 */
public record Incarnation(String id, long startedAtMillis, String name) {
    /** Refuses missing parts. */
    public Incarnation {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(name, "name");
    }

    /** Returns the incarnation of that id and start; 0 for none. */
    public static Incarnation of(String id, long startedAtMillis) {
        return new Incarnation(id, startedAtMillis, startedAtMillis == 0 ? id : id + "@" + startedAtMillis);
    }

    /** Tells whether the other may be this one: the ids are equal, and the starts where both are known. */
    boolean matches(Incarnation other) {
        return hasId(other.id) && mayHaveStartedAt(other.startedAtMillis);
    }

    /** Tells whether it has that id. */
    boolean hasId(String otherId) {
        return id.equals(otherId);
    }

    /** Tells whether a start, 0 for none, may be that of this one. */
    boolean mayHaveStartedAt(long otherStartedAtMillis) {
        return startedAtMillis == otherStartedAtMillis || startedAtMillis == 0 || otherStartedAtMillis == 0;
    }

    /** Tells whether both have one id and this one started before the other. */
    boolean isEarlierThan(Incarnation other) {
        return hasId(other.id) && !mayHaveStartedAt(other.startedAtMillis) && startedAtMillis < other.startedAtMillis;
    }
}
