package org.chivetally.queue.log;

import java.time.Duration;
import java.util.Set;
import java.util.function.Consumer;

/** The group among whose members the platform deals the partitions out. */
public interface OwnershipGroup {
    /**
     * Joins the group or stays in it.
     *
     * @param member name of the member, new for each start of a process
     * @param generation last generation that the member learned; 0 at first
     * @param timeToLive how long the member counts without another call
     */
    void join(String member, long generation, Duration timeToLive, Consumer<JoinOutcome> callback);

    /** Leaves the group, so that its partitions are dealt to others at once. */
    void leave(String member, Runnable done);

    /** What became of a join. */
    sealed interface JoinOutcome {
        /**
         * The member is in the group.
         *
         * @param generation grows with each change of the group
         * @param partitions partitions that belong to the member
         */
        record Joined(long generation, Set<Integer> partitions) implements JoinOutcome {
            /** Copies the set. */
            public Joined {
                partitions = Set.copyOf(partitions);
            }
        }

        /**
         * No answer that could be used.
         *
         * @param reason why, for logs
         */
        record Unavailable(String reason) implements JoinOutcome {}
    }
}
