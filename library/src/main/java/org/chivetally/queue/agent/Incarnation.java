package org.chivetally.queue.agent;

import java.util.Objects;

/**
 * One start of a minion: its id, and when it started where it tells that. A minion may come back under the same id, and
 * then holds no runs and counts from the beginning.
 *
 * @param id id that its calls and announcements carry
 * @param bornAtMillis start by its own account, in milliseconds since 1970; 0 when it told none, so that the id alone
 *     counts
 * @param name tells incarnations of one id apart in frames and logs; the id alone without a start
 */
public record Incarnation(String id, long bornAtMillis, String name) {
    /** Refuses missing parts. */
    public Incarnation {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(name, "name");
    }

    /** Returns the incarnation of that id and start; 0 for none. */
    public static Incarnation of(String id, long bornAtMillis) {
        return new Incarnation(id, bornAtMillis, bornAtMillis == 0 ? id : id + "@" + bornAtMillis);
    }

    /** Tells whether the other may be this one: the ids are equal, and the starts where both are known. */
    boolean isSame(Incarnation other) {
        return isKnownAs(other.id) && isBornAs(other.bornAtMillis);
    }

    /** Tells whether it has that id. */
    boolean isKnownAs(String otherId) {
        return id.equals(otherId);
    }

    /** Tells whether a start, 0 for none, may be that of this one. */
    boolean isBornAs(long otherMillis) {
        return bornAtMillis == otherMillis || bornAtMillis == 0 || otherMillis == 0;
    }

    /** Tells whether both have one id and this one started before the other. */
    boolean isEarlierThan(Incarnation other) {
        return isKnownAs(other.id) && !isBornAs(other.bornAtMillis) && bornAtMillis < other.bornAtMillis;
    }
}
