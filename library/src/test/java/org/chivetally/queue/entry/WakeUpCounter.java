package org.chivetally.queue.entry;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.chivetally.queue.link.MemoryNetwork;
import org.chivetally.time.Timers;

/** Counts the wake-ups of each process of a {@link Cluster}, by its timers and the frames that it receives. */
final class WakeUpCounter {
    private final Timers shared;
    private final Map<String, Map<String, Integer>> causes = new HashMap<>();
    private final Map<String, Set<Long>> instants = new HashMap<>();

    WakeUpCounter(Timers shared, MemoryNetwork network) {
        this.shared = shared;
        network.onArrival(this::count);
    }

    /** Returns the timers of a process, whose wake-ups are counted by the delay of the timer. */
    Timers of(String process) {
        return new CountingTimers(process);
    }

    void clear() {
        causes.clear();
        instants.clear();
    }

    /** Returns the number of wake-ups of a process by cause. */
    Map<String, Integer> causes(String process) {
        return new TreeMap<>(causes.getOrDefault(process, Map.of()));
    }

    /** Returns the number of distinct times at which a process woke up. */
    int instants(String process) {
        return instants.getOrDefault(process, Set.of()).size();
    }

    private void count(String process, String cause) {
        causes.computeIfAbsent(process, name -> new HashMap<>()).merge(cause, 1, Integer::sum);
        instants.computeIfAbsent(process, name -> new HashSet<>()).add(shared.nanos());
    }

    private final class CountingTimers implements Timers {
        private final String process;

        private CountingTimers(String process) {
            this.process = process;
        }

        @Override
        public long nanos() {
            return shared.nanos();
        }

        @Override
        public long epochMillis() {
            return shared.epochMillis();
        }

        @Override
        public Timer after(Duration delay, Runnable action) {
            String cause = "timer after " + delay.toMillis() + " ms";
            return shared.after(delay, () -> {
                count(process, cause);
                action.run();
            });
        }
    }
}
