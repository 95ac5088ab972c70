package org.chivetally.load;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.chivetally.document.Document;
import org.chivetally.document.Mistakes;
import org.chivetally.document.Section;
import org.chivetally.job.JobSpecification;
import org.chivetally.load.Targets.Target;

/** Reads a load plan from YAML. Parsing is strict: every mistake is reported with its location. */
public final class LoadPlanReader {
    private static final Duration MAXIMUM_DURATION = Duration.ofHours(24);
    private static final Duration MINIMUM_DURATION = Duration.ofMillis(1);
    private static final double MAXIMUM_WEIGHT = 1e6;
    private static final double MAXIMUM_JOBS_PER_SECOND = 1e6;
    private static final int MAXIMUM_SLOTS = 1_000_000;
    private static final int MAXIMUM_RETRIES = 1_000;
    private static final int MAXIMUM_COPIES = 10;

    private final Document document;
    private final Section root;
    private final Optional<Targets> targetsOverride;

    private LoadPlanReader(Document document, Optional<Targets> targetsOverride) {
        this.document = document;
        this.root = document.root();
        this.targetsOverride = targetsOverride;
    }

    /**
     * Reads a plan.
     *
     * @param fileName name of the file in reported mistakes
     * @param text content of the file
     * @param targetsOverride processes to use in place of those in the plan, which may then omit them
     */
    public static ReadResult<LoadPlan> read(String fileName, String text, Optional<Targets> targetsOverride) {
        return new LoadPlanReader(Document.parse(fileName, text), targetsOverride).plan();
    }

    /**
     * Reads a file that contains only targets, as written for a generated deployment.
     *
     * @param fileName name of the file in reported mistakes
     * @param text content of the file
     */
    public static ReadResult<Targets> readTargets(String fileName, String text) {
        LoadPlanReader reader = new LoadPlanReader(Document.parse(fileName, text), Optional.empty());
        TargetParts parts = targetParts(reader.root.section("targets"), true);
        return reader.toResult(parts::build);
    }

    private ReadResult<LoadPlan> plan() {
        PlanParts parts = new PlanParts(
                root.requiredText("name"),
                root.integer("seed", Long.MIN_VALUE, Long.MAX_VALUE, 1),
                root.requiredDuration("duration", MINIMUM_DURATION, MAXIMUM_DURATION),
                root.duration("warmUp", Duration.ZERO, MAXIMUM_DURATION, Duration.ZERO));
        if (parts.warmUp().compareTo(parts.duration()) >= 0) {
            root.mistake("warmUp", "must be shorter than the duration");
        }
        WorkloadParts workload = workloadParts(root.section("workload"));
        TargetParts targets = targetParts(root.section("targets"), targetsOverride.isEmpty());
        List<Fault> faults = list(root, "faults", LoadPlanReader::fault);
        Map<Figure, Double> goals = goals(root.section("goals"));
        return toResult(() -> new LoadPlan(
                parts.name(),
                parts.seed(),
                parts.duration(),
                parts.warmUp(),
                targetsOverride.orElseGet(targets::build),
                workload.build(),
                new FaultSchedule(faults),
                goals));
    }

    private <T> ReadResult<T> toResult(Supplier<T> content) {
        Mistakes mistakes = document.finish();
        return new ReadResult<>(mistakes.isEmpty() ? Optional.of(content.get()) : Optional.empty(), mistakes);
    }

    private static TargetParts targetParts(Section section, boolean required) {
        List<Target> entries = targets(section, "entries");
        if (required && entries.isEmpty()) {
            section.mistake("entries", "at least one entry is needed");
        }
        return new TargetParts(
                entries, targets(section, "minions"), targets(section, "logs"), targets(section, "relays"));
    }

    private static List<Target> targets(Section section, String key) {
        return list(section, key, item -> new Target(item.requiredText("name"), address(item)));
    }

    private static URI address(Section item) {
        String text = item.requiredText("url");
        if (!text.matches("https?://[^/\\s]+/?")) {
            item.mistake("url", "must be http://HOST:PORT");
            return URI.create("http://invalid");
        }
        return URI.create(text);
    }

    private static WorkloadParts workloadParts(Section section) {
        return new WorkloadParts(
                (int) section.requiredInteger("slots", 1, MAXIMUM_SLOTS),
                offered(section),
                list(section, "phases", LoadPlanReader::phase),
                nonEmptyList(section, "services", LoadPlanReader::service),
                nonEmptyList(section, "teams", item -> new Workload.TeamShare(item.requiredText("name"), weight(item))),
                nonEmptyList(section, "jobSizes", LoadPlanReader::jobSize),
                nonEmptyList(section, "taskTimes", LoadPlanReader::taskTimes),
                resubmissions(section.section("resubmissions")),
                cancellations(section.section("cancellations")),
                retries(section.section("retries")),
                section.requiredDuration("deadline", MINIMUM_DURATION, MAXIMUM_DURATION));
    }

    private static Workload.OfferedLoad offered(Section workload) {
        Section section = workload.section("offered");
        boolean hasSlotShare = section.has("slotShare");
        if (hasSlotShare == section.has("jobsPerSecond")) {
            workload.mistake("offered", "needs either slotShare or jobsPerSecond");
        }
        if (hasSlotShare) {
            return new Workload.OfferedLoad.SlotShare(section.decimal("slotShare", 0.001, 100, 1));
        }
        return new Workload.OfferedLoad.JobRate(section.decimal("jobsPerSecond", 0.001, MAXIMUM_JOBS_PER_SECOND, 1));
    }

    private static Workload.Phase phase(Section item) {
        return new Workload.Phase(
                item.requiredText("name"),
                item.requiredDuration("start", Duration.ZERO, MAXIMUM_DURATION),
                item.requiredDuration("length", MINIMUM_DURATION, MAXIMUM_DURATION),
                item.decimal("factor", 0, 1000, 1));
    }

    private static Workload.ServiceShare service(Section item) {
        return new Workload.ServiceShare(
                item.requiredText("name"),
                item.requiredFlag("idempotent"),
                item.duration("attemptLease", Duration.ZERO, MAXIMUM_DURATION, Duration.ZERO),
                weight(item));
    }

    private static Workload.JobSize jobSize(Section item) {
        return new Workload.JobSize(
                (int) item.requiredInteger("tasks", 1, JobSpecification.MAXIMUM_TASKS), weight(item));
    }

    private static Workload.TaskTimeRange taskTimes(Section item) {
        Duration shortest = item.requiredDuration("shortest", MINIMUM_DURATION, MAXIMUM_DURATION);
        Duration longest = item.requiredDuration("longest", MINIMUM_DURATION, MAXIMUM_DURATION);
        if (longest.compareTo(shortest) < 0) {
            item.mistake("longest", "must not be shorter than the shortest");
        }
        return new Workload.TaskTimeRange(shortest, longest, weight(item));
    }

    private static double weight(Section item) {
        return item.decimal("weight", 1e-6, MAXIMUM_WEIGHT, 1);
    }

    private static Workload.Resubmissions resubmissions(Section section) {
        return new Workload.Resubmissions(
                section.decimal("share", 0, 1, 0),
                (int) section.integer("copies", 1, MAXIMUM_COPIES, 1),
                list(section, "delays", item -> item.requiredDuration("after", Duration.ZERO, MAXIMUM_DURATION)));
    }

    private static Workload.Cancellations cancellations(Section section) {
        return new Workload.Cancellations(
                section.decimal("share", 0, 1, 0),
                section.duration("delay", Duration.ZERO, MAXIMUM_DURATION, Duration.ZERO),
                list(section, "waves", item -> item.requiredDuration("at", Duration.ZERO, MAXIMUM_DURATION)));
    }

    private static Workload.Retries retries(Section section) {
        return new Workload.Retries(
                (int) section.integer("most", 0, MAXIMUM_RETRIES, 0),
                section.duration("delay", Duration.ZERO, MAXIMUM_DURATION, Duration.ofMillis(200)),
                section.duration("patience", Duration.ZERO, MAXIMUM_DURATION, Duration.ZERO));
    }

    private static Fault fault(Section item) {
        Duration at = item.requiredDuration("at", Duration.ZERO, MAXIMUM_DURATION);
        Duration duration = item.duration("lasting", Duration.ZERO, MAXIMUM_DURATION, Duration.ZERO);
        String target = item.requiredText("target");
        boolean hasSettings = item.has("settings");
        boolean isDrain = item.flag("drain", false);
        if ((hasSettings ? 1 : 0) + (isDrain ? 1 : 0) + (item.has("action") ? 1 : 0) != 1) {
            item.mistake(
                    "action",
                    "a fault needs either settings (of a stand-in), drain: true, or an action (on a process)");
        }
        if (isDrain) {
            return new Fault.MinionDrain(at, duration, target);
        }
        if (hasSettings) {
            return new Fault.StandInFault(
                    at, duration, target, item.section("settings").toJson());
        }
        Fault.Action action = item.choice("action", Fault.Action.class, Fault.Action.PAUSE);
        return new Fault.ProcessFault(at, duration, target, action);
    }

    private static Map<Figure, Double> goals(Section section) {
        Map<Figure, Double> goals = new EnumMap<>(Figure.class);
        for (Figure figure : Figure.values()) {
            if (section.has(figure.text())) {
                goals.put(figure, section.decimal(figure.text(), 0, 1e9, 0));
            }
        }
        return goals;
    }

    private static <T> List<T> nonEmptyList(Section section, String key, Function<Section, T> reader) {
        List<T> items = list(section, key, reader);
        if (items.isEmpty()) {
            section.mistake(key, "at least one is needed");
        }
        return items;
    }

    private static <T> List<T> list(Section section, String key, Function<Section, T> reader) {
        List<T> items = new ArrayList<>();
        for (Section item : section.sections(key)) {
            items.add(reader.apply(item));
        }
        return items;
    }

    /**
     * Result of reading a document.
     *
     * @param content content of the document; empty if there are mistakes
     * @param mistakes all mistakes in the document
     */
    public record ReadResult<T>(Optional<T> content, Mistakes mistakes) {}

    private record TargetParts(List<Target> entries, List<Target> minions, List<Target> logs, List<Target> relays) {
        Targets build() {
            return new Targets(entries, minions, logs, relays);
        }
    }

    private record PlanParts(String name, long seed, Duration duration, Duration warmUp) {}

    /**
     * The parsed workload before validation. A document with mistakes may leave lists empty, which the constructor of
     * {@link Workload} rejects.
     */
    private record WorkloadParts(
            int slots,
            Workload.OfferedLoad offered,
            List<Workload.Phase> phases,
            List<Workload.ServiceShare> services,
            List<Workload.TeamShare> teams,
            List<Workload.JobSize> jobSizes,
            List<Workload.TaskTimeRange> taskTimes,
            Workload.Resubmissions resubmissions,
            Workload.Cancellations cancellations,
            Workload.Retries retries,
            Duration deadline) {
        Workload build() {
            return new Workload(
                    slots,
                    offered,
                    phases,
                    services,
                    teams,
                    jobSizes,
                    taskTimes,
                    resubmissions,
                    cancellations,
                    retries,
                    deadline);
        }
    }
}
