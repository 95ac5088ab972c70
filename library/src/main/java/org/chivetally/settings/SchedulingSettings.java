package org.chivetally.settings;

import org.chivetally.document.Section;

/**
 * Parts of scheduling that a deployment can switch on. All are off unless its settings name them.
 *
 * @param learnedSpeeds whether workers' speeds are learned from their runs and decide where a task is placed
 * @param fairShares whether queues that together ask for more room than there is share it by weight
 * @param crashLimit minions that may crash under a task before its job is given up; 0 for no limit
 */
public record SchedulingSettings(boolean learnedSpeeds, boolean fairShares, int crashLimit) {
    /** Nothing switched on. */
    public static final SchedulingSettings NONE = new SchedulingSettings(false, false, 0);

    /** Fewest crashes after which a job may be given up: one says nothing of the tasks that ran there. */
    private static final int MINIMUM_CRASH_LIMIT = 2;

    /** Most crashes after which a job is given up: every further one costs all that runs on another minion. */
    private static final int MAXIMUM_CRASH_LIMIT = 5;

    /** Refuses a limit under which a task is given up for a single crash. */
    public SchedulingSettings {
        if (crashLimit != 0 && (crashLimit < MINIMUM_CRASH_LIMIT || crashLimit > MAXIMUM_CRASH_LIMIT)) {
            throw new IllegalArgumentException("crash limit " + crashLimit);
        }
    }

    /** Reads the section {@code scheduling} of a settings file. */
    static SchedulingSettings read(Section section) {
        return new SchedulingSettings(section.flag("learnedSpeeds", false), section.flag("fairShares", false), (int)
                section.integer("crashLimit", MINIMUM_CRASH_LIMIT, MAXIMUM_CRASH_LIMIT, 0));
    }
}
