package org.chivetally.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.aMapWithSize;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItems;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.chivetally.claim.LogClaims;
import org.chivetally.entry.member.MemberRecords;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import tools.jackson.databind.JsonNode;

/** Two entries, two agents and their minions; processes end without a word, and the log can be cut off. */
class KilledProcessesTest {
    private static final String KEY = "k";

    private final EntryFixture fixture = new EntryFixture();
    private final EchoMinion firstMinion = new EchoMinion(fixture.kit.system());
    private final EchoMinion secondMinion = new EchoMinion(fixture.kit.system());
    private final RunningAgent firstAgent =
            new RunningAgent("agent-1", firstMinion, fixture.log, RunningEntry.TICKET_AGE);
    private final RunningAgent secondAgent =
            new RunningAgent("agent-2", secondMinion, fixture.log, RunningEntry.TICKET_AGE);
    private final CutOffLog logOfSecond = new CutOffLog(fixture.log);
    private final RunningEntry first = new RunningEntry("entry-1", fixture.log);
    private final RunningEntry second = new RunningEntry("entry-2", logOfSecond);
    private final List<CompletableFuture<Void>> holds = new ArrayList<>();

    @AfterEach
    void close() {
        release();
        first.kill();
        second.kill();
        firstAgent.kill();
        secondAgent.kill();
        fixture.close();
    }

    // An entry is killed while all slots run tasks of a job and the rest waits, and the caller submits the job again
    // at the other entry. That one takes the claim over once the lease has lapsed, and asks both agents: it waits for
    // what runs, starts what never started, and the caller gets the whole answer. Each task ran once.
    @Test
    void aJobOfAKilledEntryGetsItsWholeAnswerWithOneStartOfEachTask() {
        submitAndHold(40);
        first.kill();
        CompletableFuture<HttpResponse<String>> again = resubmit(40);
        awaitTakenOver();
        release();
        assertThat(again.join().body(), containsString(WholePathTest.answers(40)));
        assertThat(starts(), aMapWithSize(40));
        assertThat(starts().values(), everyItem(is(1)));
    }

    // The entry and one of the two agents are killed at once. What ran at that agent may have been done, so a service
    // that must run once can't go on: the caller hears in time that the outcome is unknown, and of which tasks, among
    // them all that the dead agent had. Nothing starts a second time.
    @Test
    void tasksOfAKilledAgentAreNamedAsUnknown() {
        submitAndHold(10);
        List<Integer> lost = tasksAt(secondMinion);
        first.kill();
        secondAgent.kill();
        HttpResponse<String> answer = resubmit(10).join();
        assertThat(certainty(answer), is("unknown"));
        assertThat(lost.size(), greaterThan(0));
        assertThat(unknownTasks(answer), hasItems(lost.toArray(Integer[]::new)));
        assertThat(starts().values(), everyItem(is(1)));
    }

    // The coordinator is killed and the log goes down before the job is submitted again. Its tasks run, so "not run"
    // would be false; the second entry has read the claim and says that the outcome is unknown.
    @Test
    void aKeyWhoseClaimWasReadIsUnknownWhileTheLogIsDown() {
        submitAndHold(4);
        awaitClaimAtSecond();
        first.kill();
        logOfSecond.cut(LogClaims.STREAM, LogClaims.SNAPSHOT_STREAM, MemberRecords.STREAM);
        HttpResponse<String> answer = resubmitWithin(1_500);
        assertThat(certainty(answer), is("unknown"));
        assertThat(starts(), aMapWithSize(4));
    }

    // As above, but the second entry was cut off before the claim was written. The killed entry, which could tell, is
    // still a member, so that nothing is certain about a key that a caller chose.
    @Test
    void aKeyWhoseClaimWasNotReadIsUnknownWhileItsEntryCanNotBeAsked() {
        fixture.awaitReady(second.server());
        logOfSecond.cut(LogClaims.STREAM, LogClaims.SNAPSHOT_STREAM, MemberRecords.STREAM);
        submitAndHold(4);
        first.kill();
        HttpResponse<String> answer = resubmitWithin(1_500);
        assertThat(certainty(answer), is("unknown"));
        assertThat(answer.body(), not(containsString("not-run")));
    }

    private void submitAndHold(int tasks) {
        fixture.awaitReady(first.server());
        fixture.awaitReady(second.server());
        holds.add(firstMinion.hold());
        holds.add(secondMinion.hold());
        fixture.submitting(first.server(), KEY, WholePathTest.job(tasks));
        int running = Math.min(tasks, 2 * RunningAgent.SLOTS);
        while (starts().size() < running) {
            Thread.onSpinWait();
        }
    }

    private CompletableFuture<HttpResponse<String>> resubmit(int tasks) {
        return fixture.submitting(second.server(), KEY, WholePathTest.job(tasks));
    }

    private HttpResponse<String> resubmitWithin(int deadlineMillis) {
        String body = WholePathTest.job(4).replaceFirst("\\{", "{\"deadlineMillis\":" + deadlineMillis + ",");
        return fixture.submit(second.server(), KEY, body);
    }

    private void awaitTakenOver() {
        while (!fixture.get(second.server(), "/v1/jobs").body().contains("\"generation\":2")) {
            Thread.onSpinWait();
        }
    }

    private void awaitClaimAtSecond() {
        String job = starts().keySet().iterator().next().split("/")[0];
        while (fixture.get(second.server(), "/v1/jobs/" + job).statusCode() == 404) {
            Thread.onSpinWait();
        }
    }

    private void release() {
        holds.forEach(hold -> hold.complete(null));
    }

    private Map<String, Integer> starts() {
        Map<String, Integer> all = new HashMap<>(firstMinion.starts());
        secondMinion.starts().forEach((task, count) -> all.merge(task, count, Integer::sum));
        return all;
    }

    private static List<Integer> tasksAt(EchoMinion minion) {
        return minion.starts().keySet().stream()
                .map(task -> Integer.valueOf(task.substring(task.indexOf('/') + 1)))
                .toList();
    }

    private static String certainty(HttpResponse<String> response) {
        return EntryFixture.json(response).path("certainty").asString("");
    }

    private static List<Integer> unknownTasks(HttpResponse<String> response) {
        List<Integer> tasks = new ArrayList<>();
        for (JsonNode task : EntryFixture.json(response).path("unknownTasks")) {
            tasks.add(task.asInt());
        }
        return tasks;
    }
}
