package org.chivetally.load.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.chivetally.coordination.DispatchSettings;
import org.chivetally.errors.ChivetallyException;
import org.chivetally.errors.ErrorCode;
import org.chivetally.load.FaultSchedule;
import org.chivetally.load.LoadPlan;
import org.chivetally.load.ResponseRatio;
import org.chivetally.load.Schedule;
import org.chivetally.load.SingleQueueSimulation;
import org.chivetally.load.Workload;
import org.chivetally.logging.EventLine;
import org.chivetally.placement.PlacementPolicy;

/** Simulates the same schedules under each placement policy and compares response ratios and wasted messages. */
public final class PolicyExperiment {
    private static final String SINGLE_QUEUE = "single-queue";

    private final LoadPlan basePlan;
    private final Settings settings;
    private final PrintStream progress;

    /**
     * Prepares an experiment.
     *
     * @param basePlan plan whose mix of jobs is submitted, at the loads and seeds of the settings
     * @param settings combinations to simulate
     * @param progress receives one line per combination
     */
    public PolicyExperiment(LoadPlan basePlan, Settings settings, PrintStream progress) {
        this.basePlan = basePlan;
        this.settings = settings;
        this.progress = progress;
    }

    /** Simulates all combinations and writes {@code policies.md} and the plots to a folder. */
    public void run(Path folder) {
        List<Result> results = new ArrayList<>();
        for (int coordinators : settings.coordinators()) {
            for (double load : settings.loads()) {
                results.addAll(measureAtLoad(coordinators, load));
            }
        }
        write(folder, results);
    }

    private List<Result> measureAtLoad(int coordinators, double load) {
        List<Result> results = new ArrayList<>();
        for (PlacementPolicy policy : settings.policies()) {
            Measurements measurements = new Measurements();
            for (long seed : settings.seeds()) {
                simulate(coordinators, load, policy, seed, measurements);
            }
            results.add(new Result(coordinators, load, policyName(policy), measurements));
            progress.println(EventLine.of("policy-measured")
                    .with("policy", policyName(policy))
                    .with("coordinators", coordinators)
                    .with("load", load)
                    .with("p99", measurements.spread(Measure.P99).median()));
        }
        Measurements singleQueue = new Measurements();
        for (long seed : settings.seeds()) {
            LoadPlan plan = plan(load, seed);
            singleQueue.add(SingleQueueSimulation.simulate(plan, Schedule.of(plan)));
        }
        results.add(new Result(coordinators, load, SINGLE_QUEUE, singleQueue));
        return results;
    }

    private void simulate(int coordinators, double load, PlacementPolicy policy, long seed, Measurements measurements) {
        LoadPlan plan = plan(load, seed);
        ClusterShape shape = ClusterShape.jylland(coordinators);
        DispatchSettings defaults = DispatchSettings.defaults(shape.failureDomain(0));
        DispatchSettings dispatchSettings = new DispatchSettings(
                defaults.failureDomain(),
                false,
                policy,
                defaults.fencing(),
                defaults.queues(),
                defaults.retries(),
                defaults.speculation(),
                defaults.quarantine());
        ResponseRatio ratio = new ResponseRatio();
        ClusterSimulation simulation = new ClusterSimulation(
                shape, dispatchSettings, plan.workload().deadline(), seed, (job, nanos, outcome) -> {
                    if (plan.isMeasured(job.dueNanos())) {
                        ratio.add(nanos, job.idealNanos(shape.totalSlots()));
                    }
                });
        ClusterSimulation.Counts counts = simulation.simulate(Schedule.of(plan).jobs());
        measurements.add(ratio);
        measurements.add(Measure.WASTED, counts.wastedPerTask());
        measurements.add(Measure.MESSAGES, counts.messagesPerTask());
        measurements.add(Measure.FAILED, counts.failed());
    }

    private LoadPlan plan(double load, long seed) {
        Workload workload = basePlan.workload();
        Workload offered = new Workload(
                ClusterShape.jylland(1).totalSlots(),
                new Workload.OfferedLoad.SlotShare(load),
                List.of(),
                workload.services(),
                workload.teams(),
                workload.jobSizes(),
                workload.taskTimes(),
                Workload.Resubmissions.NONE,
                Workload.Cancellations.NONE,
                Workload.Retries.NONE,
                workload.deadline());
        return new LoadPlan(
                basePlan.name(),
                seed,
                settings.duration(),
                settings.duration().dividedBy(10),
                basePlan.targets(),
                offered,
                FaultSchedule.NONE,
                Map.of());
    }

    private void write(Path folder, List<Result> results) {
        MarkdownTable table = new MarkdownTable(
                "coordinators",
                "load",
                "policy",
                "ratio p50",
                "ratio p99",
                "p99 lowest to highest",
                "wasted a task",
                "messages a task",
                "failed jobs");
        for (Result result : results) {
            table.row(cells(result));
        }
        try {
            Files.createDirectories(folder);
            Files.writeString(folder.resolve("policies.md"), table.toString());
        } catch (IOException unwritable) {
            throw new ChivetallyException(ErrorCode.INVALID_INPUT, folder + " can't be written", unwritable);
        }
        for (int coordinators : settings.coordinators()) {
            plot(folder, results, coordinators, Measure.P99, "response time / ideal, p99", true);
            plot(folder, results, coordinators, Measure.P50, "response time / ideal, p50", true);
            plot(folder, results, coordinators, Measure.WASTED, "wasted messages a task", false);
        }
    }

    private static String[] cells(Result result) {
        Spread p99 = result.measurements().spread(Measure.P99);
        return new String[] {
            Integer.toString(result.coordinators()),
            String.format(Locale.ROOT, "%.2f", result.load()),
            result.policy(),
            number(result, Measure.P50, 3),
            number(result, Measure.P99, 3),
            String.format(Locale.ROOT, "%.3f to %.3f", p99.lowest(), p99.highest()),
            number(result, Measure.WASTED, 4),
            number(result, Measure.MESSAGES, 3),
            number(result, Measure.FAILED, 0)
        };
    }

    private static String number(Result result, Measure measure, int decimals) {
        if (!result.measurements().has(measure)) {
            return "-";
        }
        double median = result.measurements().spread(measure).median();
        return String.format(Locale.ROOT, "%." + decimals + "f", median);
    }

    private void plot(
            Path folder, List<Result> results, int coordinators, Measure measure, String label, boolean logarithmic) {
        List<String> policies = results.stream().map(Result::policy).distinct().toList();
        List<Plots.Series> series = new ArrayList<>();
        for (String policy : policies) {
            List<Plots.Point> points = new ArrayList<>();
            for (Result result : results) {
                boolean selected =
                        result.coordinators() == coordinators && result.policy().equals(policy);
                if (selected && result.measurements().has(measure)) {
                    points.add(
                            new Plots.Point(result.load(), result.measurements().spread(measure)));
                }
            }
            if (!points.isEmpty()) {
                series.add(new Plots.Series(policy, points));
            }
        }
        String file = "policies-" + measure.name().toLowerCase(Locale.ROOT) + "-" + coordinators + ".png";
        String title = coordinators == 1 ? "one coordinator" : coordinators + " coordinators";
        Plots.write(folder.resolve(file), new Plots.Axes(title, "offered share of slots", label, logarithmic), series);
    }

    private static String policyName(PlacementPolicy policy) {
        if (policy instanceof PlacementPolicy.SlotCredits credits && credits.overcommit() > 0) {
            return policy.logName() + "+" + credits.overcommit();
        }
        return policy.logName();
    }

    /**
     * Combinations to simulate.
     *
     * @param policies placement policies to compare
     * @param coordinators numbers of coordinators
     * @param loads offered shares of all slots
     * @param seeds seeds of the schedules; each combination is simulated once per seed
     * @param duration simulated time during which jobs are submitted; the first tenth is not measured
     */
    public record Settings(
            List<PlacementPolicy> policies,
            List<Integer> coordinators,
            List<Double> loads,
            List<Long> seeds,
            Duration duration) {
        /** Copies the lists. */
        public Settings {
            policies = List.copyOf(policies);
            coordinators = List.copyOf(coordinators);
            loads = List.copyOf(loads);
            seeds = List.copyOf(seeds);
        }

        /** Returns the two credit-based policies at 50% and 85% load with one to nine coordinators, five seeds each. */
        public static Settings byCoordinators() {
            return new Settings(
                    List.of(new PlacementPolicy.SlotCredits(0), new PlacementPolicy.LeastLoadedCredits(0)),
                    List.of(1, 2, 3, 6, 9),
                    List.of(0.5, 0.85),
                    List.of(1L, 2L, 3L, 4L, 5L),
                    Duration.ofSeconds(120));
        }

        /** Returns all policies at 30% to 95% load with one and three coordinators, five seeds each. */
        public static Settings all() {
            return new Settings(
                    List.of(
                            new PlacementPolicy.UniformRandom(),
                            new PlacementPolicy.PowerOfTwoChoices(),
                            new PlacementPolicy.JoinIdleQueue(),
                            new PlacementPolicy.LeastLoaded(),
                            new PlacementPolicy.SlotCredits(0),
                            new PlacementPolicy.SlotCredits(1),
                            new PlacementPolicy.LeastLoadedCredits(0)),
                    List.of(1, 3),
                    List.of(0.3, 0.5, 0.7, 0.8, 0.85, 0.9, 0.95),
                    List.of(1L, 2L, 3L, 4L, 5L),
                    Duration.ofSeconds(120));
        }
    }

    private enum Measure {
        P50,
        P99,
        WASTED,
        MESSAGES,
        FAILED
    }

    private record Result(int coordinators, double load, String policy, Measurements measurements) {}

    private static final class Measurements {
        private final Map<Measure, List<Double>> values = new EnumMap<>(Measure.class);

        void add(ResponseRatio ratio) {
            add(Measure.P50, ratio.percentile(50));
            add(Measure.P99, ratio.percentile(99));
        }

        void add(Measure measure, double value) {
            values.computeIfAbsent(measure, key -> new ArrayList<>()).add(value);
        }

        boolean has(Measure measure) {
            return values.containsKey(measure);
        }

        Spread spread(Measure measure) {
            return Spread.of(values.get(measure));
        }
    }
}
