package org.chivetally.load.experiment;

import com.typesafe.config.ConfigFactory;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.chivetally.errors.ChivetallyException;
import org.chivetally.errors.ErrorCode;
import org.chivetally.logging.EventLine;

/**
 * Measures the control frames between entries and agents, idle and under load, for clusters of different sizes. The
 * results are written as a Markdown page.
 */
public final class ControlCostExperiment {
    /** Kinds of frames that carry tasks and their outcomes. All others are control frames. */
    private static final Set<String> TASK_FRAMES =
            Set.of("start", "result", "refusal", "attach", "job_answer", "cancel");

    private final Settings settings;
    private final PrintStream progress;
    private final StringBuilder page = new StringBuilder();

    /**
     * Prepares an experiment.
     *
     * @param settings clusters to measure, and durations
     * @param progress receives one line per measurement
     */
    public ControlCostExperiment(Settings settings, PrintStream progress) {
        this.settings = settings;
        this.progress = progress;
    }

    /** Runs all measurements and writes {@code control.md} to a folder. */
    public void run(Path folder) {
        ActorSystem<Void> system = ActorSystem.create(
                Behaviors.empty(),
                "control",
                ConfigFactory.parseString("pekko.loglevel = ERROR").withFallback(ConfigFactory.load()));
        try {
            measureAll(system);
            Files.createDirectories(folder);
            Files.writeString(folder.resolve("control.md"), page);
        } catch (IOException unwritable) {
            throw new ChivetallyException(ErrorCode.INVALID_INPUT, folder + " can't be written", unwritable);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new ChivetallyException(ErrorCode.INTERNAL, "interrupted", interrupted);
        } finally {
            system.terminate();
        }
    }

    private void measureAll(ActorSystem<?> system) throws InterruptedException {
        MarkdownTable table = new MarkdownTable(
                "entries",
                "agents",
                "state",
                "control frames/s an entry",
                "control bytes/s an entry",
                "control frames/s an agent",
                "control bytes/s an agent",
                "bytes a heartbeat");
        MarkdownTable kinds = new MarkdownTable("entries", "agents", "state", "kind", "frames/s in all", "bytes each");
        for (ClusterSize size : settings.sizes()) {
            List<Sample> idle = new ArrayList<>();
            List<Sample> loaded = new ArrayList<>();
            try (LoopbackCluster cluster = new LoopbackCluster(system, size.entries(), size.agents())) {
                Thread.sleep(settings.settlingTime());
                for (int repeat = 0; repeat < settings.repeats(); repeat++) {
                    idle.add(sample(cluster, size, () -> Thread.sleep(settings.measurementTime())));
                }
                for (int repeat = 0; repeat < settings.repeats() && size.loaded(); repeat++) {
                    loaded.add(sample(cluster, size, () -> cluster.submitLoad(settings.measurementTime())));
                }
            }
            row(table, kinds, size, "idle", idle);
            row(table, kinds, size, "half load", loaded);
        }
        page.append(table).append('\n').append(kinds);
    }

    private Sample sample(LoopbackCluster cluster, ClusterSize size, Activity activity) throws InterruptedException {
        long begin = System.nanoTime();
        Map<String, LoopbackCluster.FrameCount> before = cluster.counts();
        activity.run();
        Map<String, LoopbackCluster.FrameCount> rates = new TreeMap<>();
        double seconds = (System.nanoTime() - begin) / 1e9;
        cluster.counts()
                .forEach((key, count) -> rates.put(
                        key,
                        count.minus(before.getOrDefault(key, new LoopbackCluster.FrameCount(0, 0)))
                                .dividedBy(seconds)));
        Sample sample = new Sample(rates);
        progress.println(EventLine.of("control-measured")
                .with("entries", size.entries())
                .with("agents", size.agents())
                .with(
                        "entryBytes",
                        number(sample.control("entries")
                                .dividedBy(size.entries())
                                .bytes())));
        return sample;
    }

    private static void row(
            MarkdownTable table, MarkdownTable kinds, ClusterSize size, String state, List<Sample> samples) {
        if (samples.isEmpty()) {
            return;
        }
        table.row(
                Integer.toString(size.entries()),
                Integer.toString(size.agents()),
                state,
                spread(samples, sample -> sample.control("entries").frames() / size.entries()),
                spread(samples, sample -> sample.control("entries").bytes() / size.entries()),
                spread(samples, sample -> sample.control("agents").frames() / size.agents()),
                spread(samples, sample -> sample.control("agents").bytes() / size.agents()),
                spread(samples, Sample::bytesPerHeartbeat));
        samples.getLast()
                .kinds()
                .forEach((kind, count) -> kinds.row(
                        Integer.toString(size.entries()),
                        Integer.toString(size.agents()),
                        state,
                        kind,
                        number(count.frames()),
                        number(count.bytes() / count.frames())));
    }

    private static String spread(List<Sample> samples, Measure measure) {
        Spread spread = Spread.of(samples.stream().map(measure::of).toList());
        return number(spread.median()) + " (" + number(spread.lowest()) + " to " + number(spread.highest()) + ")";
    }

    private static String number(double value) {
        return String.format(Locale.ROOT, "%.1f", value);
    }

    /** Frames and bytes per second. Keys have the form {@code side/direction/kind of frame}. */
    private record Sample(Map<String, LoopbackCluster.FrameCount> rates) {
        LoopbackCluster.FrameCount control(String side) {
            LoopbackCluster.FrameCount sum = new LoopbackCluster.FrameCount(0, 0);
            for (Map.Entry<String, LoopbackCluster.FrameCount> rate : rates.entrySet()) {
                String[] key = rate.getKey().split("/");
                if (key[0].equals(side) && !TASK_FRAMES.contains(key[2])) {
                    sum = sum.plus(rate.getValue());
                }
            }
            return sum;
        }

        Map<String, LoopbackCluster.FrameCount> kinds() {
            Map<String, LoopbackCluster.FrameCount> kinds = new TreeMap<>();
            rates.forEach((key, count) -> {
                String[] parts = key.split("/");
                if (parts[1].equals("out") && count.frames() > 0) {
                    kinds.merge(parts[0] + " " + parts[2], count, LoopbackCluster.FrameCount::plus);
                }
            });
            return kinds;
        }

        double bytesPerHeartbeat() {
            LoopbackCluster.FrameCount requests =
                    rates.getOrDefault("entries/out/heartbeat", new LoopbackCluster.FrameCount(0, 0));
            LoopbackCluster.FrameCount replies =
                    rates.getOrDefault("agents/out/heartbeat", new LoopbackCluster.FrameCount(0, 0));
            double frames = requests.frames() + replies.frames();
            return frames == 0 ? 0 : (requests.bytes() + replies.bytes()) / frames;
        }
    }

    /**
     * Size of a measured cluster.
     *
     * @param entries number of entries
     * @param agents number of agents
     * @param loaded whether to measure under load as well as idle
     */
    public record ClusterSize(int entries, int agents, boolean loaded) {}

    /**
     * Settings of the experiment.
     *
     * @param sizes cluster sizes to measure
     * @param repeats number of measurements per size and state
     * @param settlingTime time from the start of all processes to the first measurement
     * @param measurementTime duration of one measurement
     */
    public record Settings(List<ClusterSize> sizes, int repeats, Duration settlingTime, Duration measurementTime) {
        /** Returns the settings for the page on control cost. */
        public static Settings all() {
            List<ClusterSize> sizes = List.of(
                    new ClusterSize(1, 11, false),
                    new ClusterSize(3, 11, true),
                    new ClusterSize(9, 11, false),
                    new ClusterSize(3, 50, false),
                    new ClusterSize(3, 150, false),
                    new ClusterSize(9, 150, false));
            return new Settings(sizes, 3, Duration.ofSeconds(5), Duration.ofSeconds(45));
        }
    }

    private interface Activity {
        void run() throws InterruptedException;
    }

    private interface Measure {
        double of(Sample sample);
    }
}
