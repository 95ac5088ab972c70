package org.chivetally.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import org.chivetally.document.Mistake;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against example plans that are no longer valid, and against mistakes in a plan that are not reported. */
class LoadPlanReaderTest {
    private static final Path EXAMPLES = Path.of("..", "examples");

    /** A fault with an unknown target would not be injected, so the run would miss it. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "load-smoke",
                "load-jylland-50",
                "load-jylland-85",
                "load-tasmania-50",
                "load-tasmania-85",
                "load-overload",
                "load-faults"
            })
    void exampleIsValidAndFaultsReferToItsTargets(String name) throws IOException {
        LoadPlan plan = example(name);
        assertThat(plan.name(), is(name));
        assertThat(plan.targets().entries(), hasSize(3));
        assertThat(plan.targets().minions(), hasSize(11));
        for (Fault.StandInFault fault : plan.faults().standInFaults()) {
            assertThat(fault.target(), plan.targets().standIn(fault.target()).isPresent());
        }
    }

    /** Guards against values that are read from the wrong key or in the wrong unit. */
    @Test
    void valuesAreReadIntoTheirFields() throws IOException {
        LoadPlan plan = example("load-jylland-50");
        assertThat(plan.duration(), is(Duration.ofSeconds(90)));
        assertThat(plan.workload().deadline(), is(Duration.ofSeconds(60)));
        assertThat(plan.workload().meanJobSize(), closeTo(3.0, 0.001));
        assertThat(plan.goals().get(Figure.RESPONSE_P99), is(1.15));
        assertThat(plan.workload().resubmissions().delays(), hasSize(3));
    }

    /** A reader that stops at the first mistake, or ignores unknown keys, would miss some of them. */
    @Test
    void everyMistakeIsReportedWithItsPath() throws IOException {
        LoadPlanReader.ReadResult<LoadPlan> result =
                LoadPlanReader.read("plan.yaml", resource("mistakes.yaml"), Optional.empty());
        assertThat(result.content().isEmpty(), is(true));
        assertThat(
                result.mistakes().list().stream().map(Mistake::path).sorted().toList(),
                contains(
                        "faults[0].action",
                        "goals.respons-p50",
                        "targets.entries",
                        "workload.jobSizes[0].tasks",
                        "workload.offered",
                        "workload.taskTimes[0].longest"));
    }

    /** A generated deployment provides its targets in a file of its own. */
    @Test
    void targetsAreReadFromSeparateFile() {
        String text = "targets: {entries: [{name: e, url: \"http://127.0.0.1:9\"}]}";
        Targets targets =
                LoadPlanReader.readTargets("targets.yaml", text).content().orElseThrow();
        assertThat(targets.entries().getFirst().at("/readyz").toString(), is("http://127.0.0.1:9/readyz"));
    }

    private static LoadPlan example(String name) throws IOException {
        String text = Files.readString(EXAMPLES.resolve(name + ".yaml"));
        LoadPlanReader.ReadResult<LoadPlan> result = LoadPlanReader.read(name, text, Optional.empty());
        assertThat(result.mistakes().text(), result.mistakes().isEmpty());
        return result.content().orElseThrow();
    }

    private static String resource(String name) throws IOException {
        try (InputStream stream = LoadPlanReaderTest.class.getResourceAsStream(name)) {
            return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
