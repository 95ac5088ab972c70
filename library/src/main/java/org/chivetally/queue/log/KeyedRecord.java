package org.chivetally.queue.log;

import java.util.Objects;

/**
 * A record of a log that retains the newest value of each key.
 *
 * @param key the key, at most 255 bytes
 * @param value the value; empty for a tombstone, which deletes the key
 */
@SuppressWarnings("ArrayRecordComponent")
public record KeyedRecord(String key, byte[] value) {
    private static final byte[] EMPTY = new byte[0];

    /** Requires a key and a value. */
    public KeyedRecord {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }

    /** Returns a tombstone, which deletes a key. */
    public static KeyedRecord tombstone(String key) {
        return new KeyedRecord(key, EMPTY);
    }

    /** Returns whether the record is a tombstone. */
    public boolean isTombstone() {
        return value.length == 0;
    }

    /** Returns the approximate size of the record, in bytes. */
    public int approximateBytes() {
        return key.length() + value.length;
    }
}
