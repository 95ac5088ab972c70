package org.chivetally.queue;

import java.util.Objects;

/**
 * Requirements and preferences of the tasks of a step, other than the amount of resources.
 *
 * @param checkpointing whether the tasks save checkpoints from which they can resume
 * @param gang whether the tasks make progress only while all of them run at the same time
 * @param sameRack whether the tasks are slower if they are spread over several racks
 * @param requiredLabel label that a worker must have; empty for none
 * @param preferredRack rack that holds the data of the step; empty for none
 * @param maximumPerWorker maximum number of tasks of the step on one worker; 0 for no limit
 * @param duplicatesAllowed whether several runs of a task may be in progress at the same time
 * @param usesIdleCapacity whether the tasks run on capacity that other tasks leave unused
 * @param image name of the image that the tasks run
 * @param tailLatencyTargetMillis upper bound for the tail latency of the step's users, in milliseconds; 0 for none
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
    /** No requirements or preferences. */
    public static final StepTraits NONE = new StepTraits(false, false, false, "", "", 0, false, false, "", 0);

    /** Requires all texts. */
    public StepTraits {
        Objects.requireNonNull(requiredLabel, "requiredLabel");
        Objects.requireNonNull(preferredRack, "preferredRack");
        Objects.requireNonNull(image, "image");
    }
}
