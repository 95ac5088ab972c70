package org.chivetally.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Steps that the script beside a run carried out on processes.
 *
 * @param events steps sorted by time
 */
public record ProcessFaultLog(List<Event> events) {
    private static final String TERMINATE = "terminate";
    private static final String ENDED = "ended";
    private static final Set<String> FAULT_ACTIONS = Set.of("pause", "kill", TERMINATE);
    private static final int FIELDS_PER_LINE = 3;

    /** Copies the list. */
    public ProcessFaultLog {
        events = List.copyOf(events);
    }

    /** Parses lines of three fields: milliseconds since 1970, action, and process name. Other lines are ignored. */
    public static ProcessFaultLog parse(List<String> lines) {
        List<Event> events = new ArrayList<>();
        for (String line : lines) {
            String[] fields = line.trim().split(" ");
            if (fields.length == FIELDS_PER_LINE && fields[0].matches("\\d{1,18}")) {
                events.add(new Event(Long.parseLong(fields[0]), fields[1], fields[2]));
            }
        }
        return new ProcessFaultLog(events);
    }

    /** Returns the number of injected faults by action and process. */
    public Map<String, Integer> counts() {
        Map<String, Integer> counts = new TreeMap<>();
        for (Event event : events) {
            if (FAULT_ACTIONS.contains(event.action())) {
                counts.merge(event.action() + " " + event.target(), 1, Integer::sum);
            }
        }
        return counts;
    }

    /** Returns the graceful stops. A stop without a recorded end lasts until the end of the run. */
    List<GracefulStop> gracefulStops(RunClock clock) {
        List<GracefulStop> stops = new ArrayList<>();
        for (int index = 0; index < events.size(); index++) {
            Event event = events.get(index);
            if (event.action().equals(TERMINATE)) {
                stops.add(new GracefulStop(event.target(), clock.nanosAt(event.epochMillis()), endNanos(index, clock)));
            }
        }
        return stops;
    }

    private long endNanos(int terminateIndex, RunClock clock) {
        String target = events.get(terminateIndex).target();
        for (Event later : events.subList(terminateIndex + 1, events.size())) {
            if (later.target().equals(target) && later.action().equals(ENDED)) {
                return clock.nanosAt(later.epochMillis());
            }
        }
        return Long.MAX_VALUE;
    }

    /**
     * One step of the script.
     *
     * @param epochMillis time of the step, in milliseconds since 1970
     * @param action what was done
     * @param target name of the process
     */
    public record Event(long epochMillis, String action, String target) {}
}
