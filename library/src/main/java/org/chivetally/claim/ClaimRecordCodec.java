package org.chivetally.claim;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import org.chivetally.job.JobId;
import tools.jackson.core.JacksonException;
import tools.jackson.core.JsonGenerator;
import tools.jackson.core.JsonParser;
import tools.jackson.core.JsonToken;
import tools.jackson.core.ObjectReadContext;
import tools.jackson.core.ObjectWriteContext;
import tools.jackson.core.json.JsonFactory;

/** Encodes and decodes records of the claims stream as flat JSON objects. */
final class ClaimRecordCodec {
    /** Format version of all records except those of {@link #TAKEOVER_FORMAT}. */
    static final int FORMAT = 1;

    /** Format version of takeovers that carry the last renewal read; older takeovers have version 1. */
    static final int TAKEOVER_FORMAT = 2;

    private static final JsonFactory JSON = new JsonFactory();
    private static final int INITIAL_BUFFER_BYTES = 400;
    private static final String TAKEOVER = "takeover";

    private ClaimRecordCodec() {}

    /**
     * Encodes a record.
     *
     * @param timestamped the record and its stream time
     * @param written wall-clock time of writing, for operators only
     */
    static byte[] encode(TimestampedRecord timestamped, Instant written) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
        try (JsonGenerator json = JSON.createGenerator(ObjectWriteContext.empty(), bytes)) {
            json.writeStartObject();
            json.writeNumberProperty("format", formatOf(timestamped.content()));
            json.writeStringProperty("type", typeOf(timestamped.content()));
            json.writeNumberProperty("time", timestamped.streamMillis());
            json.writeStringProperty("written", written.toString());
            writeContent(json, timestamped.content());
            json.writeEndObject();
        }
        return bytes.toByteArray();
    }

    /**
     * Decodes a record. A record that can't be decoded is returned as {@link DecodedRecord.Skipped} instead of an
     * exception, so that one malformed record doesn't stop all readers.
     */
    static DecodedRecord decode(byte[] payload) {
        try {
            return decodeFields(readFields(payload));
        } catch (JacksonException | IllegalArgumentException | NullPointerException exception) {
            return new DecodedRecord.Skipped(
                    "malformed: " + exception.getClass().getSimpleName());
        }
    }

    private static int formatOf(ClaimRecord content) {
        boolean hasRenewal = content instanceof ClaimRecord.TakenOver taken && taken.specifiesRenewal();
        return hasRenewal ? TAKEOVER_FORMAT : FORMAT;
    }

    private static String typeOf(ClaimRecord content) {
        return switch (content) {
            case ClaimRecord.Claimed ignored -> "claim";
            case ClaimRecord.TakenOver ignored -> TAKEOVER;
            case ClaimRecord.Renewed ignored -> "renewal";
            case ClaimRecord.Departed ignored -> "departed";
            case ClaimRecord.Finished ignored -> "finished";
            case ClaimRecord.Released ignored -> "released";
        };
    }

    private static void writeContent(JsonGenerator json, ClaimRecord content) {
        switch (content) {
            case ClaimRecord.Claimed claimed -> {
                writeJob(json, claimed.key(), claimed.job());
                json.writeStringProperty("digest", claimed.bodyDigest());
                json.writeNumberProperty("window", claimed.window().toMillis());
                writeCoordinator(json, claimed.coordinator());
            }
            case ClaimRecord.TakenOver taken -> {
                writeJob(json, taken.key(), taken.job());
                json.writeNumberProperty("generation", taken.generation());
                if (taken.specifiesRenewal()) {
                    json.writeNumberProperty("lastRenewal", taken.lastRenewal());
                }
                writeCoordinator(json, taken.coordinator());
            }
            case ClaimRecord.Renewed renewed -> {
                json.writeNumberProperty("lease", renewed.lease().toMillis());
                writeCoordinator(json, renewed.coordinator());
            }
            case ClaimRecord.Departed departed -> writeCoordinator(json, departed.coordinator());
            case ClaimRecord.Finished finished -> writeJob(json, finished.key(), finished.job());
            case ClaimRecord.Released released -> {
                writeJob(json, released.key(), released.job());
                json.writeNumberProperty("generation", released.generation());
                writeCoordinator(json, released.coordinator());
            }
        }
    }

    private static void writeJob(JsonGenerator json, SubmissionKey key, JobId job) {
        json.writeStringProperty("team", key.team());
        json.writeStringProperty("key", key.key());
        json.writeStringProperty("job", job.text());
    }

    private static void writeCoordinator(JsonGenerator json, Coordinator coordinator) {
        json.writeStringProperty("process", coordinator.processId());
        json.writeStringProperty("incarnation", coordinator.incarnation());
        json.writeStringProperty("host", coordinator.host());
        json.writeNumberProperty("port", coordinator.port());
    }

    private static Fields readFields(byte[] payload) {
        try (JsonParser json = JSON.createParser(ObjectReadContext.empty(), payload)) {
            Fields fields = new Fields();
            if (json.nextToken() != JsonToken.START_OBJECT) {
                throw new IllegalArgumentException("record is not a JSON object");
            }
            while (json.nextToken() == JsonToken.PROPERTY_NAME) {
                String name = json.currentName();
                json.nextToken();
                fields.read(name, json);
            }
            return fields;
        }
    }

    private static DecodedRecord decodeFields(Fields fields) {
        if (fields.type == null) {
            return new DecodedRecord.Skipped("missing type");
        }
        boolean hasRenewal = fields.type.equals(TAKEOVER) && fields.format == TAKEOVER_FORMAT;
        if (fields.format != FORMAT && !hasRenewal) {
            return new DecodedRecord.Skipped("unsupported format " + fields.format);
        }
        return switch (fields.type) {
            case "claim" ->
                fields.valid(new ClaimRecord.Claimed(
                        fields.submissionKey(),
                        fields.digest,
                        fields.jobId(),
                        fields.coordinator(),
                        Duration.ofMillis(fields.window)));
            case TAKEOVER ->
                fields.valid(new ClaimRecord.TakenOver(
                        fields.submissionKey(),
                        fields.jobId(),
                        fields.coordinator(),
                        fields.generation,
                        hasRenewal ? fields.lastRenewal() : ClaimRecord.TakenOver.UNSPECIFIED));
            case "renewal" ->
                fields.valid(new ClaimRecord.Renewed(fields.coordinator(), Duration.ofMillis(fields.lease)));
            case "departed" -> fields.valid(new ClaimRecord.Departed(fields.coordinator()));
            case "finished" -> fields.valid(new ClaimRecord.Finished(fields.submissionKey(), fields.jobId()));
            case "released" ->
                fields.valid(new ClaimRecord.Released(
                        fields.submissionKey(), fields.jobId(), fields.coordinator(), fields.generation));
            default -> new DecodedRecord.Skipped("unknown type " + fields.type);
        };
    }

    /** Collects the fields of one record while it is parsed; unknown fields are ignored. */
    private static final class Fields {
        private int format;
        private String type;
        private long time;
        private String team;
        private String key;
        private String job;
        private String digest;
        private long window;
        private long lease;
        private int generation;
        private Long lastRenewal;
        private String process;
        private String incarnation;
        private String host;
        private int port;

        private void read(String name, JsonParser json) {
            switch (name) {
                case "format" -> format = json.getIntValue();
                case "type" -> type = json.getString();
                case "time" -> time = json.getLongValue();
                case "team" -> team = json.getString();
                case "key" -> key = json.getString();
                case "job" -> job = json.getString();
                case "digest" -> digest = json.getString();
                case "window" -> window = json.getLongValue();
                case "lease" -> lease = json.getLongValue();
                case "generation" -> generation = json.getIntValue();
                case "lastRenewal" -> lastRenewal = json.getLongValue();
                case "process" -> process = json.getString();
                case "incarnation" -> incarnation = json.getString();
                case "host" -> host = json.getString();
                case "port" -> port = json.getIntValue();
                default -> json.skipChildren();
            }
        }

        private SubmissionKey submissionKey() {
            return new SubmissionKey(team, key);
        }

        private long lastRenewal() {
            return Objects.requireNonNull(lastRenewal, "lastRenewal");
        }

        private JobId jobId() {
            return new JobId(job);
        }

        private Coordinator coordinator() {
            return new Coordinator(process, incarnation, host, port);
        }

        private DecodedRecord valid(ClaimRecord content) {
            return new DecodedRecord.Valid(new TimestampedRecord(content, time));
        }
    }
}
