import java.nio.file.Path;
import java.util.List;

/** LOST: a job is shown as failed after its minions were cut off, though no run has ended so and no minion has crashed. */
final class CutTakenForCrash {
    private static final int MINIONS = 6;
    private static final int CUTS = 3;

    /** Length of a cut, as in the site's list of troubles. */
    private static final long CUT_MILLIS = 5_500;

    private static final long PAUSE_MILLIS = 500;
    private static final long TASK_MILLIS = 14_000;
    private static final long START_TIMEOUT_MILLIS = 10_000;
    private static final long RUNS_BEFORE_CUT_MILLIS = 1_000;

    private CutTakenForCrash() {}

    public static void main(String[] arguments) throws Exception {
        TrialCase.run(Path.of(arguments[0]), (record, trouble) -> {
            try (TrialDeployment deployment = new TrialDeployment(record, 3, MINIONS, 8_000)) {
                deployment.start();
                return play(deployment, record, trouble);
            }
        });
    }

    private static boolean play(TrialDeployment deployment, TrialRecord record, boolean trouble) throws Exception {
        String job = TrialCase.jobId();
        String path = TrialDeployment.PREFIX + job;
        TrialClient client = deployment.client(0);
        TrialClient.Answer accepted = TrialCase.submit(client, path, TrialCase.single(1, 500, TASK_MILLIS));
        if (accepted.status() != 200) {
            throw new TrialCase.NotRun("not accepted: " + accepted);
        }
        for (int cut = 1; trouble && cut <= CUTS; cut++) {
            TrialRecord.Event start = awaitStart(record, job, cut);
            if (start == null) {
                break;
            }
            TrialCase.await(record, start.atMillis() + RUNS_BEFORE_CUT_MILLIS);
            String life = start.details().split(" ")[3];
            int number = Integer.parseInt(life.split("-")[1]);
            deployment.minions.get(number - 1).cutOff(CUT_MILLIS);
            TrialCase.await(record, record.nowMillis() + CUT_MILLIS + PAUSE_MILLIS);
        }
        String state = "";
        long until = record.nowMillis() + TASK_MILLIS + START_TIMEOUT_MILLIS;
        while (record.nowMillis() < until && !state.contains("completed") && !state.contains("failed")) {
            state = client.call("GET", path, "", 1_500).body();
            TrialServer.sleep(500);
        }
        boolean endedFailed =
                record.of("end", job).stream().anyMatch(end -> end.details().contains(" failed "));
        List<TrialRecord.Event> crashes = record.of("minion-crash", "");
        boolean broken = state.contains("failed") && !endedFailed && crashes.isEmpty();
        if (broken) {
            record.add("violation", path, "shown as failed; no run has ended so, and no minion has crashed");
        }
        return !broken;
    }

    /** Waits for the start of the given number of the job's only task; returns null if there is none in time. */
    private static TrialRecord.Event awaitStart(TrialRecord record, String job, int number) {
        long until = record.nowMillis() + START_TIMEOUT_MILLIS;
        while (record.nowMillis() < until) {
            List<TrialRecord.Event> starts = record.of("start", job);
            if (starts.size() >= number) {
                return starts.get(number - 1);
            }
            TrialServer.sleep(20);
        }
        return null;
    }
}
