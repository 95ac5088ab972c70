package org.chivetally.settings;

import org.chivetally.document.Section;

/**
 * Optional scheduling features of a deployment. All are disabled by default.
 *
 * @param learnedSpeeds whether placement uses the speeds of workers, estimated from their runs
 * @param fairShares whether queues share the capacity by weight when their total demand exceeds it
 * @param crashLimit number of minion crashes while running a task after which its job fails; 0 for no limit
 */
public record SchedulingSettings(boolean learnedSpeeds, boolean fairShares, int crashLimit) {
    /** Settings with all features disabled. */
    public static final SchedulingSettings NONE = new SchedulingSettings(false, false, 0);

    /** A single crash does not show which of the tasks on the minion caused it. */
    private static final int MINIMUM_CRASH_LIMIT = 2;

    /** Each further crash also ends all other runs on a minion. */
    private static final int MAXIMUM_CRASH_LIMIT = 5;

    /** Rejects a crash limit outside the allowed range. */
    public SchedulingSettings {
        if (crashLimit != 0 && (crashLimit < MINIMUM_CRASH_LIMIT || crashLimit > MAXIMUM_CRASH_LIMIT)) {
            throw new IllegalArgumentException("invalid crash limit: " + crashLimit);
        }
    }

    /** Reads the section {@code scheduling} of a settings file. */
    static SchedulingSettings read(Section section) {
        return new SchedulingSettings(section.flag("learnedSpeeds", false), section.flag("fairShares", false), (int)
                section.integer("crashLimit", MINIMUM_CRASH_LIMIT, MAXIMUM_CRASH_LIMIT, 0));
    }
}
