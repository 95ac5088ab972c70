package org.chivetally.queue.agent;

import org.chivetally.queue.Room;
import org.chivetally.queue.RunKey;
import org.chivetally.queue.RunOutcome;

/** A run that occupies resources of the minion: it is running or being stopped, or it may still start. */
final class HeldRun {
    /** Progress of the run's start. */
    enum Stage {
        /** The start was sent and not answered yet. */
        STARTING,
        /** The start was not answered in time. The minion may have executed it, or may execute it later. */
        UNCONFIRMED,
        /** The minion has listed the run or confirmed its start. */
        RUNNING
    }

    private final RunKey key;
    private final RunOwner owner;
    private final Room room;
    private final long leaseEndMillis;
    private final boolean suspected;
    private Stage stage = Stage.STARTING;
    private boolean stopRequested;
    private boolean stopConfirmed;
    private Incarnation previousIncarnation;
    private RunOutcome outcomeIfAbsent;
    private long stageSinceNanos;

    HeldRun(RunKey key, RunOwner owner, Room room, long leaseEndMillis, boolean suspected, long nowNanos) {
        this.suspected = suspected;
        this.key = key;
        this.owner = owner;
        this.room = room;
        this.leaseEndMillis = leaseEndMillis;
        this.stageSinceNanos = nowNanos;
    }

    RunKey key() {
        return key;
    }

    RunOwner owner() {
        return owner;
    }

    /** Tells whether the run's task was running on a minion when that minion crashed. */
    boolean isSuspected() {
        return suspected;
    }

    Room room() {
        return room;
    }

    /**
     * Tells whether a run that isn't in the minion's lists will never start.
     *
     * @param clockMillis the minion's clock in its answer, in milliseconds
     * @param sentAtNanos when the poll was sent, on the monotonic clock in nanoseconds
     */
    boolean isStartRuledOut(long clockMillis, long sentAtNanos) {
        if (stage != Stage.UNCONFIRMED || sentAtNanos - stageSinceNanos < 0) {
            return false;
        }
        return stopConfirmed || MinionLease.isExpired(leaseEndMillis, clockMillis);
    }

    /** Returns an end that the minion doesn't list, so that no owner has to acknowledge it. */
    OwnedEnd unlistedEnd(String incarnation, RunOutcome outcome) {
        return new OwnedEnd(owner, new EndedRun(incarnation, 0, key, outcome, ""));
    }

    /**
     * Marks the run as carried over to a later incarnation with the same id. Either incarnation may have executed its
     * start, so the lists of the new one decide whether the run exists.
     *
     * @param replaced the incarnation that was replaced
     * @param outcome how the run has ended if the new incarnation doesn't list it
     */
    void carryOver(Incarnation replaced, RunOutcome outcome) {
        if (previousIncarnation != null) {
            return;
        }
        previousIncarnation = replaced;
        outcomeIfAbsent = outcome;
        stopConfirmed = false;
    }

    boolean isCarriedOver() {
        return previousIncarnation != null;
    }

    /** Records that the current incarnation lists the run. */
    void listed(long nowNanos) {
        previousIncarnation = null;
        if (stage != Stage.RUNNING) {
            enterStage(Stage.RUNNING, nowNanos);
        }
    }

    /** Returns the end of a carried-over run that the new incarnation doesn't list. */
    OwnedEnd endAtPreviousIncarnation() {
        return unlistedEnd(previousIncarnation.name(), outcomeIfAbsent);
    }

    Stage stage() {
        return stage;
    }

    long stageSinceNanos() {
        return stageSinceNanos;
    }

    void enterStage(Stage next, long nowNanos) {
        stage = next;
        stageSinceNanos = nowNanos;
    }

    boolean isStopRequested() {
        return stopRequested;
    }

    void requestStop() {
        stopRequested = true;
    }

    boolean isStopConfirmed() {
        return stopConfirmed;
    }

    /** Records that the minion accepted the stop. A run that later lists don't contain will never start. */
    void confirmStop(long nowNanos) {
        stopConfirmed = true;
        stageSinceNanos = nowNanos;
    }
}
