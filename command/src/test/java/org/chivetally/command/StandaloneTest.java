package org.chivetally.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Level;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.chivetally.command.daemon.LogSetup;
import org.chivetally.command.deployment.DeploymentCatalogue;
import org.chivetally.command.deployment.RunningDeployment;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs commands over HTTP against a complete deployment in this process, which all tests share. */
class StandaloneTest {
    private static final String EXAMPLES = "../examples/";

    private static RunningDeployment running;

    @TempDir
    private Path folder;

    @BeforeAll
    static void start() {
        LogSetup.install(Level.WARNING);
        running = RunningDeployment.start(
                DeploymentCatalogue.read(EXAMPLES + "deployments/jylland.yaml").withFreePorts());
        running.entries().forEach(Demonstration::awaitReadiness);
    }

    @AfterAll
    static void stop() {
        running.stop().toCompletableFuture().join();
    }

    /**
     * A caller submits the largest job twice with the same key, at different entries. The second entry must attach to
     * the first claim and return the same answer; the minions' own records show one start for each task.
     */
    @Test
    void aResubmissionAtAnotherEntryReturnsTheSameAnswer() {
        long startsBefore = Demonstration.countStarts(running);
        CommandResult first = atEntry(0, "submit", EXAMPLES + "job-250.yaml", "--key", "once", "-o", "json");
        assertThat(first.error(), first.code(), is(ExitCodes.OK));
        assertThat(first.out(), allOf(containsString("report 1 routed"), containsString("report 250 routed")));
        CommandResult second = atEntry(2, "submit", EXAMPLES + "job-250.yaml", "--key", "once", "-o", "json");
        assertThat(second.out(), is(first.out()));
        assertThat(Demonstration.countStarts(running) - startsBefore, is(250L));
    }

    @Test
    void aKeyOfAnotherJobIsAConflict() {
        assertThat(
                atEntry(0, "submit", EXAMPLES + "job-small.yaml", "--key", "twice")
                        .code(),
                is(ExitCodes.OK));
        CommandResult reused = atEntry(1, "submit", EXAMPLES + "job-250.yaml", "--key", "twice");
        assertThat(reused.code(), is(ExitCodes.CONFLICT));
        assertThat(reused.error(), containsString("key-reused"));
    }

    @Test
    void theDecisionsOfAJobCanBeReadBack() {
        CommandResult submitted = atEntry(0, "submit", EXAMPLES + "job-small.yaml", "-o", "yaml");
        Matcher job = Pattern.compile("job: (\\S+)").matcher(submitted.out());
        assertThat(submitted.out(), job.find(), is(true));
        assertThat(atEntry(0, "explain", job.group(1)).out(), containsString("job=" + job.group(1)));
        assertThat(atEntry(0, "jobs", job.group(1)).out(), containsString("complete"));
    }

    @Test
    void aFailedTaskFailsTheJob() throws Exception {
        Path job = Files.writeString(
                folder.resolve("failing.yaml"),
                "service: trail-report-routing\ntasks: [{payload: {workMillis: 0, fail: true}}]\n");
        CommandResult result = atEntry(0, "submit", job.toString());
        assertThat(result.code(), is(ExitCodes.FAILED));
        assertThat(result.error(), containsString("task-failed (failed)"));
    }

    @Test
    void resourcesAreAppliedComparedAndRefusedAsAWhole() throws Exception {
        String resources = EXAMPLES + "resources/jylland";
        assertThat(atEntry(0, "diff", "-f", resources).code(), is(ExitCodes.FAILED));
        assertThat(atEntry(0, "apply", "-f", resources, "--as", "anna").code(), is(ExitCodes.OK));
        assertThat(atEntry(0, "diff", "-f", resources).code(), is(ExitCodes.OK));
        assertThat(atEntry(0, "get", "services").out(), containsString("service/trail-report-routing"));
        Path malformed = Files.writeString(
                folder.resolve("malformed.yaml"), "kind: team\nname: new\nspec: {weight: none, wieght: 2}\n");
        CommandResult refused = atEntry(0, "apply", "-f", malformed.toString());
        assertThat(refused.code(), is(ExitCodes.INVALID_INPUT));
        assertThat(
                refused.error(),
                allOf(containsString("malformed.yaml:3:16: spec.weight"), containsString("spec.wieght: unknown key")));
        assertThat(atEntry(0, "get", "team", "new").code(), is(ExitCodes.FAILED));
    }

    /**
     * Two operators change a resource based on the same version. The second write must be refused as a conflict that
     * names the first one, and must not overwrite it.
     */
    @Test
    void theSecondOfTwoConcurrentWritesIsAConflict() throws Exception {
        Path team = folder.resolve("team.yaml");
        Files.writeString(team, "kind: team\nname: raced\nspec: {weight: 2}\n");
        String[] basedOnNothing = {"apply", "-f", team.toString(), "--based-on", "team/raced=0"};
        assertThat(atEntry(0, basedOnNothing).code(), is(ExitCodes.OK));
        Files.writeString(team, "kind: team\nname: raced\nspec: {weight: 3}\n");
        CommandResult secondWrite = atEntry(0, basedOnNothing);
        assertThat(secondWrite.code(), is(ExitCodes.CONFLICT));
        assertThat(secondWrite.error(), containsString("team/raced was changed by"));
        assertThat(atEntry(0, "describe", "team", "raced").out(), containsString("weight: 2"));
    }

    @Test
    void aWatchShowsChangesFromAVersion() throws Exception {
        Path team = Files.writeString(folder.resolve("watched.yaml"), "kind: team\nname: watched\nspec: {weight: 2}\n");
        assertThat(atEntry(0, "apply", "-f", team.toString()).code(), is(ExitCodes.OK));
        assertThat(atEntry(0, "watch", "teams", "--from", "0", "--count", "1").out(), containsString("added team/"));
    }

    private static CommandResult atEntry(int position, String... arguments) {
        URI entry = running.entries().get(position);
        List<String> allArguments = new ArrayList<>(List.of(arguments));
        allArguments.addAll(List.of("--entry", entry.toString()));
        return CommandResult.of(allArguments.toArray(String[]::new));
    }
}
