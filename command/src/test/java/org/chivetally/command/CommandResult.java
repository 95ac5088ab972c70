package org.chivetally.command;

import java.io.PrintWriter;
import java.io.StringWriter;
import picocli.CommandLine;

/** Exit code and output of one run of the command line. */
record CommandResult(int code, String out, String error) {
    static CommandResult of(String... arguments) {
        StringWriter out = new StringWriter();
        StringWriter error = new StringWriter();
        CommandLine commandLine = ChivetallyCommand.commandLine();
        commandLine.setOut(new PrintWriter(out));
        commandLine.setErr(new PrintWriter(error));
        int code = commandLine.execute(arguments);
        return new CommandResult(code, out.toString(), error.toString());
    }
}
