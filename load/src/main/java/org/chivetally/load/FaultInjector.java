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

/** Injects the stand-in faults and minion drains of a schedule over HTTP, and clears stand-in faults when they end. */
final class FaultInjector {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
    private static final String NO_FAULTS = "{}";
    private static final int FIRST_NON_SUCCESS = 300;

    private final HttpClient client;
    private final Targets targets;
    private final PrintStream progress;
    private final Map<String, Integer> injected = new ConcurrentSkipListMap<>();
    private final List<DrainingMinion> drainingMinions = new CopyOnWriteArrayList<>();

    FaultInjector(HttpClient client, Targets targets, PrintStream progress) {
        this.client = client;
        this.targets = targets;
        this.progress = progress;
    }

    /** Schedules the beginning and the end of each fault. */
    void schedule(FaultSchedule schedule, RunClock clock, ScheduledExecutorService timer) {
        for (StandInFault fault : schedule.standInFaults()) {
            long delay = fault.at().toNanos() - clock.nanos();
            timer.schedule(() -> beginFault(fault), delay, TimeUnit.NANOSECONDS);
            if (fault.duration().isPositive()) {
                timer.schedule(
                        () -> putSettings(fault, NO_FAULTS),
                        delay + fault.duration().toNanos(),
                        TimeUnit.NANOSECONDS);
            }
        }
        for (MinionDrain drain : schedule.minionDrains()) {
            timer.schedule(() -> drainMinion(drain, clock), drain.at().toNanos() - clock.nanos(), TimeUnit.NANOSECONDS);
        }
    }

    /** Returns the minions that accepted a drain request, each with its period of draining. */
    List<DrainingMinion> drainingMinions() {
        return List.copyOf(drainingMinions);
    }

    /** Clears the faults that last until the end of the run. */
    void clearUnlimited(FaultSchedule schedule) {
        for (StandInFault fault : schedule.standInFaults()) {
            if (!fault.duration().isPositive()) {
                putSettings(fault, NO_FAULTS);
            }
        }
    }

    /** Returns the number of faults that stand-ins accepted, by {@linkplain Fault#name() name}. */
    Map<String, Integer> injected() {
        return Map.copyOf(injected);
    }

    private void beginFault(StandInFault fault) {
        putSettings(fault, fault.settings());
    }

    private void drainMinion(MinionDrain drain, RunClock clock) {
        Optional<Target> target = targets.standIn(drain.target());
        if (target.isEmpty()) {
            report(drain, "drain", "unknown-target");
            return;
        }
        HttpRequest request = HttpRequest.newBuilder(target.get().at("/drain"))
                .timeout(REQUEST_TIMEOUT)
                .POST(HttpRequest.BodyPublishers.noBody())
                .build();
        client.sendAsync(request, HttpResponse.BodyHandlers.ofString()).whenComplete((response, failure) -> {
            boolean accepted = failure == null && response.statusCode() < FIRST_NON_SUCCESS;
            if (accepted) {
                injected.merge(drain.name(), 1, Integer::sum);
                long until = drain.at().plus(drain.duration()).toNanos();
                drainingMinions.add(new DrainingMinion(drain.target(), clock.nanos(), until));
            }
            report(drain, "drain", accepted ? "taken" : "refused");
        });
    }

    private void putSettings(StandInFault fault, String settings) {
        Optional<Target> target = targets.standIn(fault.target());
        if (target.isEmpty()) {
            report(fault, settings, "unknown-target");
            return;
        }
        HttpRequest request = HttpRequest.newBuilder(target.get().at("/faults"))
                .timeout(REQUEST_TIMEOUT)
                .header("Content-Type", "application/json")
                .PUT(HttpRequest.BodyPublishers.ofString(settings))
                .build();
        client.sendAsync(request, HttpResponse.BodyHandlers.ofString()).whenComplete((response, failure) -> {
            boolean accepted = failure == null && response.statusCode() < FIRST_NON_SUCCESS;
            if (accepted && !settings.equals(NO_FAULTS)) {
                injected.merge(fault.name(), 1, Integer::sum);
            }
            report(fault, settings, accepted ? "taken" : "refused");
        });
    }

    private void report(Fault fault, String settings, String result) {
        progress.println(EventLine.of("load-fault")
                .with("target", fault.target())
                .with("settings", settings)
                .with("result", result));
    }
}
