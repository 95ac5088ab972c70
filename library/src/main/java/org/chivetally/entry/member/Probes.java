package org.chivetally.entry.member;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Members that another entry suspects and that were asked for a sign of life. Owned by one actor. */
public final class Probes {
    private static final long PROBE_TIMEOUT_NANOS = Duration.ofMillis(500).toNanos();

    private final List<Probe> pending = new ArrayList<>();

    /** Notes that a member was asked; the reply is true if anything comes from it in time. */
    public void begin(Incarnation member, Consumer<Boolean> alive, long now) {
        pending.add(new Probe(member, alive, now + PROBE_TIMEOUT_NANOS));
    }

    /** Notes that a frame of a member arrived. */
    public void received(Incarnation member) {
        if (pending.isEmpty()) {
            return;
        }
        answer(probe -> probe.member.equals(member), true);
    }

    /** Ends probes that nothing came back for. */
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
