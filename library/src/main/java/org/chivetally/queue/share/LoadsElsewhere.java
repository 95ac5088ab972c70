package org.chivetally.queue.share;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** What the other entries have told of their queues, with its age. */
public final class LoadsElsewhere {
    /**
     * Age up to which what an entry has told counts. Entries tell every 250 ms, and a link that was cut is replaced
     * within 1.5 s; an older report may be several times the duration of a task old.
     */
    public static final Duration TOLD_VALID = Duration.ofSeconds(2);

    /** Age after which an entry that was last heard then is taken for gone, rather than out of reach. */
    public static final Duration REMEMBERED = Duration.ofSeconds(30);

    private final Map<String, Told> byEntry = new LinkedHashMap<>();
    /** What is known by service until something is told or gets too old: passes ask several times as often. */
    private final Map<String, Known> known = new HashMap<>();

    private long knownUntilNanos;

    /** What an entry told when. */
    private record Told(Map<String, QueueLoads> byService, long atNanos, boolean leaving) {}

    /**
     * What is known of the other entries at a moment.
     *
     * @param loads what the entries that are heard need of the service
     * @param heard number of entries that are heard, this one among them
     * @param silent number of entries that are out of reach
     */
    public record Known(QueueLoads loads, int heard, int silent) {
        /**
         * Returns the part of a capacity that the entries that are heard divide: those out of reach have callers too,
         * and take equal parts. An entry that hears no other one keeps its equal part.
         */
        public long capacityOf(long allMillis) {
            return allMillis * heard / (heard + silent);
        }
    }

    /**
     * Notes what an entry tells.
     *
     * @param byService what its queues use and need, by service
     * @param leaving whether it is about to stop, so that nothing is kept for it once it is silent
     */
    public void told(String entry, Map<String, QueueLoads> byService, boolean leaving, long nowNanos) {
        byEntry.put(entry, new Told(byService, nowNanos, leaving));
        known.clear();
    }

    /** Returns what is known of a service. */
    public Known of(String service, long nowNanos) {
        if (nowNanos - knownUntilNanos > 0) {
            known.clear();
        }
        Known ofService = known.get(service);
        if (ofService == null) {
            ofService = look(service, nowNanos);
            known.put(service, ofService);
        }
        return ofService;
    }

    private Known look(String service, long nowNanos) {
        knownUntilNanos = nowNanos + TOLD_VALID.toNanos();
        QueueLoads loads = new QueueLoads();
        int heard = 1;
        int silent = 0;
        for (Told told : byEntry.values()) {
            if (nowNanos - told.atNanos() <= TOLD_VALID.toNanos()) {
                heard++;
                knownUntilNanos = Math.min(knownUntilNanos, told.atNanos() + TOLD_VALID.toNanos());
                QueueLoads ofService = told.byService().get(service);
                if (ofService != null) {
                    loads.add(ofService);
                }
            } else if (!told.leaving()) {
                silent++;
            }
        }
        return new Known(loads, heard, silent);
    }

    /** Forgets entries that have been silent for so long that they are gone. */
    public void forgetGone(long nowNanos) {
        Iterator<Told> all = byEntry.values().iterator();
        while (all.hasNext()) {
            if (nowNanos - all.next().atNanos() > REMEMBERED.toNanos()) {
                all.remove();
                known.clear();
            }
        }
    }
}
