package org.chivetally.command.losses;

/** Result of a job, with the cause if it was late or lost. */
enum Loss {
    /** Completed within its objective. */
    NONE("in time"),
    /** Completed late: a task waited for a free worker for more than a quarter of the objective. */
    WAITED("late, waited"),
    /** Completed late: a task failed and was run again. */
    FAILED_TASK("late, failed task"),
    /** Completed late: a start was refused or never executed, or a run was lost, and the task was run again. */
    LOST_RUN("late, lost run"),
    /** Completed late although no task waited long or was run again: a task was slow. */
    SLOW_TASK("late, slow task"),
    /** Refused without having run, as there was more work than the workers can do. */
    REFUSED("refused"),
    /** Cancelled without having run, as no worker was free in time. */
    NOT_STARTED("not started"),
    /** Failed: a task used up its attempts. */
    FAILED("failed"),
    /** Cancelled for another reason: its caller disconnected, or its deadline passed. */
    GIVEN_UP("given up"),
    /** Not ended: the entry that accepted it stopped first. */
    ENTRY_LOST("entry lost");

    private final String title;

    Loss(String title) {
        this.title = title;
    }

    String title() {
        return title;
    }
}
