package org.chivetally.queue;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chivetally.errors.ChivetallyException;
import org.chivetally.errors.ErrorCode;
import org.chivetally.queue.crash.CrashCount;
import org.chivetally.wire.v1.RunNumbers;
import org.chivetally.wire.v1.StoredJob;
import org.chivetally.wire.v1.StoredProgress;
import org.chivetally.wire.v1.StoredStep;

/**
 * Encodes jobs, their progress and their parts as protocol buffer messages for the log and the wire, and decodes them.
 */
public final class JobCodec {
    private JobCodec() {}

    /** Encodes an accepted job. */
    public static StoredJob encode(JobSpecification job) {
        QueueTerms terms = job.terms();
        StoredJob.Builder stored = StoredJob.newBuilder()
                .setId(job.id())
                .setQueue(terms.queue())
                .setService(terms.service())
                .setPayload(job.payload())
                .setMaximumAttempts(terms.maximumAttempts())
                .setPriority(terms.priority())
                .setSlackFactor(terms.slackFactor())
                .setTargetLatencyMillis(terms.targetLatencyMillis())
                .setAcceptedAtMillis(job.acceptedAtMillis());
        for (StepSpecification step : job.steps()) {
            stored.addSteps(encode(step));
        }
        return stored.build();
    }

    private static StoredStep encode(StepSpecification step) {
        StepTraits traits = step.traits();
        return StoredStep.newBuilder()
                .setCount(step.count())
                .setRoom(encode(step.room()))
                .setEstimatedMillis(step.estimatedMillis())
                .addAllAfter(step.after())
                .setCheckpointing(traits.checkpointing())
                .setGang(traits.gang())
                .setSameRack(traits.sameRack())
                .setRequiredLabel(traits.requiredLabel())
                .setPreferredRack(traits.preferredRack())
                .setMaximumPerWorker(traits.maximumPerWorker())
                .setDuplicatesAllowed(traits.duplicatesAllowed())
                .setFillsUnused(traits.usesIdleCapacity())
                .setImage(traits.image())
                .setTargetMillis(traits.tailLatencyTargetMillis())
                .build();
    }

    /** Encodes an amount of resources. */
    public static org.chivetally.wire.v1.Room encode(Room room) {
        return org.chivetally.wire.v1.Room.newBuilder()
                .setProcessorMillis(room.processorMillis())
                .setMemoryMegabytes(room.memoryMegabytes())
                .setAccelerators(room.accelerators())
                .build();
    }

    /** Decodes an amount of resources. */
    public static Room decode(org.chivetally.wire.v1.Room room) {
        return new Room(room.getProcessorMillis(), room.getMemoryMegabytes(), room.getAccelerators());
    }

    /** Encodes evacuations. */
    public static org.chivetally.wire.v1.Evacuations encode(Evacuations evacuations) {
        return org.chivetally.wire.v1.Evacuations.newBuilder()
                .setVersion(evacuations.version())
                .addAllFailureDomains(evacuations.failureDomains())
                .build();
    }

    /** Decodes evacuations. */
    public static Evacuations decode(org.chivetally.wire.v1.Evacuations evacuations) {
        return new Evacuations(evacuations.getVersion(), Set.copyOf(evacuations.getFailureDomainsList()));
    }

    /** Decodes an accepted job. */
    public static JobSpecification decode(StoredJob stored) {
        List<StepSpecification> steps = new ArrayList<>();
        for (StoredStep step : stored.getStepsList()) {
            steps.add(decode(step));
        }
        QueueTerms terms = new QueueTerms(
                stored.getQueue(),
                stored.getService(),
                stored.getMaximumAttempts(),
                stored.getPriority(),
                stored.getSlackFactor(),
                stored.getTargetLatencyMillis());
        return new JobSpecification(stored.getId(), terms, stored.getPayload(), stored.getAcceptedAtMillis(), steps);
    }

    private static StepSpecification decode(StoredStep step) {
        StepTraits traits = new StepTraits(
                step.getCheckpointing(),
                step.getGang(),
                step.getSameRack(),
                step.getRequiredLabel(),
                step.getPreferredRack(),
                step.getMaximumPerWorker(),
                step.getDuplicatesAllowed(),
                step.getFillsUnused(),
                step.getImage(),
                step.getTargetMillis());
        return new StepSpecification(
                step.getCount(), decode(step.getRoom()), step.getEstimatedMillis(), step.getAfterList(), traits);
    }

    /** Decodes an accepted job from a log record; throws {@link ErrorCode#INTERNAL} if the record is malformed. */
    public static JobSpecification decodeJob(byte[] record) {
        try {
            return decode(StoredJob.parseFrom(record));
        } catch (InvalidProtocolBufferException e) {
            throw new ChivetallyException(ErrorCode.INTERNAL, "the stored record of a job is malformed", e);
        }
    }

    /** Encodes the progress of a job. */
    public static byte[] encode(JobProgress progress) {
        StoredProgress.Builder stored = StoredProgress.newBuilder();
        progress.crashes()
                .forEach((position, count) -> stored.putCrashes(position, count.crashes())
                        .putCrashedRuns(position, count.runs().latest())
                        .putCrashedRunNumbers(position, encode(count.runs()))
                        .putBoundedStarts(position, count.boundedStarts()));
        progress.failures()
                .forEach((position, failed) ->
                        stored.putFailures(position, failed.total()).putFailedRuns(position, encode(failed)));
        return stored.setPhase(encode(progress.phase()))
                .setDone(ByteString.copyFrom(progress.done().toByteArray()))
                .setEndedAtMillis(progress.endedAtMillis())
                .build()
                .toByteArray();
    }

    /** Decodes the progress of a job from a log record; throws {@link ErrorCode#INTERNAL} if it is malformed. */
    public static JobProgress decodeProgress(byte[] record) {
        try {
            StoredProgress stored = StoredProgress.parseFrom(record);
            return new JobProgress(
                    decode(stored.getPhase()),
                    BitSet.valueOf(stored.getDone().toByteArray()),
                    failures(stored),
                    crashes(stored),
                    stored.getEndedAtMillis());
        } catch (InvalidProtocolBufferException e) {
            throw new ChivetallyException(ErrorCode.INTERNAL, "the stored progress of a job is malformed", e);
        }
    }

    private static RunNumbers encode(CountedRuns counted) {
        return RunNumbers.newBuilder().addAllRuns(counted.runs()).build();
    }

    private static Map<Integer, CountedRuns> failures(StoredProgress stored) {
        Map<Integer, CountedRuns> failures = new HashMap<>();
        stored.getFailuresMap()
                .forEach((position, total) -> failures.put(
                        position,
                        countedRuns(stored.getFailedRunsOrDefault(position, RunNumbers.getDefaultInstance()), total)));
        return failures;
    }

    private static CountedRuns countedRuns(RunNumbers numbers, int total) {
        Set<Long> runs = Set.copyOf(numbers.getRunsList());
        return new CountedRuns(runs, Math.max(0, total - runs.size()));
    }

    private static Map<Integer, CrashCount> crashes(StoredProgress stored) {
        Map<Integer, CrashCount> crashes = new HashMap<>();
        stored.getCrashesMap()
                .forEach((position, total) -> crashes.put(
                        position,
                        new CrashCount(
                                countedRuns(crashedRuns(stored, position), total),
                                stored.getBoundedStartsOrDefault(position, 0))));
        return crashes;
    }

    /** Returns the known numbers of crashed runs; an earlier release stored only the latest one. */
    private static RunNumbers crashedRuns(StoredProgress stored, int position) {
        return stored.getCrashedRunNumbersOrDefault(
                position,
                RunNumbers.newBuilder()
                        .addRuns(stored.getCrashedRunsOrDefault(position, 0))
                        .build());
    }

    /** Encodes a job phase. */
    public static org.chivetally.wire.v1.JobPhase encode(JobPhase phase) {
        return switch (phase) {
            case QUEUED -> org.chivetally.wire.v1.JobPhase.JOB_PHASE_QUEUED;
            case RUNNING -> org.chivetally.wire.v1.JobPhase.JOB_PHASE_RUNNING;
            case COMPLETED -> org.chivetally.wire.v1.JobPhase.JOB_PHASE_COMPLETED;
            case FAILED -> org.chivetally.wire.v1.JobPhase.JOB_PHASE_FAILED;
            case CANCELLED -> org.chivetally.wire.v1.JobPhase.JOB_PHASE_CANCELLED;
        };
    }

    /** Decodes a job phase; throws {@link ErrorCode#INTERNAL} for a phase that this release does not define. */
    public static JobPhase decode(org.chivetally.wire.v1.JobPhase phase) {
        return switch (phase) {
            case JOB_PHASE_QUEUED -> JobPhase.QUEUED;
            case JOB_PHASE_RUNNING -> JobPhase.RUNNING;
            case JOB_PHASE_COMPLETED -> JobPhase.COMPLETED;
            case JOB_PHASE_FAILED -> JobPhase.FAILED;
            case JOB_PHASE_CANCELLED -> JobPhase.CANCELLED;
            case JOB_PHASE_UNSPECIFIED, UNRECOGNIZED ->
                throw new ChivetallyException(ErrorCode.INTERNAL, "unknown phase of a stored job: " + phase);
        };
    }
}
