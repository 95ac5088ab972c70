package org.chivetally.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.anyOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.chivetally.errors.ErrorCode;
import org.chivetally.load.LoadPlanReader;
import org.chivetally.settings.SettingsFile;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import picocli.CommandLine;

/** Checks options, exit codes and error texts of the commands without a deployment. */
class CommandTest {
    static Stream<Arguments> everyCommand() {
        List<Arguments> found = new ArrayList<>();
        collect(ChivetallyCommand.commandLine(), List.of(), found);
        return found.stream();
    }

    @ParameterizedTest
    @MethodSource("everyCommand")
    void everyCommandHasHelpWithExitCodes(List<String> names) {
        CommandResult result = run(appended(names, "--help"));
        assertThat(result.code(), is(ExitCodes.OK));
        assertThat(result.out(), containsString("Usage: " + String.join(" ", appended(List.of("chivetally"), names))));
        assertThat(result.out(), containsString("5    the request may have taken effect"));
    }

    @ParameterizedTest
    @MethodSource("everyCommand")
    void everyCommandRefusesAnUnknownOption(List<String> names) {
        CommandResult result = run(appended(names, "--no-such-option"));
        assertThat(result.code(), is(ExitCodes.INVALID_INPUT));
        // A missing required option is reported first.
        assertThat(result.error(), anyOf(containsString("--no-such-option"), startsWith("Missing required")));
        assertThat(commandLine(names).isUnmatchedArgumentsAllowed(), is(false));
    }

    @Test
    void aMissingSubcommandIsRefused() {
        assertThat(run(List.of()).code(), is(ExitCodes.INVALID_INPUT));
    }

    @Test
    void everyErrorCodeHasAnExitCodeOtherThanSuccess() {
        for (ErrorCode code : ErrorCode.values()) {
            assertThat(code.text(), ExitCodes.of(code), is(not(ExitCodes.OK)));
        }
    }

    /**
     * Nothing listens on the port, so the connection is refused before anything is sent. The exit code must be 4, which
     * means that nothing was done.
     */
    @Test
    void anUnreachableEntryIsUnavailable() throws IOException {
        CommandResult result = CommandResult.of("get", "services", "--entry", "http://127.0.0.1:" + freePort());
        assertThat(result.code(), is(ExitCodes.UNAVAILABLE));
        assertThat(result.error(), containsString("not-ready: no entry answers"));
    }

    /**
     * The server reads the request and closes the connection without an answer, so the job may have been accepted. The
     * exit code must be 5, and the error must give the key to submit the job again.
     */
    @Test
    void aLostAnswerToASubmissionIsOutcomeUnknown() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread server = Thread.ofVirtual().start(() -> closeAfterRequest(socket));
            String entry = "http://127.0.0.1:" + socket.getLocalPort();
            CommandResult result =
                    CommandResult.of("submit", "../examples/job-small.yaml", "--key", "key-1", "--entry", entry);
            server.join();
            assertThat(result.code(), is(ExitCodes.OUTCOME_UNKNOWN));
            assertThat(result.error(), containsString("submit again with --key key-1"));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"entry --settings", "agent --settings", "submit", "load", "apply -f"})
    void aMissingFileIsInvalidInput(String command) {
        CommandResult result = CommandResult.of((command + " no-such-file.yaml").split(" "));
        assertThat(result.code(), is(ExitCodes.INVALID_INPUT));
        assertThat(result.error(), containsString("no-such-file.yaml"));
    }

    /** An editor saved a file in another encoding. The command must report the position without sending a request. */
    @Test
    void aFileInAnotherEncodingIsRefusedWithItsPosition(@TempDir Path folder) throws IOException {
        Path file = folder.resolve("team.yaml");
        Files.write(file, "kind: team\nname: ranger\u00e6".getBytes(StandardCharsets.ISO_8859_1));
        CommandResult result = CommandResult.of("apply", "-f", folder.toString());
        assertThat(result.code(), is(ExitCodes.INVALID_INPUT));
        assertThat(result.error(), containsString("team.yaml:2:13: is not UTF-8"));
    }

    /**
     * A settings file has a misspelt key and a port out of range. The daemon must not start, and must report all
     * resulting mistakes at once.
     */
    @Test
    void aDaemonWithMalformedSettingsReportsAllMistakes(@TempDir Path folder) throws IOException {
        String settings = Files.readString(Path.of("../examples/settings/entry.yaml"))
                .replace("failureDomain:", "domain:")
                .replace("port: 8080", "port: 80800");
        Path file = Files.writeString(folder.resolve("entry.yaml"), settings);
        CommandResult result = CommandResult.of("entry", "--settings", file.toString());
        assertThat(result.code(), is(ExitCodes.INVALID_INPUT));
        assertThat(
                result.error(),
                allOf(
                        containsString("process.failureDomain: is missing"),
                        containsString("process.domain: unknown key; allowed here: failureDomain, name"),
                        containsString("http.port: \"80800\" is not a whole number from 0 to 65535")));
    }

    /** The daemons and the load plan reader must accept the files that {@code layout} writes. */
    @Test
    void theDaemonsAcceptTheGeneratedSettings(@TempDir Path folder) {
        CommandResult result = CommandResult.of(
                "layout", folder.toString(), "--deployment", "../examples/deployments/tasmania.yaml", "--relays");
        assertThat(result.error(), result.code(), is(ExitCodes.OK));
        assertThat(
                SettingsFile.readEntry(folder.resolve("entry-3.yaml")).process().name(), is("entry-3"));
        assertThat(
                SettingsFile.readAgent(folder.resolve("agent-11.yaml")).minion().backend(), is("minion-11"));
        String targets = DocumentFile.text(folder.resolve("targets.yaml"));
        assertThat(
                LoadPlanReader.readTargets("targets.yaml", targets).mistakes().text(), is(""));
    }

    private static CommandLine commandLine(List<String> names) {
        CommandLine found = ChivetallyCommand.commandLine();
        for (String name : names) {
            found = found.getSubcommands().get(name);
        }
        return found;
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static void closeAfterRequest(ServerSocket server) {
        try (var connection = server.accept()) {
            connection.getInputStream().read();
        } catch (IOException failure) {
            throw new java.io.UncheckedIOException(failure);
        }
    }

    private static CommandResult run(List<String> arguments) {
        return CommandResult.of(arguments.toArray(String[]::new));
    }

    private static void collect(CommandLine commandLine, List<String> names, List<Arguments> found) {
        found.add(Arguments.of(names));
        commandLine.getSubcommands().forEach((name, child) -> collect(child, appended(names, name), found));
    }

    private static List<String> appended(List<String> names, List<String> more) {
        List<String> all = new ArrayList<>(names);
        all.addAll(more);
        return List.copyOf(all);
    }

    private static List<String> appended(List<String> names, String last) {
        List<String> all = new ArrayList<>(names);
        all.add(last);
        return List.copyOf(all);
    }
}
