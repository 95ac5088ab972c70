package org.chivetally.claim;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.chivetally.log.LogRecord;

/**
 * Finds the newest complete snapshot among chunks.
 *
 * <p>The chunks of several writers may be interleaved, duplicated, damaged or missing. A snapshot is used only if all
 * its chunks are present and valid, so that a partly written one can't hide claims.
 */
final class SnapshotAssembler {
    private final Map<String, Parts> snapshots = new HashMap<>();
    private final Set<Integer> unsupportedFormats = new TreeSet<>();

    /** Adds a record of the snapshot stream. */
    void add(LogRecord logRecord) {
        switch (SnapshotChunk.decode(logRecord.payload())) {
            case DecodedChunk.Valid valid -> add(valid.chunk());
            case DecodedChunk.UnsupportedFormat unsupported -> unsupportedFormats.add(unsupported.format());
            case DecodedChunk.Damaged ignored -> {}
        }
    }

    /** Returns the unsupported format versions among the added chunks. */
    Set<Integer> unsupportedFormats() {
        return unsupportedFormats;
    }

    /** Returns the content of the newest complete snapshot. */
    Optional<TableImage> newest() {
        List<Parts> complete = new ArrayList<>(
                snapshots.values().stream().filter(Parts::isComplete).toList());
        complete.sort(
                Comparator.comparingLong((Parts parts) -> parts.header.covers()).reversed());
        for (Parts parts : complete) {
            Optional<TableImage> image = SnapshotCodec.decode(parts.header, Arrays.asList(parts.bodies));
            if (image.isPresent()) {
                return image;
            }
        }
        return Optional.empty();
    }

    private void add(SnapshotChunk chunk) {
        SnapshotHeader header = chunk.header();
        Parts parts = snapshots.computeIfAbsent(header.snapshot(), ignored -> new Parts(header));
        parts.add(chunk);
    }

    /** The chunks of one snapshot. */
    private static final class Parts {
        private final SnapshotHeader header;
        private final byte[][] bodies;

        private Parts(SnapshotHeader header) {
            this.header = header;
            this.bodies = new byte[header.parts()][];
        }

        private void add(SnapshotChunk chunk) {
            SnapshotHeader other = chunk.header();
            boolean sameSnapshot = other.parts() == header.parts()
                    && other.covers() == header.covers()
                    && other.streamMillis() == header.streamMillis();
            if (sameSnapshot) {
                bodies[other.part()] = chunk.body();
            }
        }

        private boolean isComplete() {
            return Arrays.stream(bodies).allMatch(Objects::nonNull);
        }
    }
}
