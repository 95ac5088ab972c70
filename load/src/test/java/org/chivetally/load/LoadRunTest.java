package org.chivetally.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a run that leaves jobs unchecked or passes despite violated guarantees. */
class LoadRunTest {
    private static final Duration DURATION = Duration.ofSeconds(1);
    private static final PrintStream DISCARDED = new PrintStream(OutputStream.nullOutputStream());

    /** A fake entry that works correctly must not be reported for any violation. */
    @Test
    void everyJobIsCheckedAgainstStartRecords() throws IOException, InterruptedException {
        try (FakeEntry entry = new FakeEntry(1)) {
            LoadReport report = run(entry);
            assertThat(report.jobs(), greaterThan(10));
            assertThat(report.checkResult().passed(), is(true));
            assertThat(report.checkResult().unrecordedAnswers().isEmpty(), is(true));
            assertThat(ReportJson.of(report), containsString("\"duplicateStarts\" : [ ]"));
        }
    }

    /** The fake entry records two starts of each task, which the service does not allow. */
    @Test
    void duplicateStartsFailTheRun() throws IOException, InterruptedException {
        try (FakeEntry entry = new FakeEntry(2)) {
            LoadReport report = run(entry);
            assertThat(report.checkResult().duplicateStarts().size(), greaterThan(0));
            assertThat(report.passed(), is(false));
        }
    }

    private static LoadReport run(FakeEntry entry) throws InterruptedException {
        List<URI> address = List.of(entry.address());
        try (LoadRun run = new LoadRun(LoadPlans.small(3, DURATION, address, address), DISCARDED, RunFiles.NONE)) {
            return run.run();
        }
    }
}
