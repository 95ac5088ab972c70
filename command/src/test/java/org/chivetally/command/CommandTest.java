package org.chivetally.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import picocli.CommandLine;

class CommandTest {
    private final StringWriter out = new StringWriter();
    private final StringWriter error = new StringWriter();

    static Stream<Arguments> everyCommand() {
        List<Arguments> found = new ArrayList<>();
        collect(ChivetallyCommand.commandLine(), List.of(), found);
        return found.stream();
    }

    @ParameterizedTest
    @MethodSource("everyCommand")
    void everyCommandHasHelpWithExitCodes(List<String> names) {
        assertThat(run(with(names, "--help")), is(ExitCodes.OK));
        assertThat(out.toString(), containsString(String.join(" ", names)));
        assertThat(out.toString(), containsString("5    the request may have taken effect"));
    }

    @ParameterizedTest
    @MethodSource("everyCommand")
    void everyCommandRefusesAnUnknownOption(List<String> names) {
        assertThat(run(with(names, "--no-such-option")), is(ExitCodes.INVALID_INPUT));
        assertThat(error.toString(), not(containsString("Exception")));
    }

    @Test
    void aNameWithoutSubcommandIsRefused() {
        assertThat(run(List.of()), is(ExitCodes.INVALID_INPUT));
    }

    /**
     * The operator sees exit code 4, "nothing was done". The port was free a moment ago and nobody listens, so the
     * connection is refused before anything is sent.
     */
    @Test
    void anEntryThatIsNotThereIsUnavailable() throws IOException {
        int port;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = socket.getLocalPort();
        }
        assertThat(run(List.of("get", "services", "--entry", "http://127.0.0.1:" + port)), is(ExitCodes.UNAVAILABLE));
        assertThat(error.toString(), containsString("not-ready: no entry answers"));
    }

    /**
     * The operator sees exit code 5 and the key to submit again with. The far end accepts the connection and the
     * request, then closes without an answer: the job may have been accepted before that.
     */
    @Test
    void aLostAnswerToASubmissionIsUnknown() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread server = Thread.ofVirtual().start(() -> closeAfterRequest(socket));
            List<String> arguments = List.of(
                    "submit",
                    "../examples/job-small.yaml",
                    "--key",
                    "key-1",
                    "--entry",
                    "http://127.0.0.1:" + socket.getLocalPort());
            assertThat(run(arguments), is(ExitCodes.OUTCOME_UNKNOWN));
            server.join();
        }
        assertThat(error.toString(), containsString("submit again with --key key-1"));
    }

    @Test
    void aFileThatIsNotThereIsInvalidInput() {
        assertThat(run(List.of("submit", "no-such-file.yaml")), is(ExitCodes.INVALID_INPUT));
    }

    private static void closeAfterRequest(ServerSocket server) {
        try (var connection = server.accept()) {
            connection.getInputStream().read();
        } catch (IOException broken) {
            throw new java.io.UncheckedIOException(broken);
        }
    }

    private int run(List<String> arguments) {
        CommandLine commandLine = ChivetallyCommand.commandLine();
        commandLine.setOut(new PrintWriter(out));
        commandLine.setErr(new PrintWriter(error));
        return commandLine.execute(arguments.toArray(String[]::new));
    }

    private static void collect(CommandLine commandLine, List<String> names, List<Arguments> found) {
        found.add(Arguments.of(names));
        commandLine.getSubcommands().forEach((name, child) -> collect(child, with(names, name), found));
    }

    private static List<String> with(List<String> names, String last) {
        List<String> longer = new ArrayList<>(names);
        longer.add(last);
        return List.copyOf(longer);
    }
}
