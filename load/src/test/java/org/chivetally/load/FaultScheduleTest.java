package org.chivetally.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.chivetally.load.Fault.Action;
import org.chivetally.load.Fault.ProcessFault;
import org.junit.jupiter.api.Test;

/**
 * Guards against process faults that are injected out of order or never removed, and against wrong periods of graceful
 * stops.
 */
class FaultScheduleTest {
    /**
     * Steps out of order would make the script inject faults late; a missing end would leave a process suspended or
     * down.
     */
    @Test
    void processStepsAreSortedAndIncludeEnds() {
        FaultSchedule schedule = new FaultSchedule(List.of(
                new ProcessFault(Duration.ofSeconds(5), Duration.ofSeconds(3), "entry-2", Action.KILL),
                new Fault.StandInFault(Duration.ofSeconds(1), Duration.ZERO, "log", "{}"),
                new ProcessFault(Duration.ofSeconds(4), Duration.ofSeconds(2), "entry-1", Action.PAUSE)));
        assertThat(
                schedule.processSteps(),
                contains("4000 pause entry-1", "5000 kill entry-2", "6000 resume entry-1", "8000 start entry-2"));
    }

    /**
     * Only a terminate begins a graceful stop, and only the end of the same process ends it. Malformed lines are
     * ignored.
     */
    @Test
    void gracefulStopLastsFromTerminateToProcessEnd() {
        ProcessFaultLog log = ProcessFaultLog.parse(List.of(
                "1000 terminate entry-1", "1200 kill agent-3", "nonsense", "1500 ended entry-1", "2000 start entry-1"));
        RunClock clock = new RunClock(() -> 0, 0);
        List<GracefulStop> stops = log.gracefulStops(clock);
        long begin = clock.nanosAt(1000);
        assertThat(stops, contains(new GracefulStop("entry-1", begin, begin + 500_000_000L)));
        assertThat(log.counts(), is(Map.of("terminate entry-1", 1, "kill agent-3", 1)));
    }
}
