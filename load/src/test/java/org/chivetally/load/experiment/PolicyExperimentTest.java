package org.chivetally.load.experiment;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.chivetally.load.LoadPlan;
import org.chivetally.load.LoadPlanReader;
import org.chivetally.placement.PlacementPolicy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against experiments whose results are not reproducible from their seeds, and against a wrong line fit. */
class PolicyExperimentTest {
    private static final Path PLAN = Path.of("..", "examples", "load-jylland-50.yaml");

    /** Any source of randomness or time other than the seeds would change the second table. */
    @Test
    void tableAndPlotsAreWrittenAndReproducible(@TempDir Path folder) throws IOException {
        String first = table(folder.resolve("first"));
        assertThat(table(folder.resolve("second")), is(first));
        assertThat(first, containsString("| 2 | 0.40 | slot-credits |"));
        assertThat(Files.size(folder.resolve("first/policies-p99-2.png")) > 0, is(true));
    }

    /** The points are on y = 2x + 3. */
    @Test
    void fitOfCollinearPointsHasNoResidual() {
        LineFit fit =
                LineFit.through(List.of(new LineFit.Point(1, 5), new LineFit.Point(2, 7), new LineFit.Point(4, 11)));
        assertThat(fit.slope(), closeTo(2, 1e-9));
        assertThat(fit.at(10), closeTo(23, 1e-9));
        assertThat(fit.residual(), closeTo(0, 1e-9));
    }

    private static String table(Path folder) throws IOException {
        LoadPlan plan = LoadPlanReader.read("plan", Files.readString(PLAN), Optional.empty())
                .content()
                .orElseThrow();
        PolicyExperiment.Settings settings = new PolicyExperiment.Settings(
                List.of(new PlacementPolicy.UniformRandom(), new PlacementPolicy.SlotCredits(0)),
                List.of(2),
                List.of(0.4),
                List.of(1L, 2L),
                Duration.ofSeconds(5));
        new PolicyExperiment(plan, settings, new PrintStream(OutputStream.nullOutputStream())).run(folder);
        return Files.readString(folder.resolve("policies.md"));
    }
}
