package org.chivetally.entry.member;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Members that another entry suspects and that were asked for a sign of life. Owned by one actor. */
public final class Probes {
    private static final long PATIENCE_NANOS = Duration.ofMillis(500).toNanos();

    private final List<Probe> open = new ArrayList<>();

    /** Notes that a member was asked; the reply is true if anything comes from it in time. */
    public void begin(Incarnation member, Consumer<Boolean> alive, long now) {
        open.add(new Probe(member, alive, now + PATIENCE_NANOS));
    }

    /** Notes that a frame of a member arrived. */
    public void received(Incarnation member) {
        if (open.isEmpty()) {
            return;
        }
        answer(probe -> probe.member.equals(member), true);
    }

    /** Ends probes that nothing came back for. */
    public void expire(long now) {
        answer(probe -> now - probe.until >= 0, false);
    }

    private void answer(Predicate<Probe> which, boolean alive) {
        Iterator<Probe> all = open.iterator();
        while (all.hasNext()) {
            Probe probe = all.next();
            if (which.test(probe)) {
                all.remove();
                probe.alive.accept(alive);
            }
        }
    }

    private record Probe(Incarnation member, Consumer<Boolean> alive, long until) {}
}
