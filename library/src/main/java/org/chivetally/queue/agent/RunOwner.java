package org.chivetally.queue.agent;

import java.util.Objects;
import org.chivetally.queue.link.Peer;

/** The owner of a run, which started it and receives its end. */
public sealed interface RunOwner {
    /**
     * The owner of a partition, whichever entry that is. The runs survive the failure of an entry, as the next owner of
     * the partition takes them over.
     *
     * @param number the partition
     */
    record Partition(int number) implements RunOwner {}

    /**
     * One start of an entry. Its runs are useless after it ends, as no other process knows their jobs.
     *
     * @param process name of the entry
     * @param incarnation its start
     */
    record Entry(String process, long incarnation) implements RunOwner {
        /** Rejects a null name. */
        public Entry {
            Objects.requireNonNull(process, "process");
        }

        /** Returns the entry at the other end of a link. */
        static Entry at(Peer peer) {
            return new Entry(peer.process(), peer.incarnation());
        }

        /** Equal to the default implementation but faster; each start and poll compares the owners of all runs. */
        @Override
        public boolean equals(Object other) {
            return other instanceof Entry entry && incarnation == entry.incarnation && process.equals(entry.process);
        }

        /** Equal to the default implementation but faster; see {@link #equals}. */
        @Override
        public int hashCode() {
            return process.hashCode() + Long.hashCode(incarnation);
        }
    }
}
