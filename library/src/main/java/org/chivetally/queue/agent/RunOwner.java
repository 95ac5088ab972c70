package org.chivetally.queue.agent;

import java.util.Objects;
import org.chivetally.queue.link.Peer;

/** Whoever started a run and follows it. */
public sealed interface RunOwner {
    /**
     * The owner of a partition, whichever entry that is. Its runs outlive an entry, as the next owner takes them over.
     *
     * @param number the partition
     */
    record Partition(int number) implements RunOwner {}

    /**
     * An entry at one start of it. Its runs are worth nothing without it, as nobody else knows their job.
     *
     * @param process name of the entry
     * @param incarnation its start
     */
    record Entry(String process, long incarnation) implements RunOwner {
        /** Refuses a missing name. */
        public Entry {
            Objects.requireNonNull(process, "process");
        }

        /** Returns the entry at the other end of a link. */
        static Entry at(Peer peer) {
            return new Entry(peer.process(), peer.incarnation());
        }

        /** As by default, but written out: each start and look compares the owners of all runs. */
        @Override
        public boolean equals(Object other) {
            return other instanceof Entry entry && incarnation == entry.incarnation && process.equals(entry.process);
        }

        /** As by default, but written out, for the reason that {@link #equals} has. */
        @Override
        public int hashCode() {
            return process.hashCode() + Long.hashCode(incarnation);
        }
    }
}
