package org.chivetally.coordination;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.chivetally.job.JobId;
import org.chivetally.job.JobOutcome;
import org.chivetally.job.ServicePolicy;
import org.chivetally.wire.v1.Start;
import org.chivetally.wire.v1.TaskState;
import org.chivetally.wire.v1.TaskStatus;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.json.JsonMapper;

/** Replays traces of events and compares with the outcomes they state. */
class TraceReplayTest {
    private static final JsonMapper JSON = JsonMapper.builder().build();

    private final DispatcherDriver driver = new DispatcherDriver();
    private long at;

    @ParameterizedTest
    @ValueSource(strings = {"lost-answer", "paused-coordinator", "crash-and-takeover"})
    void endsAsStated(String name) throws IOException {
        for (String line : lines("traces/" + name + ".jsonl")) {
            JsonNode step = JSON.readTree(line);
            driver.advance(Duration.ofMillis(step.get("at").asLong() - at));
            at = step.get("at").asLong();
            if (step.has("event")) {
                take(step);
            } else {
                expect(line, step);
            }
        }
    }

    private void take(JsonNode step) {
        switch (text(step, "event")) {
            case "connect" ->
                driver.connect(text(step, "agent"), step.get("slots").asInt());
            case "heartbeat" -> driver.heartbeat(agent(step), step.get("free").asInt());
            case "unreachable" -> driver.unreachable(agent(step));
            case "gone" -> driver.handle(new DispatchEvent.AgentGone(agent(step)));
            case "lease" ->
                driver.handle(new DispatchEvent.LeaseChanged(step.get("held").asBoolean()));
            case "submit" -> submit(step);
            case "claim" -> driver.claim(job(step), step.get("generation").asInt());
            case "takenOver" -> driver.handle(new DispatchEvent.JobTakenOver(job(step)));
            case "result" -> result(step);
            case "answer" -> answer(step);
            default -> throw new AssertionError("unknown event in " + step);
        }
    }

    private void expect(String line, JsonNode step) {
        switch (text(step, "expect")) {
            case "starts" ->
                assertThat(
                        line,
                        driver.starts.stream().map(Start::getAttemptId).toList(),
                        equalTo(texts(step.get("attempts"))));
            case "wastes" ->
                assertThat(line, driver.wastes.stream().map(Enum::name).toList(), equalTo(texts(step.get("kinds"))));
            case "complete" ->
                assertThat(
                        line,
                        driver.outcomes.get(job(step)),
                        equalTo(new JobOutcome.Complete(texts(step.get("answers")))));
            case "failure" -> {
                JobOutcome.Failure failure = driver.failure(job(step));
                assertThat(line, failure.code().text(), equalTo(text(step, "code")));
                assertThat(line, failure.certainty().text(), equalTo(text(step, "certainty")));
                List<Integer> unknown = new ArrayList<>();
                step.get("unknown").forEach(task -> unknown.add(task.asInt()));
                assertThat(line, failure.unknownTasks(), equalTo(unknown));
            }
            default -> throw new AssertionError("unknown expectation in " + step);
        }
    }

    private void submit(JsonNode step) {
        ServicePolicy policy =
                step.get("idempotent").asBoolean() ? DispatcherDriver.repeatable() : DispatcherDriver.once();
        Duration deadline = Duration.ofMillis(step.get("deadline").asLong());
        driver.submit(
                text(step, "job"), DispatcherDriver.tasks(step.get("tasks").asInt(), deadline), policy);
    }

    private void result(JsonNode step) {
        String attempt = text(step, "attempt");
        Start start = driver.starts.stream()
                .filter(one -> one.getAttemptId().equals(attempt))
                .findFirst()
                .orElseThrow();
        driver.result(start, TaskStatus.valueOf(text(step, "status")), text(step, "body"));
    }

    private void answer(JsonNode step) {
        List<TaskState> states = new ArrayList<>();
        for (JsonNode task : step.get("tasks")) {
            TaskStatus status = TaskStatus.valueOf(text(task, "status"));
            states.add(DispatcherDriver.state(
                    text(task, "attempt"), task.get("task").asInt(), status, text(task, "body")));
        }
        DispatchEffect.SendFrame inquiry = driver.inquiries.reversed().stream()
                .filter(sent -> sent.agent().equals(agent(step)))
                .findFirst()
                .orElseThrow();
        driver.answer(inquiry, states.toArray(TaskState[]::new));
    }

    private static AgentId agent(JsonNode step) {
        return new AgentId(text(step, "agent"), "1");
    }

    private static JobId job(JsonNode step) {
        return new JobId(text(step, "job"));
    }

    private static String text(JsonNode step, String name) {
        return step.get(name).asString();
    }

    private static List<String> texts(JsonNode list) {
        List<String> texts = new ArrayList<>();
        list.forEach(one -> texts.add(one.asString()));
        return texts;
    }

    private static List<String> lines(String resource) throws IOException {
        try (InputStream input = TraceReplayTest.class.getResourceAsStream(resource)) {
            return new String(input.readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .toList();
        }
    }
}
