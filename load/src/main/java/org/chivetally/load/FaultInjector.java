package org.chivetally.load;

import java.io.PrintStream;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.chivetally.load.Fault.MinionDrain;
import org.chivetally.load.Fault.StandInFault;
import org.chivetally.load.Targets.Target;
import org.chivetally.logging.EventLine;

/** Puts faults at stand-ins when they are due, and clears them afterwards. */
final class FaultInjector {
    private static final Duration LIMIT = Duration.ofSeconds(2);
    private static final String NO_FAULTS = "{}";
    private static final int FIRST_ERROR = 300;

    private final HttpClient client;
    private final Targets targets;
    private final PrintStream progress;
    private final Map<String, Integer> injected = new ConcurrentSkipListMap<>();
    private final List<LeavingMinion> leaving = new CopyOnWriteArrayList<>();

    FaultInjector(HttpClient client, Targets targets, PrintStream progress) {
        this.client = client;
        this.targets = targets;
        this.progress = progress;
    }

    /** Sets a timer for each fault and its end. */
    void schedule(FaultSchedule schedule, RunClock clock, ScheduledExecutorService timer) {
        for (StandInFault fault : schedule.standInFaults()) {
            long delay = fault.at().toNanos() - clock.nanos();
            timer.schedule(() -> begin(fault), delay, TimeUnit.NANOSECONDS);
            if (fault.lasting().isPositive()) {
                timer.schedule(
                        () -> put(fault, NO_FAULTS), delay + fault.lasting().toNanos(), TimeUnit.NANOSECONDS);
            }
        }
        for (MinionDrain drain : schedule.minionDrains()) {
            timer.schedule(() -> drain(drain, clock), drain.at().toNanos() - clock.nanos(), TimeUnit.NANOSECONDS);
        }
    }

    /** Returns the minions that took the request to leave, with the spans of time. */
    List<LeavingMinion> leaving() {
        return List.copyOf(leaving);
    }

    /** Clears the faults that have no end of their own. */
    void clear(FaultSchedule schedule) {
        for (StandInFault fault : schedule.standInFaults()) {
            if (!fault.lasting().isPositive()) {
                put(fault, NO_FAULTS);
            }
        }
    }

    /** Returns the number of faults that stand-ins took, by target and settings. */
    Map<String, Integer> injected() {
        return Map.copyOf(injected);
    }

    private void begin(StandInFault fault) {
        put(fault, fault.settings());
    }

    private void drain(MinionDrain drain, RunClock clock) {
        Optional<Target> target = targets.standIn(drain.target());
        if (target.isEmpty()) {
            report(drain, "drain", "unknown-target");
            return;
        }
        HttpRequest request = HttpRequest.newBuilder(target.get().at("/drain"))
                .timeout(LIMIT)
                .POST(HttpRequest.BodyPublishers.noBody())
                .build();
        client.sendAsync(request, HttpResponse.BodyHandlers.ofString()).whenComplete((response, failure) -> {
            boolean taken = failure == null && response.statusCode() < FIRST_ERROR;
            if (taken) {
                injected.merge(drain.name(), 1, Integer::sum);
                long until = drain.at().plus(drain.lasting()).toNanos();
                leaving.add(new LeavingMinion(drain.target(), clock.nanos(), until));
            }
            report(drain, "drain", taken ? "taken" : "refused");
        });
    }

    private void put(StandInFault fault, String settings) {
        Optional<Target> target = targets.standIn(fault.target());
        if (target.isEmpty()) {
            report(fault, settings, "unknown-target");
            return;
        }
        HttpRequest request = HttpRequest.newBuilder(target.get().at("/faults"))
                .timeout(LIMIT)
                .header("Content-Type", "application/json")
                .PUT(HttpRequest.BodyPublishers.ofString(settings))
                .build();
        client.sendAsync(request, HttpResponse.BodyHandlers.ofString()).whenComplete((response, failure) -> {
            boolean taken = failure == null && response.statusCode() < FIRST_ERROR;
            if (taken && !settings.equals(NO_FAULTS)) {
                injected.merge(fault.name(), 1, Integer::sum);
            }
            report(fault, settings, taken ? "taken" : "refused");
        });
    }

    private void report(Fault fault, String settings, String result) {
        progress.println(EventLine.of("load-fault")
                .with("target", fault.target())
                .with("settings", settings)
                .with("result", result));
    }
}
