package org.chivetally.queue.log;

import java.time.Duration;
import java.util.Set;
import java.util.function.Consumer;

/** Group of processes to whose members the platform assigns the partitions. */
public interface OwnershipGroup {
    /**
     * Joins the group, or renews the membership.
     *
     * @param member name of the member, which differs for each start of a process
     * @param generation latest generation that the member has received; 0 at first
     * @param timeToLive time after which the membership expires unless it is renewed
     * @param callback receives the outcome
     */
    void join(String member, long generation, Duration timeToLive, Consumer<JoinOutcome> callback);

    /**
     * Leaves the group, so that the member's partitions are reassigned immediately.
     *
     * @param member name of the member
     * @param done runs when the call has ended
     */
    void leave(String member, Runnable done);

    /** Outcome of a join. */
    sealed interface JoinOutcome {
        /**
         * The process is a member of the group.
         *
         * @param generation generation of the assignment, which increases with each change of the group
         * @param partitions partitions that are assigned to the member
         */
        record Joined(long generation, Set<Integer> partitions) implements JoinOutcome {
            /** Copies the set. */
            public Joined {
                partitions = Set.copyOf(partitions);
            }
        }

        /**
         * The platform did not respond, or sent an unusable response.
         *
         * @param reason why there is no usable response, for log lines
         */
        record Unavailable(String reason) implements JoinOutcome {}
    }
}
