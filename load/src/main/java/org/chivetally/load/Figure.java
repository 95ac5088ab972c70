package org.chivetally.load;

import org.chivetally.document.Section;

/** A figure of a run that a plan may set a goal for. */
public enum Figure {
    /** Response time divided by the ideal: half of the complete jobs are at most here. */
    RESPONSE_P50(Better.LOWER, 3),
    /** Response time divided by the ideal: 90% of the complete jobs are at most here. */
    RESPONSE_P90(Better.LOWER, 3),
    /** Response time divided by the ideal: 99% of the complete jobs are at most here. */
    RESPONSE_P99(Better.LOWER, 3),
    /** Highest response time divided by the ideal. */
    RESPONSE_MAX(Better.LOWER, 3),
    /** Median that one queue before all slots would reach with the same schedule, without any message. */
    SINGLE_QUEUE_P50(Better.LOWER, 3),
    /** 99th percentile that one queue before all slots would reach with the same schedule, without any message. */
    SINGLE_QUEUE_P99(Better.LOWER, 3),
    /** Work of the jobs completed in the measured time, as a share of all slot time. */
    GOODPUT(Better.HIGHER, 3),
    /** The same within phases of more than the mean load. */
    GOODPUT_IN_PHASES(Better.HIGHER, 3),
    /** Tasks started a second, over the submission time. */
    STARTS_PER_SECOND(Better.HIGHER, 1),
    /** Share of submissions that ended without the whole answer, those cancelled left out. */
    FAILED_SHARE(Better.LOWER, 4),
    /** Starts beyond the first of a task, for each task started. */
    RETRIED_SHARE(Better.LOWER, 4),
    /** Frames between entries and agents for each start. */
    MESSAGES_PER_TASK(Better.LOWER, 3),
    /** Frames for each start beyond the start itself and its result. */
    EXTRA_MESSAGES_PER_TASK(Better.LOWER, 3),
    /** Bytes of frames between entries and agents for each start. */
    BYTES_PER_TASK(Better.LOWER, 0),
    /** Messages that did no good, for each start. */
    WASTED_PER_TASK(Better.LOWER, 4),
    /** Milliseconds in which 99% of the refusals for overload were answered. */
    REFUSAL_MILLIS_P99(Better.LOWER, 1),
    /** Seconds after the last phase of more than the mean load until response ratios are steadily good again. */
    RECOVERY_SECONDS(Better.LOWER, 1),
    /** Milliseconds by which 99% of the requests were sent at most after they were due; the load tool's own delay. */
    SENDING_LAG_MILLIS_P99(Better.LOWER, 2),
    /** Tasks that started again when they must not. */
    DUPLICATE_STARTS(Better.LOWER, 0),
    /** Complete answers that are not exactly the ones asked for. */
    PARTIAL_ANSWERS(Better.LOWER, 0),
    /** Submissions told not-run of which a task had started. */
    FALSE_REFUSALS(Better.LOWER, 0),
    /** Requests whose connection closed unanswered while their entry stopped gracefully. */
    CUT_REQUESTS(Better.LOWER, 0),
    /** Tasks that started at a minion longer than the grace after it began to leave. */
    STARTS_AFTER_LEAVING(Better.LOWER, 0),
    /** Submissions of which one request got the whole answer and another was told that the job had failed. */
    CONFLICTING_OUTCOMES(Better.LOWER, 0),
    /**
     * Submissions that got, or a repeat of which got, neither an answer nor a clear failure soon after the deadline.
     */
    UNANSWERED_JOBS(Better.LOWER, 0);

    private final Better better;
    private final int decimals;

    Figure(Better better, int decimals) {
        this.better = better;
        this.decimals = decimals;
    }

    /** Returns the name as it stands in plans and reports. */
    public String text() {
        return Section.kebabCase(this);
    }

    /** Returns the number of decimals worth printing. */
    public int decimals() {
        return decimals;
    }

    /** Tells whether a value keeps to a limit. */
    public boolean meets(double value, double limit) {
        return better == Better.LOWER ? value <= limit : value >= limit;
    }

    /** Returns the sign between a value and its limit. */
    public String operator() {
        return better == Better.LOWER ? "<=" : ">=";
    }

    private enum Better {
        LOWER,
        HIGHER
    }
}
