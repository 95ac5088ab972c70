package org.chivetally.placement;

/** How the agent of the next task is chosen. */
public sealed interface PlacementPolicy {
    /** Any agent that accepts work, whatever its load: the baseline of measurements. */
    record UniformRandom() implements PlacementPolicy {}

    /** One of the agents with the least estimated load. */
    record LeastLoaded() implements PlacementPolicy {}

    /** The less loaded of two agents drawn at random. */
    record PowerOfTwoChoices() implements PlacementPolicy {}

    /** An agent with nothing to do; any agent that accepts work when there is none. */
    record JoinIdleQueue() implements PlacementPolicy {}

    /**
     * Late binding: a task leaves the coordinator only when an agent is thought to have a free slot; the less loaded of
     * two such agents gets it.
     *
     * @param overcommit places in an agent's own queue that count as slots
     */
    record SlotCredits(int overcommit) implements PlacementPolicy {
        /** Refuses a negative number of places. */
        public SlotCredits {
            if (overcommit < 0) {
                throw new IllegalArgumentException("overcommit can't be negative");
            }
        }
    }

    /**
     * Late binding to the least loaded: a task leaves the coordinator only when an agent is thought to have a free
     * slot, and goes to one of those with the least estimated load.
     *
     * @param overcommit places in an agent's own queue that count as slots
     */
    record LeastLoadedCredits(int overcommit) implements PlacementPolicy {
        /** Refuses a negative number of places. */
        public LeastLoadedCredits {
            if (overcommit < 0) {
                throw new IllegalArgumentException("overcommit can't be negative");
            }
        }
    }

    /** Returns the places in an agent's own queue that count as slots. */
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

    /** Tells whether the policy could place a task now, going by the indexes alone. */
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

    /** Returns the policy's name in logs. */
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
