package org.chivetally.queue.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;

import org.chivetally.queue.JobAnswer;
import org.chivetally.queue.JobCodec;
import org.chivetally.queue.JobPhase;
import org.chivetally.queue.Jobs;
import org.chivetally.queue.Partitions;
import org.chivetally.queue.RunOutcome;
import org.chivetally.queue.log.LogStream;
import org.chivetally.wire.v1.StoredJob;
import org.chivetally.wire.v1.StoredStep;
import org.junit.jupiter.api.Test;

/** Records among the jobs of a partition that no owner has written. */
class ForeignJobRecordsTest {
    private static final String ID = "00000000000000a1";
    private static final String ODD = "00000000000000f0";
    private static final int PARTITION = Partitions.of(ID, Cluster.PARTITIONS);
    private static final LogStream JOBS = new LogStream("jobs", PARTITION);
    private static final byte[] MALFORMED = {(byte) 0xff, (byte) 0xff, 7};

    private final Cluster cluster = new Cluster();

    private void write(String key, byte[] value) {
        cluster.writeForeign(JOBS, key, value);
    }

    private static byte[] jobOfTooManyTasks() {
        StoredJob sound = JobCodec.encode(Jobs.of(ODD, 1));
        StoredStep odd =
                sound.getSteps(0).toBuilder().setCount(Integer.MAX_VALUE).build();
        return sound.toBuilder().setSteps(0, odd).build().toByteArray();
    }

    /** The next owner of the partition threw while it loaded such a record, so that no job of it went on. */
    @Test
    void completesTheOtherJobsOfThePartitionAfterATakeover() {
        cluster.entry("entry-1");
        cluster.entry("entry-2");
        cluster.agent("agent-1");
        cluster.awaitLinks();
        String owner = cluster.ownerName(PARTITION);
        cluster.submit(cluster.entries.get(owner), Jobs.of(ID, 1));
        cluster.advance(200);
        write("", MALFORMED);
        write("j", MALFORMED);
        write("j" + ODD, MALFORMED);
        write("p00000000000000f1", MALFORMED);
        write("j00000000000000f2", JobCodec.encode(Jobs.of(ODD, 1)).toByteArray());
        write("j00000000000000f3", jobOfTooManyTasks());
        cluster.kill(owner);
        cluster.advance(9_000);
        EntryNode next = cluster.entries.values().iterator().next();
        assertThat(cluster.running(ID), hasSize(1));
        cluster.finish(ID, RunOutcome.DONE);
        assertThat(cluster.query(next, ID), contains(new JobAnswer.State(JobPhase.COMPLETED)));
    }
}
