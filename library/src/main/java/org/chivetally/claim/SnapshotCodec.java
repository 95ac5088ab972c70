package org.chivetally.claim;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.chivetally.job.JobId;
import org.chivetally.log.NewRecord;
import tools.jackson.core.JacksonException;
import tools.jackson.core.JsonGenerator;
import tools.jackson.core.JsonParser;
import tools.jackson.core.JsonToken;
import tools.jackson.core.ObjectReadContext;
import tools.jackson.core.ObjectWriteContext;
import tools.jackson.core.json.JsonFactory;

/**
 * Splits the content of a table into chunks, and restores it from them.
 *
 * <p>Rows are JSON arrays whose first element is their kind. A coordinator's row precedes the claims that refer to it
 * by index.
 */
final class SnapshotCodec {
    private static final JsonFactory JSON = new JsonFactory();
    private static final int HEADER_BYTES = 1024;
    private static final int ROW_BYTES = 512;
    private static final String WRITER = "writer";
    private static final String COORDINATOR = "coordinator";
    private static final String CLAIM = "claim";

    private SnapshotCodec() {}

    /**
     * Returns the records of a snapshot, in the order of its chunks.
     *
     * @param image content of the table
     * @param writer writer name of this process
     * @param chunkBytes maximum size of one record in bytes
     */
    static List<NewRecord> encode(TableImage image, String writer, int chunkBytes) {
        List<byte[]> bodies = new BodyWriter(chunkBytes - HEADER_BYTES).write(image);
        String snapshot = writer + '@' + image.nextOffset();
        List<NewRecord> records = new ArrayList<>(bodies.size());
        for (int part = 0; part < bodies.size(); part++) {
            SnapshotHeader header =
                    new SnapshotHeader(snapshot, part, bodies.size(), image.nextOffset(), image.streamMillis());
            byte[] payload = new SnapshotChunk(header, bodies.get(part)).encode();
            records.add(new NewRecord(snapshot + '/' + part, payload));
        }
        return records;
    }

    /** Returns the content of a complete snapshot; empty if its rows can't be decoded. */
    static Optional<TableImage> decode(SnapshotHeader header, List<byte[]> bodies) {
        try {
            RowReader rows = new RowReader(header.streamMillis());
            bodies.forEach(rows::read);
            return Optional.of(new TableImage(header.covers(), header.streamMillis(), rows.writers, rows.claims));
        } catch (JacksonException | IllegalArgumentException | IndexOutOfBoundsException | NullPointerException e) {
            return Optional.empty();
        }
    }

    /** Writes rows into bodies of bounded size. */
    private static final class BodyWriter {
        private final int limit;
        private final List<byte[]> full = new ArrayList<>();
        private final ByteArrayOutputStream open = new ByteArrayOutputStream();
        private final Map<Coordinator, Integer> indexes = new LinkedHashMap<>();

        private BodyWriter(int limit) {
            this.limit = limit;
        }

        private List<byte[]> write(TableImage image) {
            image.writers().forEach(writer -> add(json -> writeWriter(json, writer)));
            for (CompactClaim claim : image.claims()) {
                int index = indexOf(claim.coordinator());
                add(json -> writeClaim(json, claim, index, claim.endMillis() - image.streamMillis()));
            }
            full.add(open.toByteArray());
            return full;
        }

        private int indexOf(Coordinator coordinator) {
            Integer existing = indexes.get(coordinator);
            if (existing != null) {
                return existing;
            }
            add(json -> writeCoordinator(json, coordinator));
            indexes.put(coordinator, indexes.size());
            return indexes.size() - 1;
        }

        private void add(Consumer<JsonGenerator> content) {
            ByteArrayOutputStream row = new ByteArrayOutputStream(ROW_BYTES);
            try (JsonGenerator json = JSON.createGenerator(ObjectWriteContext.empty(), row)) {
                json.writeStartArray();
                content.accept(json);
                json.writeEndArray();
            }
            row.write('\n');
            if (open.size() + row.size() > limit && open.size() > 0) {
                full.add(open.toByteArray());
                open.reset();
            }
            open.writeBytes(row.toByteArray());
        }

        private static void writeWriter(JsonGenerator json, TableImage.Writer writer) {
            json.writeString(WRITER);
            json.writeString(writer.name());
            json.writeNumber(writer.sequence());
            json.writeNumber(writer.lastMillis());
            json.writeNumber(writer.lastRenewal());
        }

        private static void writeCoordinator(JsonGenerator json, Coordinator coordinator) {
            json.writeString(COORDINATOR);
            json.writeString(coordinator.processId());
            json.writeString(coordinator.incarnation());
            json.writeString(coordinator.host());
            json.writeNumber(coordinator.port());
        }

        private static void writeClaim(JsonGenerator json, CompactClaim claim, int coordinator, long millisLeft) {
            json.writeString(CLAIM);
            json.writeString(claim.key().team());
            json.writeString(claim.key().key());
            json.writeString(claim.bodyDigest());
            json.writeString(claim.job().text());
            json.writeNumber(coordinator);
            json.writeNumber(claim.generation());
            json.writeBoolean(claim.finished());
            json.writeNumber(millisLeft);
            json.writeNumber(claim.offset());
        }
    }

    /** Reads rows. */
    private static final class RowReader {
        private final long streamMillis;
        private final List<TableImage.Writer> writers = new ArrayList<>();
        private final List<Coordinator> coordinators = new ArrayList<>();
        private final List<CompactClaim> claims = new ArrayList<>();

        private RowReader(long streamMillis) {
            this.streamMillis = streamMillis;
        }

        private void read(byte[] body) {
            try (JsonParser json = JSON.createParser(ObjectReadContext.empty(), body)) {
                while (json.nextToken() == JsonToken.START_ARRAY) {
                    readRow(json);
                }
            }
        }

        private void readRow(JsonParser json) {
            switch (text(json)) {
                case WRITER -> writers.add(readWriter(json));
                case COORDINATOR ->
                    coordinators.add(new Coordinator(text(json), text(json), text(json), (int) number(json)));
                case CLAIM -> claims.add(readClaim(json));
                default -> throw new IllegalArgumentException("unknown kind of row");
            }
            if (json.nextToken() != JsonToken.END_ARRAY) {
                throw new IllegalArgumentException("row has too many elements");
            }
        }

        private static TableImage.Writer readWriter(JsonParser json) {
            return new TableImage.Writer(text(json), number(json), number(json), number(json));
        }

        private CompactClaim readClaim(JsonParser json) {
            SubmissionKey key = new SubmissionKey(text(json), text(json));
            String digest = text(json);
            JobId job = new JobId(text(json));
            Coordinator coordinator = coordinators.get((int) number(json));
            int generation = (int) number(json);
            json.nextToken();
            boolean finished = json.getBooleanValue();
            Claim claim = new Claim(key, digest, job, coordinator, generation, finished);
            return CompactClaim.of(claim, streamMillis + number(json), number(json));
        }

        private static String text(JsonParser json) {
            json.nextToken();
            return json.getString();
        }

        private static long number(JsonParser json) {
            json.nextToken();
            return json.getLongValue();
        }
    }
}
