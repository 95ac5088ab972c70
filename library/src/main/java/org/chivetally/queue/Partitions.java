package org.chivetally.queue;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/**
 * Maps job ids to partitions by checksum. The mapping has to stay the same in every process and release, because stored
 * jobs are looked up by it.
 */
public final class Partitions {
    private Partitions() {}

    /**
     * Returns the partition of a job, counted from 0.
     *
     * @param jobId id of the job
     * @param count number of partitions
     */
    public static int of(String jobId, int count) {
        CRC32 checksum = new CRC32();
        checksum.update(jobId.getBytes(StandardCharsets.US_ASCII));
        return (int) (checksum.getValue() % count);
    }
}
