package org.chivetally.load;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.chivetally.load.Targets.Target;

/** Load plans for tests. */
final class LoadPlans {
    private LoadPlans() {}

    /** Returns a plan of short jobs for the given entries and minions. */
    static LoadPlan small(long seed, Duration duration, List<URI> entries, List<URI> minions) {
        Workload workload = new Workload(
                8,
                new Workload.OfferedLoad.SlotShare(0.5),
                List.of(new Workload.Phase("burst", duration.dividedBy(2), duration.dividedBy(4), 3)),
                List.of(new Workload.ServiceShare("service", false, Duration.ZERO, 1)),
                List.of(new Workload.TeamShare("team", 1)),
                List.of(new Workload.JobSize(1, 3), new Workload.JobSize(5, 1)),
                List.of(new Workload.TaskTimeRange(Duration.ofMillis(5), Duration.ofMillis(50), 1)),
                new Workload.Resubmissions(0.2, 1, List.of(Duration.ZERO, Duration.ofMillis(100))),
                new Workload.Cancellations(0.1, Duration.ofMillis(20), List.of()),
                Workload.Retries.NONE,
                Duration.ofSeconds(5));
        Targets targets = new Targets(named("entry", entries), named("minion", minions), List.of(), List.of());
        return new LoadPlan("small", seed, duration, Duration.ZERO, targets, workload, FaultSchedule.NONE, Map.of());
    }

    private static List<Target> named(String name, List<URI> addresses) {
        return addresses.stream()
                .map(address -> new Target(name + "-" + address.getPort(), address))
                .toList();
    }
}
