package org.chivetally.resource;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chivetally.log.LogRecord;

/** Short ways to records for tests of tables. */
final class TableRecords {
    private TableRecords() {}

    static ResourceKey team(String name) {
        return new ResourceKey(ResourceKind.TEAM, name);
    }

    static Change put(String name, long basedOn, int weight) {
        return Change.put(team(name), basedOn, Change.Content.of(Map.of(), "{\"weight\":" + weight + "}"));
    }

    static Change delete(String name, long basedOn) {
        return new Change(team(name), basedOn, basedOn == 0, Optional.empty());
    }

    static LogRecord record(long offset, String id, Change... changes) {
        WriteRecord record = new WriteRecord(id, List.of(changes), "by-" + id, "at-" + id);
        return new LogRecord(offset, id, WriteRecordCodec.encode(record).payload());
    }

    static LogRecord raw(long offset, String payload) {
        return new LogRecord(offset, "raw-" + offset, payload.getBytes(StandardCharsets.UTF_8));
    }
}
