package org.chivetally.queue.log;

import java.util.Objects;

/**
 * A key and its newest value.
 *
 * @param key the key, at most 255 bytes
 * @param value the value; empty to drop the key
 */
@SuppressWarnings("ArrayRecordComponent")
public record KeyedRecord(String key, byte[] value) {
    private static final byte[] EMPTY = new byte[0];

    /** Refuses missing parts. */
    public KeyedRecord {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }

    /** Returns the record that drops a key. */
    public static KeyedRecord tombstone(String key) {
        return new KeyedRecord(key, EMPTY);
    }

    /** Tells whether the record drops its key. */
    public boolean isTombstone() {
        return value.length == 0;
    }

    /** Returns the bytes that the record takes, about. */
    public int approximateBytes() {
        return key.length() + value.length;
    }
}
