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
 * Measures the frames that entries and agents exchange for control, at idle and under load, by the number of both;
 * writes a page.
 */
public final class ControlCostExperiment {
    /** Frames that carry tasks and their outcomes; all others are control. */
    private static final Set<String> WORK = Set.of("start", "result", "refusal", "attach", "job_answer", "cancel");

    private final Settings settings;
    private final PrintStream progress;
    private final StringBuilder page = new StringBuilder();

    /** Prepares an experiment; a progress line is printed for each point. */
    public ControlCostExperiment(Settings settings, PrintStream progress) {
        this.settings = settings;
        this.progress = progress;
    }

    /** Measures everything and writes {@code control.md} to a folder. */
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
        for (Size size : settings.sizes()) {
            List<Sample> idle = new ArrayList<>();
            List<Sample> loaded = new ArrayList<>();
            try (ControlPlant plant = new ControlPlant(system, size.entries(), size.agents())) {
                Thread.sleep(settings.settling());
                for (int repeat = 0; repeat < settings.repeats(); repeat++) {
                    idle.add(sample(plant, size, () -> Thread.sleep(settings.time())));
                }
                for (int repeat = 0; repeat < settings.repeats() && size.loaded(); repeat++) {
                    loaded.add(sample(plant, size, () -> plant.load(settings.time())));
                }
            }
            row(table, kinds, size, "idle", idle);
            row(table, kinds, size, "half load", loaded);
        }
        page.append(table).append('\n').append(kinds);
    }

    private Sample sample(ControlPlant plant, Size size, Step step) throws InterruptedException {
        long begin = System.nanoTime();
        Map<String, ControlPlant.Count> before = plant.counts();
        step.run();
        Map<String, ControlPlant.Count> grown = new TreeMap<>();
        double seconds = (System.nanoTime() - begin) / 1e9;
        plant.counts()
                .forEach((key, count) -> grown.put(
                        key,
                        count.minus(before.getOrDefault(key, new ControlPlant.Count(0, 0)))
                                .each(seconds)));
        Sample sample = new Sample(grown);
        progress.println(EventLine.of("control-measured")
                .with("entries", size.entries())
                .with("agents", size.agents())
                .with(
                        "entryBytes",
                        number(sample.control("entries").each(size.entries()).bytes())));
        return sample;
    }

    private static void row(MarkdownTable table, MarkdownTable kinds, Size size, String state, List<Sample> samples) {
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
                spread(samples, Sample::bytesOfHeartbeat));
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

    /** Rates by "side/direction/kind of frame". */
    private record Sample(Map<String, ControlPlant.Count> rates) {
        ControlPlant.Count control(String side) {
            ControlPlant.Count sum = new ControlPlant.Count(0, 0);
            for (Map.Entry<String, ControlPlant.Count> rate : rates.entrySet()) {
                String[] key = rate.getKey().split("/");
                if (key[0].equals(side) && !WORK.contains(key[2])) {
                    sum = sum.plus(rate.getValue());
                }
            }
            return sum;
        }

        Map<String, ControlPlant.Count> kinds() {
            Map<String, ControlPlant.Count> kinds = new TreeMap<>();
            rates.forEach((key, count) -> {
                String[] parts = key.split("/");
                if (parts[1].equals("out") && count.frames() > 0) {
                    kinds.merge(parts[0] + " " + parts[2], count, ControlPlant.Count::plus);
                }
            });
            return kinds;
        }

        double bytesOfHeartbeat() {
            ControlPlant.Count asked = rates.getOrDefault("entries/out/heartbeat", new ControlPlant.Count(0, 0));
            ControlPlant.Count answered = rates.getOrDefault("agents/out/heartbeat", new ControlPlant.Count(0, 0));
            double frames = asked.frames() + answered.frames();
            return frames == 0 ? 0 : (asked.bytes() + answered.bytes()) / frames;
        }
    }

    /** Entries and agents of one point; idle only when it is not to be loaded. */
    public record Size(int entries, int agents, boolean loaded) {}

    /**
     * What is measured.
     *
     * @param settling time from the start of all processes to the first measurement
     * @param time length of one measurement
     */
    public record Settings(List<Size> sizes, int repeats, Duration settling, Duration time) {
        /** Returns the sizes of the page on control cost. */
        public static Settings all() {
            List<Size> sizes = List.of(
                    new Size(1, 11, false),
                    new Size(3, 11, true),
                    new Size(9, 11, false),
                    new Size(3, 50, false),
                    new Size(3, 150, false),
                    new Size(9, 150, false));
            return new Settings(sizes, 3, Duration.ofSeconds(5), Duration.ofSeconds(45));
        }
    }

    private interface Step {
        void run() throws InterruptedException;
    }

    private interface Measure {
        double of(Sample sample);
    }
}
