package org.chivetally.load;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * The workload submitted to the entries.
 *
 * @param slots total number of slots of all minions; basis of the offered load and of the ideal time of a job
 * @param offered mean load outside of phases
 * @param phases periods with a different load
 * @param services services, weighted by their share of the jobs
 * @param teams teams, weighted by their share of the jobs
 * @param jobSizes numbers of tasks per job, weighted by their share of the jobs
 * @param taskTimes ranges of task durations, weighted by their share of the tasks
 * @param resubmissions repeated submissions under the same key
 * @param cancellations submissions that their client cancels
 * @param retries retries of requests without an outcome
 * @param deadline deadline of each job, counted from its submission
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
    /** Copies the lists and rejects those that must not be empty. */
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

    /** Returns the mean duration of a task in seconds. */
    public double meanTaskSeconds() {
        double weights = 0;
        double sum = 0;
        for (TaskTimeRange range : taskTimes) {
            weights += range.weight();
            sum += range.weight() * range.meanSeconds();
        }
        return sum / weights;
    }

    /** Returns the mean number of jobs per second outside of phases. */
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

    /** Mean load, in one of two units. */
    public sealed interface OfferedLoad {
        /**
         * The load as a share of all slots.
         *
         * @param share mean share of the slots in use; 0.5 keeps half of them busy
         */
        record SlotShare(double share) implements OfferedLoad {}

        /**
         * The load as a rate.
         *
         * @param jobsPerSecond mean number of jobs per second
         */
        record JobRate(double jobsPerSecond) implements OfferedLoad {}
    }

    /**
     * A period with a different load.
     *
     * @param name name of the phase
     * @param start time since the beginning of the run
     * @param length duration of the phase
     * @param factor multiple of the mean load
     */
    public record Phase(String name, Duration start, Duration length, double factor) {
        /**
         * Returns whether a time is within the phase.
         *
         * @param nanos nanoseconds since the beginning of the run
         */
        public boolean contains(long nanos) {
            return nanos >= start.toNanos() && nanos < start.plus(length).toNanos();
        }
    }

    /**
     * A service and its share of the jobs.
     *
     * @param name name of the service
     * @param idempotent whether its tasks may be restarted after a failed or expired attempt, as declared at the
     *     entries
     * @param attemptLease longest duration of an attempt, after which an idempotent task may be restarted; zero for no
     *     lease
     * @param weight share relative to the other services
     */
    public record ServiceShare(String name, boolean idempotent, Duration attemptLease, double weight)
            implements Weighted {}

    /**
     * A team and its share of the jobs.
     *
     * @param name name of the team
     * @param weight share relative to the other teams
     */
    public record TeamShare(String name, double weight) implements Weighted {}

    /**
     * A job size and its share of the jobs.
     *
     * @param tasks number of tasks
     * @param weight share relative to the other sizes
     */
    public record JobSize(int tasks, double weight) implements Weighted {}

    /**
     * A range of task durations, log-uniformly distributed, and its share of the tasks.
     *
     * @param shortest lower bound
     * @param longest upper bound
     * @param weight share relative to the other ranges
     */
    public record TaskTimeRange(Duration shortest, Duration longest, double weight) implements Weighted {
        /** Returns the mean duration in seconds. */
        public double meanSeconds() {
            double low = shortest.toNanos() / 1e9;
            double high = longest.toNanos() / 1e9;
            if (high <= low) {
                return low;
            }
            return (high - low) / Math.log(high / low);
        }

        /**
         * Returns the duration at a quantile of the distribution, in milliseconds, at least 1.
         *
         * @param fraction quantile between 0 and 1
         */
        public int millisAt(double fraction) {
            double low = Math.max(1, shortest.toMillis());
            double high = Math.max(low, longest.toMillis());
            return (int) Math.round(low * Math.pow(high / low, fraction));
        }
    }

    /**
     * Repeated submissions under the same key, each sent to another entry.
     *
     * @param share share of the jobs that are repeated
     * @param copies number of repeats of each such job
     * @param delays delays after the first submission; one is chosen at random for each repeat
     */
    public record Resubmissions(double share, int copies, List<Duration> delays) {
        /** No repeated submissions. */
        public static final Resubmissions NONE = new Resubmissions(0, 1, List.of());

        /** Copies the list. */
        public Resubmissions {
            delays = List.copyOf(delays);
        }
    }

    /**
     * Submissions that their client cancels.
     *
     * @param share share of the jobs that are cancelled
     * @param delay time from submission to cancellation, used when no wave follows the submission
     * @param waves times since the beginning of the run at which all jobs submitted since the previous wave are
     *     cancelled
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
     * Retries of a client under the same key, after a request that ended without an outcome: the entry was unreachable,
     * closed the connection, or returned a problem with a retry delay.
     *
     * @param maximum maximum number of retries of one submission
     * @param delay time from the end of a request to the next one; a longer delay requested by the entry takes
     *     precedence
     * @param requestTimeout longest duration of one request, after which the client repeats it under the same key, at
     *     another entry if this one does not respond; zero waits until the deadline
     */
    public record Retries(int maximum, Duration delay, Duration requestTimeout) {
        /** No retries. */
        public static final Retries NONE = new Retries(0, Duration.ZERO, Duration.ZERO);

        /** Rejects negative values. */
        public Retries {
            if (maximum < 0 || delay.isNegative() || requestTimeout.isNegative()) {
                throw new IllegalArgumentException("retries can't be negative");
            }
        }
    }

    /** An alternative that is chosen with a probability proportional to its weight. */
    public sealed interface Weighted permits ServiceShare, TeamShare, JobSize, TaskTimeRange {
        /** Returns the weight, greater than zero. */
        double weight();
    }
}
