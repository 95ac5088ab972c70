package org.chivetally.queue.agent;

import org.chivetally.queue.Room;
import org.chivetally.queue.RunKey;
import org.chivetally.queue.RunOutcome;

/** A run whose room is taken at the minion: it runs, stops, or may still start. */
final class HeldRun {
    /** How far the run is. */
    enum Stage {
        /** The start is on its way. */
        STARTING,
        /** The start got no answer; it may have been carried out, or may be later. */
        UNCONFIRMED,
        /** The minion has listed it, or has answered the start. */
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

    HeldRun(RunKey key, RunOwner owner, Room room, long leaseUntilMillis, boolean suspected, long nowNanos) {
        this.suspected = suspected;
        this.key = key;
        this.owner = owner;
        this.room = room;
        this.leaseEndMillis = leaseUntilMillis;
        this.stageSinceNanos = nowNanos;
    }

    RunKey key() {
        return key;
    }

    RunOwner owner() {
        return owner;
    }

    /** Tells whether its task was on a minion that crashed. */
    boolean isSuspected() {
        return suspected;
    }

    Room room() {
        return room;
    }

    /**
     * Tells whether a run that a look doesn't list will never be there.
     *
     * @param clockMillis the minion's clock at its answer
     * @param sentAtNanos when the look was sent
     */
    boolean isStartRuledOut(long clockMillis, long sentAtNanos) {
        if (stage != Stage.UNCONFIRMED || sentAtNanos - stageSinceNanos < 0) {
            return false;
        }
        return stopConfirmed || MinionLease.isExpired(leaseEndMillis, clockMillis);
    }

    /** Returns an end of the run that the minion does not list, and so needs no word from the owner. */
    OwnedEnd unlistedEnd(String incarnation, RunOutcome outcome) {
        return new OwnedEnd(owner, new EndedRun(incarnation, 0, key, outcome, ""));
    }

    /**
     * Notes that its minion was replaced under the same id. Its start may have been carried out by either incarnation,
     * so the new one's lists decide whether it is there.
     *
     * @param from the incarnation that was replaced
     * @param outcome how the run has ended if it isn't there
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

    /** Notes that the incarnation that answers now lists it. */
    void listed(long nowNanos) {
        previousIncarnation = null;
        if (stage != Stage.RUNNING) {
            enterStage(Stage.RUNNING, nowNanos);
        }
    }

    /** Returns the end of a run that was carried over and isn't there. */
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

    /** Notes that the minion took the stop; what it lists from now on is final. */
    void confirmStop(long nowNanos) {
        stopConfirmed = true;
        stageSinceNanos = nowNanos;
    }
}
