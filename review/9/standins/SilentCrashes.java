import java.nio.file.Path;
import java.util.List;

/** BUDGET: a task whose minions fall silent when they crash is started again and again. */
final class SilentCrashes {
    private static final long DOWN_MILLIS = 4_000;
    private static final long WATCH_MILLIS = 50_000;
    private static final int CRASHES = 3;
    private static final int STARTS_AFTER = 3;

    private SilentCrashes() {}

    public static void main(String[] arguments) throws Exception {
        TrialCase.run(Path.of(arguments[0]), (record, trouble) -> {
            try (TrialDeployment deployment = new TrialDeployment(record, 3, 4, 8_000)) {
                boolean silent = !"refuse".equals(System.getenv("CRASH"));
                deployment.minions.forEach(minion -> minion.onCrash(DOWN_MILLIS, silent));
                deployment.start();
                return play(deployment, record, trouble);
            }
        });
    }

    private static boolean play(TrialDeployment deployment, TrialRecord record, boolean trouble) throws Exception {
        String job = TrialCase.jobId();
        var body = TrialServer.object().put("spec", trouble ? "crash 200" : "200");
        body.putArray("steps").addObject().put("count", 1).put("cpu", 500).put("mem_mb", 64).put("estimated_ms", 200);
        TrialClient client = deployment.client(0);
        TrialClient.Answer answer = TrialCase.submit(client, TrialDeployment.PREFIX + job, body);
        if (answer.status() != 200) {
            throw new TrialCase.NotRun("not accepted: " + answer);
        }
        long until = record.nowMillis() + WATCH_MILLIS;
        String state = "";
        while (record.nowMillis() < until && !state.contains("completed") && !state.contains("failed")) {
            TrialServer.sleep(1_000);
            state = client.call("GET", TrialDeployment.PREFIX + job, "", 1_500).body();
        }
        List<TrialRecord.Event> crashes = record.of("minion-crash", "");
        if (crashes.size() < CRASHES) {
            return !trouble;
        }
        long thirdCrash = crashes.get(CRASHES - 1).atMillis();
        long startsAfter = record.of("start", job).stream()
                .filter(start -> start.atMillis() > thirdCrash)
                .count();
        record.add("counted", job, startsAfter + " starts after the third crash, " + crashes.size() + " crashes");
        return startsAfter < STARTS_AFTER;
    }
}
