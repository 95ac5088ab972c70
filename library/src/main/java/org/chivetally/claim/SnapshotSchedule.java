package org.chivetally.claim;

/**
 * Decides when this process writes a snapshot.
 *
 * <p>Ages are measured in stream time, so that snapshots are written even if every process is restarted more often than
 * snapshots are due. Each process has a different due time, derived from its name, and reads the end of the snapshot
 * stream first to leave the work to a process that is already writing. Two concurrent writers do no harm except for the
 * additional load.
 */
final class SnapshotSchedule {
    private static final int JITTER_STEPS = 100;
    private static final int JITTER_DIVISOR = 4;

    private final long dueMillis;
    private final long dueRecords;
    private long coveredOffset;
    private long coveredMillis;
    private long lastEndOffset = -1;

    /**
     * Creates the schedule of a process.
     *
     * @param processId name of the process, which determines its share of the jitter
     */
    SnapshotSchedule(SnapshotSettings settings, String processId) {
        double share = Math.floorMod(processId.hashCode(), JITTER_STEPS) / (double) JITTER_STEPS;
        double factor = 1 - (1 - share) / JITTER_DIVISOR;
        this.dueMillis = Math.round(settings.interval().toMillis() * factor);
        this.dueRecords = Math.max(1, Math.round(settings.records() * factor));
    }

    /** Records that a complete snapshot covers the claims stream up to an offset. */
    void recordSnapshot(long offset, long streamMillis) {
        if (offset > coveredOffset) {
            coveredOffset = offset;
            coveredMillis = streamMillis;
        }
    }

    /**
     * Returns whether a snapshot is due.
     *
     * @param nextOffset offset of the next record of the claims stream
     * @param streamMillis the stream time in milliseconds
     */
    boolean isDue(long nextOffset, long streamMillis) {
        boolean isNew = nextOffset > coveredOffset;
        return isNew && (streamMillis - coveredMillis >= dueMillis || nextOffset - coveredOffset >= dueRecords);
    }

    /** Decides by the end of the snapshot stream whether this process writes the snapshot that is due. */
    boolean shouldWrite(SnapshotTail tail, long nextOffset, long streamMillis) {
        boolean grew = tail.endOffset() != lastEndOffset;
        lastEndOffset = tail.endOffset();
        if (tail.newest().isEmpty()) {
            return true;
        }
        SnapshotHeader newest = tail.newest().get();
        if (newest.isLast()) {
            recordSnapshot(newest.covers(), newest.streamMillis());
            return isDue(nextOffset, streamMillis);
        }
        // Another process is writing a snapshot, unless it stopped before the last chunk: then the stream has not grown
        // since the last check.
        return !grew;
    }
}
