package org.chivetally.queue;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/** Deals jobs out to partitions by their ids, the same way in every process and release. */
public final class Partitions {
    private Partitions() {}

    /** Returns the partition of a job, from 0. */
    public static int of(String jobId, int count) {
        CRC32 checksum = new CRC32();
        checksum.update(jobId.getBytes(StandardCharsets.US_ASCII));
        return (int) (checksum.getValue() % count);
    }
}
