package org.chivetally.placement;

/** Policy that selects the agent for a task. */
public sealed interface PlacementPolicy {
    /** A random agent that accepts new tasks, regardless of load; the baseline for comparing policies. */
    record UniformRandom() implements PlacementPolicy {}

    /** One of the agents with the least estimated load. */
    record LeastLoaded() implements PlacementPolicy {}

    /** The less loaded of two agents drawn at random. */
    record PowerOfTwoChoices() implements PlacementPolicy {}

    /** An idle agent; if there is none, any agent that accepts new tasks. */
    record JoinIdleQueue() implements PlacementPolicy {}

    /**
     * Late binding: a task stays queued at the coordinator until an agent has an estimated free slot, and is placed on
     * the less loaded of two such agents drawn at random.
     *
     * @param overcommit number of places in an agent's own queue that count as slots
     */
    record SlotCredits(int overcommit) implements PlacementPolicy {
        /** Rejects a negative overcommit. */
        public SlotCredits {
            if (overcommit < 0) {
                throw new IllegalArgumentException("overcommit can't be negative");
            }
        }
    }

    /**
     * Late binding to the least loaded agent: a task stays queued at the coordinator until an agent has an estimated
     * free slot, and is placed on one of those with the least estimated load.
     *
     * @param overcommit number of places in an agent's own queue that count as slots
     */
    record LeastLoadedCredits(int overcommit) implements PlacementPolicy {
        /** Rejects a negative overcommit. */
        public LeastLoadedCredits {
            if (overcommit < 0) {
                throw new IllegalArgumentException("overcommit can't be negative");
            }
        }
    }

    /** Returns the number of places in an agent's own queue that count as slots. */
    default int overcommittedSlots() {
        return switch (this) {
            case SlotCredits credits -> credits.overcommit();
            case LeastLoadedCredits credits -> credits.overcommit();
            case UniformRandom random -> 0;
            case LeastLoaded least -> 0;
            case PowerOfTwoChoices two -> 0;
            case JoinIdleQueue idle -> 0;
        };
    }

    /**
     * Returns whether the indexes contain an agent that this policy may choose; checks neither tickets nor resources.
     */
    default boolean hasCandidates(ServiceFleet fleet) {
        return switch (this) {
            case SlotCredits credits -> fleet.hasFreeSlot();
            case LeastLoadedCredits credits -> fleet.hasFreeSlot();
            case UniformRandom random -> fleet.hasAccepting();
            case LeastLoaded least -> fleet.hasAccepting();
            case PowerOfTwoChoices two -> fleet.hasAccepting();
            case JoinIdleQueue idle -> fleet.hasAccepting();
        };
    }

    /** Returns the name of the policy in log lines. */
    default String logName() {
        return switch (this) {
            case SlotCredits credits -> "slot-credits";
            case LeastLoadedCredits credits -> "least-loaded-credits";
            case UniformRandom random -> "uniform-random";
            case LeastLoaded least -> "least-loaded";
            case PowerOfTwoChoices two -> "power-of-two-choices";
            case JoinIdleQueue idle -> "join-idle-queue";
        };
    }
}
