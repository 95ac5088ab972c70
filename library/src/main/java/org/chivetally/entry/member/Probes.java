package org.chivetally.entry.member;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Pending liveness probes of members that another entry suspects. Owned by one actor. Times are nanoseconds. */
public final class Probes {
    private static final long PROBE_TIMEOUT_NANOS = Duration.ofMillis(500).toNanos();

    private final List<Probe> pending = new ArrayList<>();

    /** Adds a probe of a member; the reply is true if any frame arrives from it before the timeout. */
    public void begin(Incarnation member, Consumer<Boolean> alive, long now) {
        pending.add(new Probe(member, alive, now + PROBE_TIMEOUT_NANOS));
    }

    /** Completes the probes of a member that sent a frame. */
    public void received(Incarnation member) {
        if (pending.isEmpty()) {
            return;
        }
        answer(probe -> probe.member.equals(member), true);
    }

    /** Completes the probes that timed out. */
    public void expire(long now) {
        answer(probe -> now - probe.deadlineNanos >= 0, false);
    }

    private void answer(Predicate<Probe> matches, boolean alive) {
        Iterator<Probe> iterator = pending.iterator();
        while (iterator.hasNext()) {
            Probe probe = iterator.next();
            if (matches.test(probe)) {
                iterator.remove();
                probe.alive.accept(alive);
            }
        }
    }

    private record Probe(Incarnation member, Consumer<Boolean> alive, long deadlineNanos) {}
}
