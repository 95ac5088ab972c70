package org.chivetally.entry.submission;

import java.util.List;
import org.chivetally.errors.ErrorCode;
import org.chivetally.job.JobOutcome.Certainty;
import org.chivetally.job.JobOutcome.Failure;

/** Failures that an entry itself decides on. */
public final class Failures {
    private static final long RETRY_MILLIS = 1_000;

    private Failures() {}

    /** The entry is stopping or has not caught up. */
    public static Failure notReady(Certainty certainty, String detail) {
        return new Failure(ErrorCode.NOT_READY, certainty, detail, List.of(), RETRY_MILLIS);
    }

    /** Too many requests are in progress at this entry. */
    public static Failure overloaded(Certainty certainty, String detail) {
        return new Failure(ErrorCode.OVERLOADED, certainty, detail, List.of(), RETRY_MILLIS);
    }

    /** The claim could not be written. */
    public static Failure logUnavailable(Certainty certainty, String detail) {
        return new Failure(ErrorCode.LOG_UNAVAILABLE, certainty, detail, List.of(), RETRY_MILLIS);
    }

    /** The deadline passed before the log decided about the claim. */
    public static Failure claimTooLate(Certainty certainty) {
        String detail = "the deadline passed before the log decided about the claim; this request started nothing";
        return new Failure(ErrorCode.DEADLINE_EXCEEDED, certainty, detail, List.of(), RETRY_MILLIS);
    }

    /** The deadline of a caller passed who waits for a job that an earlier submission of its key began. */
    public static Failure stillRunning() {
        String detail = "the deadline passed before the job was done that an earlier submission of the key began;"
                + " the same key asks again without a second run";
        return new Failure(ErrorCode.DEADLINE_EXCEEDED, Certainty.UNKNOWN, detail, List.of(), RETRY_MILLIS);
    }

    /** Nothing is known of a job here; it may have been one of this entry's earlier process, or not be read yet. */
    public static Failure noJob(String job) {
        String detail = "no job " + job + " is known here in the dedupe window;"
                + " submit it again under its key to get its outcome without a second run";
        return new Failure(ErrorCode.NOT_FOUND, Certainty.UNKNOWN, detail, List.of(), RETRY_MILLIS);
    }

    /** The key was used with other content; this content was not run. */
    public static Failure keyReused() {
        String detail = "the idempotency key belongs to a submission with other content";
        return new Failure(ErrorCode.KEY_REUSED, Certainty.NOT_RUN, detail, List.of(), 0);
    }

    /** The coordinator of the job can't be asked now. */
    public static Failure coordinatorSilent(String coordinator) {
        String detail = "entry " + coordinator + " coordinates the job and did not answer in time;"
                + " the same key asks again without a second run";
        return new Failure(ErrorCode.OUTCOME_UNKNOWN, Certainty.UNKNOWN, detail, List.of(), RETRY_MILLIS);
    }

    /** The coordinator of the job has ended, and nobody submitted the job here, so that it can't be taken over. */
    public static Failure coordinatorGone(String coordinator) {
        String detail = "entry " + coordinator + ", which coordinated the job, has ended;"
                + " submit the job again under the same key to get its outcome without a second run";
        return new Failure(ErrorCode.OUTCOME_UNKNOWN, Certainty.UNKNOWN, detail, List.of(), 0);
    }

    /** The job was answered, and its answer was dropped since. */
    public static Failure answerDropped() {
        String detail = "the job was answered before; its answer is no longer kept";
        return new Failure(ErrorCode.ANSWER_EXPIRED, Certainty.FAILED, detail, List.of(), 0);
    }

    /** The job was claimed here and nothing of it is kept. */
    public static Failure nothingKept() {
        String detail = "the job was submitted before; nothing about its end is kept";
        return new Failure(ErrorCode.ANSWER_EXPIRED, Certainty.UNKNOWN, detail, List.of(), 0);
    }
}
