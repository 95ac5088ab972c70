package org.chivetally.queue;

import java.util.Objects;

/**
 * Wishes of a step beyond its room.
 *
 * @param checkpointing whether its tasks save checkpoints to resume from
 * @param gang whether its tasks only work when all run at once
 * @param sameRack whether its tasks are slower when spread over racks
 * @param requiredLabel label that a worker must carry; empty for none
 * @param preferredRack rack that holds its data; empty for none
 * @param maximumPerWorker most tasks of the step on one worker; 0 for no limit
 * @param duplicatesAllowed whether copies of a task may run at the same time
 * @param usesIdleCapacity whether it runs on what other tasks leave unused
 * @param image what its tasks run
 * @param tailLatencyTargetMillis bound of its users' response time tail in milliseconds; 0 for none
 */
public record StepTraits(
        boolean checkpointing,
        boolean gang,
        boolean sameRack,
        String requiredLabel,
        String preferredRack,
        int maximumPerWorker,
        boolean duplicatesAllowed,
        boolean usesIdleCapacity,
        String image,
        int tailLatencyTargetMillis) {
    /** No wishes. */
    public static final StepTraits NONE = new StepTraits(false, false, false, "", "", 0, false, false, "", 0);

    /** Refuses missing texts. */
    public StepTraits {
        Objects.requireNonNull(requiredLabel, "requiredLabel");
        Objects.requireNonNull(preferredRack, "preferredRack");
        Objects.requireNonNull(image, "image");
    }
}
