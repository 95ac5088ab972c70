package org.chivetally.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class SnapshotScheduleTest {
    private static final long INTERVAL = 1_000;
    private static final SnapshotSettings SETTINGS = SnapshotSettings.every(Duration.ofMillis(INTERVAL));

    private final SnapshotSchedule schedule = new SnapshotSchedule(SETTINGS, "entry-1");

    @Test
    void isDueByTimeOrRecordCountWhenNewRecordsExist() {
        schedule.recordSnapshot(10, 5_000);
        assertThat(schedule.isDue(10, 5_000 + INTERVAL), is(false));
        assertThat(schedule.isDue(11, 5_000 + INTERVAL), is(true));
        assertThat(schedule.isDue(11, 5_000 + INTERVAL / 2), is(false));
        assertThat(schedule.isDue(10 + SETTINGS.records(), 5_000), is(true));
    }

    @Test
    void writesNothingWhenRecentSnapshotExists() {
        assertThat(schedule.shouldWrite(tail(1, 0, 1, 10, INTERVAL), 11, INTERVAL), is(false));
        assertThat(schedule.shouldWrite(tail(1, 0, 1, 10, INTERVAL), 20, 2 * INTERVAL), is(true));
    }

    @Test
    void waitsForOtherWriterUntilItStops() {
        assertThat(schedule.shouldWrite(tail(1, 0, 3, 10, INTERVAL), 11, INTERVAL), is(false));
        assertThat(schedule.shouldWrite(tail(2, 1, 3, 10, INTERVAL), 11, INTERVAL), is(false));
        assertThat(schedule.shouldWrite(tail(2, 1, 3, 10, INTERVAL), 11, INTERVAL), is(true));
    }

    @Test
    void writesWhenNoValidSnapshotExists() {
        assertThat(schedule.shouldWrite(new SnapshotTail(0, Optional.empty()), 1, INTERVAL), is(true));
    }

    private static SnapshotTail tail(long end, int part, int parts, long covers, long millis) {
        return new SnapshotTail(end, Optional.of(new SnapshotHeader("s", part, parts, covers, millis)));
    }
}
