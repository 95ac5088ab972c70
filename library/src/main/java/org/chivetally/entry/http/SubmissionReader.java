package org.chivetally.entry.http;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.chivetally.claim.SubmissionKey;
import org.chivetally.entry.submission.RawJson;
import org.chivetally.entry.submission.Submission;
import org.chivetally.job.JobSpecification;
import org.chivetally.job.Resources;
import org.chivetally.job.ServicePolicies;
import org.chivetally.job.TaskSpecification;
import tools.jackson.core.JacksonException;
import tools.jackson.core.JsonParser;
import tools.jackson.core.JsonToken;
import tools.jackson.core.TokenStreamLocation;

/** Parses a submission and collects all validation errors in it. An instance reads one request only. */
final class SubmissionReader {
    /** Team of a submission that specifies none. */
    static final String DEFAULT_TEAM = "default";

    private static final int MAXIMUM_NAME_LENGTH = 200;
    private static final long MAXIMUM_DEADLINE_MILLIS = Duration.ofHours(1).toMillis();
    private static final int MAXIMUM_PROCESSORS = 100_000;
    private static final int MAXIMUM_ACCELERATORS = 100_000;
    private static final BigDecimal MILLIS_PER_PROCESSOR = BigDecimal.valueOf(1_000);

    private final ServicePolicies policies;
    private final Supplier<String> newKey;
    private final List<InputMistake> mistakes = new ArrayList<>();
    private final Map<String, String> names = new HashMap<>();
    private final List<Task> tasks = new ArrayList<>();
    private Optional<Duration> deadline = Optional.empty();
    private boolean hasTasks;
    private boolean singleTask;

    SubmissionReader(ServicePolicies policies, Supplier<String> newKey) {
        this.policies = policies;
        this.newKey = newKey;
    }

    /** Reads a job with any number of tasks. */
    Result readJob(String body, Optional<String> key) {
        try (JsonParser parser = RawJson.parser(body)) {
            readDocument(parser, body);
        } catch (JacksonException malformed) {
            mistakes.clear();
            mistakes.add(mistakeOf(malformed));
            return new Result(Optional.empty(), mistakes);
        }
        requireName("service");
        if (!hasTasks) {
            reject("tasks", "is missing: a list of 1 to " + JobSpecification.MAXIMUM_TASKS + " tasks");
        }
        return finish(key);
    }

    /** Reads a job of one task whose payload is the whole body. */
    Result readSingle(
            String service, String body, Optional<String> team, Optional<String> deadlineMillis, Optional<String> key) {
        singleTask = true;
        names.put("service", service);
        requireName("service");
        team.ifPresent(name -> names.put("team", name));
        deadlineMillis.ifPresent(this::readDeadlineText);
        try (JsonParser parser = RawJson.parser(body)) {
            parser.nextToken();
            tasks.add(new Task(RawJson.slice(parser, body), Optional.empty()));
            if (parser.nextToken() != null) {
                reject(InputMistake.BODY, "one JSON value is needed, and more follows it");
            }
        } catch (JacksonException malformed) {
            mistakes.add(mistakeOf(malformed));
        }
        return finish(key);
    }

    private Result finish(Optional<String> key) {
        key.ifPresent(this::checkKey);
        checkName("team");
        if (!mistakes.isEmpty()) {
            return new Result(Optional.empty(), mistakes);
        }
        String service = names.get("service");
        String team = names.getOrDefault("team", DEFAULT_TEAM);
        Resources defaultResources = policies.service(service).resources();
        List<TaskSpecification> taskSpecifications = tasks.stream()
                .map(task ->
                        new TaskSpecification(task.payload(), task.resources().orElse(defaultResources)))
                .toList();
        Duration effectiveDeadline =
                deadline.orElseGet(() -> policies.service(service).defaultDeadline());
        JobSpecification specification = new JobSpecification(service, team, effectiveDeadline, taskSpecifications);
        SubmissionKey submissionKey = new SubmissionKey(team, key.orElseGet(newKey));
        Optional<Submission> submission = digest(service, team)
                .map(digest -> new Submission(submissionKey, key.isEmpty(), digest, specification));
        return new Result(submission, mistakes);
    }

    private Optional<String> digest(String service, String team) {
        ContentDigest digest = new ContentDigest(service, team);
        for (int position = 0; position < tasks.size(); position++) {
            if (!digest.add(tasks.get(position))) {
                String place = singleTask ? InputMistake.BODY : "tasks[" + position + "].payload";
                reject(place, "holds a number that is out of range");
                return Optional.empty();
            }
        }
        return Optional.of(digest.text());
    }

    private void readDocument(JsonParser parser, String body) {
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            reject(InputMistake.BODY, "an object is needed");
            return;
        }
        while (parser.nextToken() == JsonToken.PROPERTY_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            switch (name) {
                case "service", "team" -> readName(parser, name);
                case "deadlineMillis" -> readDeadline(parser);
                case "tasks" -> readTasks(parser, body);
                default -> rejectUnknown(parser, name, "service, team, deadlineMillis, tasks");
            }
        }
        if (parser.nextToken() != null) {
            reject(InputMistake.BODY, "one JSON object is needed, and more follows it");
        }
    }

    private void readName(JsonParser parser, String name) {
        if (parser.currentToken() != JsonToken.VALUE_STRING) {
            reject(name, "must be a text");
            names.put(name, "invalid");
            parser.skipChildren();
            return;
        }
        names.put(name, parser.getString());
    }

    private void readDeadline(JsonParser parser) {
        readWholeNumber(parser, "deadlineMillis", 1, MAXIMUM_DEADLINE_MILLIS)
                .ifPresent(millis -> deadline = Optional.of(Duration.ofMillis(millis)));
    }

    private void readDeadlineText(String text) {
        String rule = "must be a whole number from 1 to " + MAXIMUM_DEADLINE_MILLIS;
        try {
            long millis = Long.parseLong(text);
            if (millis >= 1 && millis <= MAXIMUM_DEADLINE_MILLIS) {
                deadline = Optional.of(Duration.ofMillis(millis));
                return;
            }
            reject("deadlineMillis", rule);
        } catch (NumberFormatException notWhole) {
            reject("deadlineMillis", rule);
        }
    }

    private void readTasks(JsonParser parser, String body) {
        hasTasks = true;
        if (parser.currentToken() != JsonToken.START_ARRAY) {
            reject("tasks", "must be a list");
            parser.skipChildren();
            return;
        }
        int count = 0;
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            readTask(parser, body, "tasks[" + count + "]");
            count++;
        }
        if (count < 1 || count > JobSpecification.MAXIMUM_TASKS) {
            reject("tasks", "a job has 1 to " + JobSpecification.MAXIMUM_TASKS + " tasks, not " + count);
        }
    }

    private void readTask(JsonParser parser, String body, String place) {
        if (parser.currentToken() != JsonToken.START_OBJECT) {
            reject(place, "must be an object with a payload");
            parser.skipChildren();
            return;
        }
        String payload = null;
        Optional<Long> processorMillis = Optional.empty();
        Optional<Long> memoryBytes = Optional.empty();
        Optional<Long> accelerators = Optional.empty();
        while (parser.nextToken() == JsonToken.PROPERTY_NAME) {
            String name = parser.currentName();
            String memberPlace = place + "." + name;
            parser.nextToken();
            switch (name) {
                case "payload" -> payload = RawJson.slice(parser, body);
                case "processors" -> processorMillis = readProcessors(parser, memberPlace);
                case "memoryBytes" -> memoryBytes = readWholeNumber(parser, memberPlace, 0, Long.MAX_VALUE);
                case "accelerators" -> accelerators = readWholeNumber(parser, memberPlace, 0, MAXIMUM_ACCELERATORS);
                default -> rejectUnknown(parser, memberPlace, "payload, processors, memoryBytes, accelerators");
            }
        }
        if (payload == null) {
            reject(place + ".payload", "is missing");
            return;
        }
        boolean declared = processorMillis.isPresent() || memoryBytes.isPresent() || accelerators.isPresent();
        Resources resources = new Resources(
                processorMillis.orElse(0L),
                memoryBytes.orElse(0L),
                accelerators.orElse(0L).intValue());
        tasks.add(new Task(payload, declared ? Optional.of(resources) : Optional.empty()));
    }

    private Optional<Long> readProcessors(JsonParser parser, String place) {
        String rule = "must be a number from 0 to " + MAXIMUM_PROCESSORS;
        if (!parser.currentToken().isNumeric()) {
            reject(place, rule);
            parser.skipChildren();
            return Optional.empty();
        }
        Optional<BigDecimal> value = readDecimal(parser)
                .filter(number -> number.signum() >= 0)
                .filter(number -> number.compareTo(BigDecimal.valueOf(MAXIMUM_PROCESSORS)) <= 0);
        if (value.isEmpty()) {
            reject(place, rule);
        }
        return value.map(number -> number.multiply(MILLIS_PER_PROCESSOR).longValue());
    }

    // A number whose exponent exceeds the range of BigDecimal is well-formed JSON. The parser reports it with a
    // NumberFormatException instead of a JacksonException.
    private static Optional<BigDecimal> readDecimal(JsonParser parser) {
        try {
            return Optional.of(parser.getDecimalValue());
        } catch (NumberFormatException outOfRange) {
            return Optional.empty();
        }
    }

    private Optional<Long> readWholeNumber(JsonParser parser, String place, long minimum, long maximum) {
        String rule = "must be a whole number from " + minimum + " to " + maximum;
        boolean number = parser.currentToken() == JsonToken.VALUE_NUMBER_INT;
        if (!number || parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
            reject(place, rule);
            parser.skipChildren();
            return Optional.empty();
        }
        long value = parser.getLongValue();
        if (value < minimum || value > maximum) {
            reject(place, rule);
            return Optional.empty();
        }
        return Optional.of(value);
    }

    private void requireName(String name) {
        if (!names.containsKey(name)) {
            reject(name, "is missing");
            return;
        }
        checkName(name);
    }

    private void checkName(String name) {
        String value = names.get(name);
        if (value == null) {
            return;
        }
        boolean unprintable = value.chars().anyMatch(Character::isISOControl);
        if (value.isBlank() || value.length() > MAXIMUM_NAME_LENGTH || unprintable) {
            reject(name, "must be 1 to " + MAXIMUM_NAME_LENGTH + " printable characters");
        }
    }

    private void checkKey(String key) {
        boolean unprintable = key.chars().anyMatch(character -> character <= ' ' || character > '~');
        if (key.isEmpty() || key.length() > MAXIMUM_NAME_LENGTH || unprintable) {
            reject("Idempotency-Key", "must be 1 to " + MAXIMUM_NAME_LENGTH + " visible ASCII characters");
        }
    }

    private void rejectUnknown(JsonParser parser, String place, String allowed) {
        reject(place, "is not known; allowed are " + allowed);
        parser.skipChildren();
    }

    private void reject(String place, String message) {
        mistakes.add(new InputMistake(place, message));
    }

    /** Formats a position in the text of a body; line and column are counted from one. */
    static String place(int line, int column) {
        return "line " + line + ", column " + column;
    }

    private static InputMistake mistakeOf(JacksonException malformed) {
        TokenStreamLocation location = malformed.getLocation();
        String place = location == null ? InputMistake.BODY : place(location.getLineNr(), location.getColumnNr());
        return new InputMistake(place, "malformed JSON: " + malformed.getOriginalMessage());
    }

    /** A valid submission, or the validation errors of an invalid one. */
    record Result(Optional<Submission> submission, List<InputMistake> mistakes) {
        Result {
            mistakes = List.copyOf(mistakes);
        }
    }

    /** A task as submitted; the resources are empty if the task declares none. */
    record Task(String payload, Optional<Resources> resources) {}
}
