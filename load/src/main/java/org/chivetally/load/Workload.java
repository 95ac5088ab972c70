package org.chivetally.load;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * What is offered to the entries.
 *
 * @param slots slots of all minions together; measure of the offered share and of a job's ideal time
 * @param offered mean load outside of phases
 * @param phases times at which the load differs
 * @param services services with their shares of the jobs
 * @param teams teams with their shares of the jobs
 * @param jobSizes numbers of tasks with their shares of the jobs
 * @param taskTimes bands of task times with their shares of the tasks
 * @param resubmissions repeats of submissions under the same key
 * @param cancellations submissions that their caller cancels
 * @param retries what a caller does without an answer
 * @param deadline deadline given with each job
 */
public record Workload(
        int slots,
        OfferedLoad offered,
        List<Phase> phases,
        List<ServiceShare> services,
        List<TeamShare> teams,
        List<JobSize> jobSizes,
        List<TaskTimeRange> taskTimes,
        Resubmissions resubmissions,
        Cancellations cancellations,
        Retries retries,
        Duration deadline) {
    /** Copies the lists and refuses empty ones where a choice must be made. */
    public Workload {
        Objects.requireNonNull(offered, "offered");
        Objects.requireNonNull(resubmissions, "resubmissions");
        Objects.requireNonNull(cancellations, "cancellations");
        Objects.requireNonNull(retries, "retries");
        Objects.requireNonNull(deadline, "deadline");
        phases = List.copyOf(phases);
        services = nonEmpty(services, "services");
        teams = nonEmpty(teams, "teams");
        jobSizes = nonEmpty(jobSizes, "jobSizes");
        taskTimes = nonEmpty(taskTimes, "taskTimes");
        if (slots < 1) {
            throw new IllegalArgumentException("slots must be at least 1");
        }
    }

    /** Returns the mean number of tasks of a job. */
    public double meanJobSize() {
        double weights = 0;
        double sum = 0;
        for (JobSize size : jobSizes) {
            weights += size.weight();
            sum += size.weight() * size.tasks();
        }
        return sum / weights;
    }

    /** Returns the mean time of a task in seconds. */
    public double meanTaskSeconds() {
        double weights = 0;
        double sum = 0;
        for (TaskTimeRange range : taskTimes) {
            weights += range.weight();
            sum += range.weight() * range.meanSeconds();
        }
        return sum / weights;
    }

    /** Returns the mean jobs a second outside of phases. */
    public double jobsPerSecond() {
        return switch (offered) {
            case OfferedLoad.JobRate rate -> rate.jobsPerSecond();
            case OfferedLoad.SlotShare share -> share.share() * slots / (meanJobSize() * meanTaskSeconds());
        };
    }

    private static <T> List<T> nonEmpty(List<T> list, String name) {
        if (list.isEmpty()) {
            throw new IllegalArgumentException(name + " can't be empty");
        }
        return List.copyOf(list);
    }

    /** Mean load. */
    public sealed interface OfferedLoad {
        /** A share of all slots kept busy: 0.5 is half of them. */
        record SlotShare(double share) implements OfferedLoad {}

        /** A number of jobs a second. */
        record JobRate(double jobsPerSecond) implements OfferedLoad {}
    }

    /**
     * A span of time with another load.
     *
     * @param name name in the report
     * @param start from the beginning of the run
     * @param length how long it lasts
     * @param factor multiple of the mean load
     */
    public record Phase(String name, Duration start, Duration length, double factor) {
        /** Tells whether an instant, in nanoseconds from the beginning of the run, falls into the phase. */
        public boolean contains(long nanos) {
            return nanos >= start.toNanos() && nanos < start.plus(length).toNanos();
        }
    }

    /**
     * A service and its share of the jobs.
     *
     * @param name name of the service
     * @param idempotent whether its tasks may run again after an attempt that is over; as declared at the entries
     * @param attemptLease longest run of one attempt, after which an idempotent task may start again; zero if never
     * @param weight share relative to the others
     */
    public record ServiceShare(String name, boolean idempotent, Duration attemptLease, double weight)
            implements Weighted {}

    /** A team and its share of the jobs. */
    public record TeamShare(String name, double weight) implements Weighted {}

    /** A number of tasks and its share of the jobs. */
    public record JobSize(int tasks, double weight) implements Weighted {}

    /** Task times spread evenly on a logarithmic scale between two bounds, and their share of the tasks. */
    public record TaskTimeRange(Duration shortest, Duration longest, double weight) implements Weighted {
        /** Returns the mean in seconds. */
        public double meanSeconds() {
            double low = shortest.toNanos() / 1e9;
            double high = longest.toNanos() / 1e9;
            if (high <= low) {
                return low;
            }
            return (high - low) / Math.log(high / low);
        }

        /** Returns the task time at a point between 0 and 1 of the band, in milliseconds, at least 1. */
        public int millisAt(double fraction) {
            double low = Math.max(1, shortest.toMillis());
            double high = Math.max(low, longest.toMillis());
            return (int) Math.round(low * Math.pow(high / low, fraction));
        }
    }

    /**
     * Repeats of submissions under the same key, each to another entry.
     *
     * @param share share of the jobs that are repeated
     * @param copies repeats of each such job
     * @param delays a repeat follows the first submission after one of these
     */
    public record Resubmissions(double share, int copies, List<Duration> delays) {
        /** No repeats. */
        public static final Resubmissions NONE = new Resubmissions(0, 1, List.of());

        /** Copies the list. */
        public Resubmissions {
            delays = List.copyOf(delays);
        }
    }

    /**
     * Submissions that their caller cancels.
     *
     * @param share share of the jobs that are cancelled
     * @param delay time from submission to cancellation, where no wave follows
     * @param waves times, from the beginning of the run, at which all those submitted since the last wave are cancelled
     */
    public record Cancellations(double share, Duration delay, List<Duration> waves) {
        /** No cancellations. */
        public static final Cancellations NONE = new Cancellations(0, Duration.ZERO, List.of());

        /** Copies the list. */
        public Cancellations {
            waves = List.copyOf(waves);
        }
    }

    /**
     * Further requests of a caller, under the same key, after a request that ended without an outcome: unreachable,
     * closed, or answered with a problem that names a time to come back.
     *
     * @param maximum most further requests of one submission
     * @param delay time from the end of one request to the next; a longer one that the entry asks for goes first
     * @param requestTimeout longest time that one request is held; the caller then asks again under the key, and at
     *     another entry when this one is silent. Zero holds a request until the deadline
     */
    public record Retries(int maximum, Duration delay, Duration requestTimeout) {
        /** No further requests. */
        public static final Retries NONE = new Retries(0, Duration.ZERO, Duration.ZERO);

        /** Refuses negative numbers. */
        public Retries {
            if (maximum < 0 || delay.isNegative() || requestTimeout.isNegative()) {
                throw new IllegalArgumentException("retries can't be negative");
            }
        }
    }

    /** Something chosen with a probability proportional to its weight. */
    public sealed interface Weighted permits ServiceShare, TeamShare, JobSize, TaskTimeRange {
        /** Returns the weight, more than zero. */
        double weight();
    }
}
