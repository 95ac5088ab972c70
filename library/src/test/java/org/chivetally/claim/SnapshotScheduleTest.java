package org.chivetally.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Checks when a process writes a snapshot, and when it leaves that to another one. */
class SnapshotScheduleTest {
    private static final long INTERVAL_MILLIS = 1_000;
    private static final SnapshotSettings SETTINGS = SnapshotSettings.every(Duration.ofMillis(INTERVAL_MILLIS));

    private final SnapshotSchedule schedule = new SnapshotSchedule(SETTINGS, "entry-1");

    /**
     * Without a snapshot in time, claims would expire in the log; without new records another one would be useless
     * load.
     */
    @Test
    void isDueByTimeOrRecordCountWhenNewRecordsExist() {
        schedule.recordSnapshot(10, 5_000);
        assertThat(schedule.isDue(10, 5_000 + INTERVAL_MILLIS), is(false));
        assertThat(schedule.isDue(11, 5_000 + INTERVAL_MILLIS), is(true));
        assertThat(schedule.isDue(11, 5_000 + INTERVAL_MILLIS / 2), is(false));
        assertThat(schedule.isDue(10 + SETTINGS.records(), 5_000), is(true));
    }

    /** Guards against each process writing its own snapshot. */
    @Test
    void writesNothingWhenRecentSnapshotExists() {
        assertThat(schedule.shouldWrite(tail(1, 0, 1, 10, INTERVAL_MILLIS), 11, INTERVAL_MILLIS), is(false));
        assertThat(schedule.shouldWrite(tail(1, 0, 1, 10, INTERVAL_MILLIS), 20, 2 * INTERVAL_MILLIS), is(true));
    }

    /** Two processes should not write at once, but a writer that died must not block all others. */
    @Test
    void waitsForOtherWriterUntilItStops() {
        assertThat(schedule.shouldWrite(tail(1, 0, 3, 10, INTERVAL_MILLIS), 11, INTERVAL_MILLIS), is(false));
        assertThat(schedule.shouldWrite(tail(2, 1, 3, 10, INTERVAL_MILLIS), 11, INTERVAL_MILLIS), is(false));
        assertThat(schedule.shouldWrite(tail(2, 1, 3, 10, INTERVAL_MILLIS), 11, INTERVAL_MILLIS), is(true));
    }

    /** An empty stream or a damaged last chunk must not prevent the next snapshot. */
    @Test
    void writesWhenNoValidSnapshotExists() {
        assertThat(schedule.shouldWrite(new SnapshotTail(0, Optional.empty()), 1, INTERVAL_MILLIS), is(true));
    }

    private static SnapshotTail tail(long end, int part, int parts, long covers, long millis) {
        return new SnapshotTail(end, Optional.of(new SnapshotHeader("s", part, parts, covers, millis)));
    }
}
