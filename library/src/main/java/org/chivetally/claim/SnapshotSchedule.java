package org.chivetally.claim;

/**
 * Decides when this process writes a snapshot.
 *
 * <p>Ages are counted in the stream's time, so that processes which are all replaced more often than snapshots are due
 * still write them. Each process waits a little longer by its name, looks at the stream first, and leaves the work to
 * another that is at it; two writers do no harm but cost.
 */
final class SnapshotSchedule {
    private static final int JITTER_STEPS = 100;
    private static final int JITTER_DIVISOR = 4;

    private final long dueMillis;
    private final long dueRecords;
    private long coveredOffset;
    private long coveredMillis;
    private long lastEndOffset = -1;

    /** Creates a schedule for a process by its name. */
    SnapshotSchedule(SnapshotSettings settings, String processId) {
        double share = Math.floorMod(processId.hashCode(), JITTER_STEPS) / (double) JITTER_STEPS;
        double factor = 1 - (1 - share) / JITTER_DIVISOR;
        this.dueMillis = Math.round(settings.interval().toMillis() * factor);
        this.dueRecords = Math.max(1, Math.round(settings.records() * factor));
    }

    /** Learns that a whole snapshot covers the stream up to an offset. */
    void recordSnapshot(long offset, long streamMillis) {
        if (offset > coveredOffset) {
            coveredOffset = offset;
            coveredMillis = streamMillis;
        }
    }

    /** Tells whether a snapshot is wanted. */
    boolean isDue(long nextOffset, long streamMillis) {
        boolean isNew = nextOffset > coveredOffset;
        return isNew && (streamMillis - coveredMillis >= dueMillis || nextOffset - coveredOffset >= dueRecords);
    }

    /** Decides, by the end of the snapshot stream, whether this process writes the snapshot that is due. */
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
        // Another process is at it, unless it stopped half way: then the stream has not grown since the last look.
        return !grew;
    }
}
