package org.chivetally.load;

import org.chivetally.document.Section;

/** A measured figure of a run, for which a plan may set a goal. */
public enum Figure {
    /** Median over the complete jobs of response time divided by ideal time. */
    RESPONSE_P50(Better.LOWER, 3),
    /** 90th percentile over the complete jobs of response time divided by ideal time. */
    RESPONSE_P90(Better.LOWER, 3),
    /** 99th percentile over the complete jobs of response time divided by ideal time. */
    RESPONSE_P99(Better.LOWER, 3),
    /** Maximum over the complete jobs of response time divided by ideal time. */
    RESPONSE_MAX(Better.LOWER, 3),
    /** Median response ratio of the same schedule on a {@linkplain SingleQueueSimulation single queue}. */
    SINGLE_QUEUE_P50(Better.LOWER, 3),
    /** 99th percentile response ratio of the same schedule on a {@linkplain SingleQueueSimulation single queue}. */
    SINGLE_QUEUE_P99(Better.LOWER, 3),
    /** Work of the jobs completed during the measured time, as a share of the capacity of all slots. */
    GOODPUT(Better.HIGHER, 3),
    /** Goodput within the phases whose load exceeds the mean load. */
    GOODPUT_IN_PHASES(Better.HIGHER, 3),
    /** Task starts per second, averaged over the submission time. */
    STARTS_PER_SECOND(Better.HIGHER, 1),
    /** Share of the submissions, cancelled ones excluded, that ended without a complete answer. */
    FAILED_SHARE(Better.LOWER, 4),
    /** Number of repeated starts of a task per started task. */
    RETRIED_SHARE(Better.LOWER, 4),
    /** Frames between entries and agents per start. */
    MESSAGES_PER_TASK(Better.LOWER, 3),
    /** Frames per start beyond the start itself and its result. */
    EXTRA_MESSAGES_PER_TASK(Better.LOWER, 3),
    /** Bytes of frames between entries and agents per start. */
    BYTES_PER_TASK(Better.LOWER, 0),
    /** Messages without effect per start. */
    WASTED_PER_TASK(Better.LOWER, 4),
    /** 99th percentile of the response time of refusals for overload, in milliseconds. */
    REFUSAL_MILLIS_P99(Better.LOWER, 1),
    /**
     * Seconds from the end of the last phase above the mean load until response ratios are continuously back to normal.
     */
    RECOVERY_SECONDS(Better.LOWER, 1),
    /**
     * 99th percentile of the delay between a request's scheduled time and its sending, in milliseconds. This delay is
     * caused by the load tool itself.
     */
    SENDING_LAG_MILLIS_P99(Better.LOWER, 2),
    /** Number of tasks that were started again although this is not allowed. */
    DUPLICATE_STARTS(Better.LOWER, 0),
    /** Number of complete answers that differ from the expected ones. */
    PARTIAL_ANSWERS(Better.LOWER, 0),
    /** Number of submissions that were reported as not run although a task had started. */
    FALSE_REFUSALS(Better.LOWER, 0),
    /** Number of requests whose connection was closed without a response while their entry was stopping gracefully. */
    CUT_REQUESTS(Better.LOWER, 0),
    /** Number of task starts on a minion later than {@link DrainingMinion#PROPAGATION_LIMIT} after its drain began. */
    STARTS_AFTER_LEAVING(Better.LOWER, 0),
    /** Number of submissions for which one request returned a complete answer and another one a failure of the job. */
    CONFLICTING_OUTCOMES(Better.LOWER, 0),
    /**
     * Number of submissions that, on the first request or on a repeat, received neither an answer nor a definite
     * failure shortly after the deadline.
     */
    UNANSWERED_JOBS(Better.LOWER, 0);

    private final Better better;
    private final int decimals;

    Figure(Better better, int decimals) {
        this.better = better;
        this.decimals = decimals;
    }

    /** Returns the name of the figure in plans and reports. */
    public String text() {
        return Section.kebabCase(this);
    }

    /** Returns the number of decimals in reports. */
    public int decimals() {
        return decimals;
    }

    /** Returns whether a value is within a limit. */
    public boolean meets(double value, double limit) {
        return better == Better.LOWER ? value <= limit : value >= limit;
    }

    /** Returns the comparison operator that a value within its limit satisfies. */
    public String operator() {
        return better == Better.LOWER ? "<=" : ">=";
    }

    private enum Better {
        LOWER,
        HIGHER
    }
}
