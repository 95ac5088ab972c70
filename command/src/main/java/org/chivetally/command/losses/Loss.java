package org.chivetally.command.losses;

/** What became of a job, and why. */
enum Loss {
    /** Ended within its objective. */
    NONE("in time"),
    /** Ended late: its tasks waited for room for most of the time that the objective allows. */
    WAITED("late, waited"),
    /** Ended late: a task failed, and was run again. */
    FAILED_TASK("late, failed task"),
    /** Ended late: a start was turned down or never carried out, or a run was lost, and the task was run again. */
    LOST_RUN("late, lost run"),
    /** Ended late though nothing waited and nothing was run again: a task took long. */
    SLOW_TASK("late, slow task"),
    /** Refused as not run: more work than can be done. */
    REFUSED("refused"),
    /** Refused as not run after it had waited for a worker in vain. */
    NOT_STARTED("not started"),
    /** Its tasks failed as often as they may. */
    FAILED("failed"),
    /** Its caller went, or its time was over. */
    GIVEN_UP("given up"),
    /** The entry that had taken it on ended before it. */
    ENTRY_LOST("entry lost");

    private final String title;

    Loss(String title) {
        this.title = title;
    }

    String title() {
        return title;
    }
}
