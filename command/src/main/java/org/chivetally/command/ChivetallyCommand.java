package org.chivetally.command;

import java.io.PrintWriter;
import org.chivetally.errors.ChivetallyException;
import org.chivetally.logging.NonResettingLogManager;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.ScopeType;
import picocli.CommandLine.Spec;

/** Root command of the command line and entry point of the process. */
@Command(
        name = "chivetally",
        description = "Dispatcher for sub-second tasks.",
        version = "chivetally 0.1.0",
        scope = ScopeType.INHERIT,
        mixinStandardHelpOptions = true,
        sortOptions = false,
        usageHelpAutoWidth = true,
        exitCodeOnInvalidInput = ExitCodes.INVALID_INPUT,
        exitCodeOnExecutionException = ExitCodes.INTERNAL,
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            ExitCodes.OK + ":done",
            ExitCodes.FAILED + ":the job failed, the name is not known, or diff found differences",
            ExitCodes.INVALID_INPUT + ":the command line, a settings file or a document is malformed",
            ExitCodes.CONFLICT + ":another write came first, or the key belongs to another submission",
            ExitCodes.UNAVAILABLE + ":no entry answered, or it refused temporarily; nothing was done",
            ExitCodes.OUTCOME_UNKNOWN + ":the request may have taken effect; its outcome is not known",
            ExitCodes.INTERNAL + ":an internal error of chivetally"
        },
        subcommands = {
            EntryCommand.class,
            AgentCommand.class,
            StandaloneCommand.class,
            ApplyCommand.class,
            DiffCommand.class,
            GetCommand.class,
            DescribeCommand.class,
            WatchCommand.class,
            DeleteCommand.class,
            SubmitCommand.class,
            JobsCommand.class,
            CancelCommand.class,
            ExplainCommand.class,
            LossesCommand.class,
            ConfigurationCommand.class,
            StandInCommand.class,
            LayoutCommand.class,
            LoadCommand.class,
            ExperimentCommand.class
        })
public final class ChivetallyCommand implements Runnable {
    @Spec
    private CommandSpec command;

    /** Runs one command and ends the process with its exit code. */
    public static void main(String[] arguments) {
        System.setProperty(NonResettingLogManager.PROPERTY, NonResettingLogManager.class.getName());
        CommandLine commandLine = commandLine();
        System.exit(commandLine.execute(arguments));
    }

    /** Returns the command line, which writes to the standard output and standard error of the process by default. */
    public static CommandLine commandLine() {
        CommandLine commandLine = new CommandLine(new ChivetallyCommand());
        commandLine.setCaseInsensitiveEnumValuesAllowed(true);
        commandLine.setExecutionExceptionHandler((failure, failed, parsed) -> report(failure, failed));
        return commandLine;
    }

    @Override
    public void run() {
        throw new ParameterException(command.commandLine(), "Name a subcommand.");
    }

    // Threads of Pekko and Netty keep running after a daemon fails to start; System.exit in main ends the process.
    private static int report(Exception failure, CommandLine failed) {
        PrintWriter error = failed.getErr();
        if (failure instanceof ChivetallyException known) {
            error.println("error: " + known.code().text() + ": " + known.getMessage());
            error.flush();
            return ExitCodes.of(known.code());
        }
        failure.printStackTrace(error);
        error.flush();
        return ExitCodes.INTERNAL;
    }
}
