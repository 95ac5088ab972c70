import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An entry or agent, started with the command of the deploy file. Signals go only to the process started here. */
final class TrialProcess implements AutoCloseable {
    private final String name;
    private final List<String> command;
    private final Path settings;
    private final Path log;
    private Process process;

    TrialProcess(String name, String role, Path folder, String settingsText) throws IOException {
        this.name = name;
        this.command = command(role);
        this.settings = folder.resolve(name + ".yaml");
        this.log = folder.resolve(name + ".log");
        Files.writeString(settings, settingsText);
    }

    private static List<String> command(String role) throws IOException {
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        Matcher matcher = Pattern.compile("\\[roles\\." + role + "\\]\\s*run = \"([^\"]*)\"").matcher(deploy);
        if (!matcher.find()) {
            throw new IOException("the deploy file has no role " + role);
        }
        return List.of(matcher.group(1).split(" "));
    }

    String name() {
        return name;
    }

    List<String> logLines() throws IOException {
        return Files.readAllLines(log);
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("CHIVETALLY_SETTINGS", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
    }

    void kill() {
        process.destroyForcibly();
        awaitExit();
    }

    /** Stands still until {@link #resume}. */
    void freeze() throws IOException {
        signal("STOP");
    }

    void resume() throws IOException {
        signal("CONT");
    }

    private void signal(String signal) throws IOException {
        Process sender = new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start();
        try {
            sender.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitExit() {
        try {
            process.waitFor(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        if (process != null && process.isAlive()) {
            kill();
        }
    }
}
