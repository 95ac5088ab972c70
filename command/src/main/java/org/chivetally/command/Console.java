package org.chivetally.command;

import java.io.PrintWriter;
import java.util.List;
import org.chivetally.command.client.EntryReply;
import org.chivetally.command.client.Problem;
import org.chivetally.command.output.DocumentText;
import org.chivetally.command.output.OutputFormat;
import picocli.CommandLine.Model.CommandSpec;
import tools.jackson.databind.JsonNode;

/** Standard output and standard error of one command. */
record Console(PrintWriter out, PrintWriter error) {
    static Console of(CommandSpec command) {
        return new Console(command.commandLine().getOut(), command.commandLine().getErr());
    }

    void line(String text) {
        out.println(text);
        out.flush();
    }

    void lines(List<String> texts) {
        texts.forEach(out::println);
        out.flush();
    }

    void document(JsonNode tree, OutputFormat format) {
        lines(DocumentText.lines(tree, format));
    }

    void errorLine(String text) {
        error.println(text);
        error.flush();
    }

    /** Writes the problem of a failed request to standard error and returns the corresponding exit code. */
    int reportFailure(EntryReply reply) {
        Problem problem = Problem.of(reply);
        errorLine("error: " + problem.line());
        return exitCode(problem);
    }

    private static int exitCode(Problem problem) {
        return problem.isOutcomeUnknown() ? ExitCodes.OUTCOME_UNKNOWN : ExitCodes.of(problem.code());
    }
}
