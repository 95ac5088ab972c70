package org.chivetally.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * The open-loop schedule of a run: all submissions, fixed before the run begins.
 *
 * <p>Arrivals form a Poisson process whose rate follows the phases of the plan. The schedule does not react to the
 * system under test: slow responses do not delay later submissions, so queueing time shows in the response times.
 *
 * @param jobs submissions sorted by time
 */
public record Schedule(List<ScheduledJob> jobs) {
    private static final String RANDOM_ALGORITHM = "L64X128MixRandom";

    /** Copies the list. */
    public Schedule {
        jobs = List.copyOf(jobs);
    }

    /** Generates the schedule of a plan. Equal plans give equal schedules. */
    public static Schedule of(LoadPlan plan) {
        RandomGenerator arrivals = generator(plan.seed());
        RandomGenerator attributes = generator(~plan.seed());
        Workload workload = plan.workload();
        double highestRate = workload.jobsPerSecond() * highestFactor(workload);
        List<ScheduledJob> jobs = new ArrayList<>();
        double seconds = 0;
        while (true) {
            seconds -= Math.log(1 - arrivals.nextDouble()) / highestRate;
            long nanos = (long) (seconds * 1e9);
            if (nanos >= plan.duration().toNanos()) {
                return new Schedule(jobs);
            }
            // Thinning: candidates arrive at the highest rate of the run. Each one is accepted with a probability equal
            // to the current rate divided by the highest rate.
            double rate = workload.jobsPerSecond() * factorAt(workload, nanos);
            if (arrivals.nextDouble() * highestRate < rate) {
                jobs.add(job(jobs.size(), nanos, workload, attributes));
            }
        }
    }

    private static RandomGenerator generator(long seed) {
        return RandomGeneratorFactory.of(RANDOM_ALGORITHM).create(seed);
    }

    private static double highestFactor(Workload workload) {
        double highest = 1;
        for (Workload.Phase phase : workload.phases()) {
            highest = Math.max(highest, phase.factor());
        }
        return highest;
    }

    private static double factorAt(Workload workload, long nanos) {
        for (Workload.Phase phase : workload.phases()) {
            if (phase.contains(nanos)) {
                return phase.factor();
            }
        }
        return 1;
    }

    private static ScheduledJob job(int index, long dueNanos, Workload workload, RandomGenerator random) {
        Workload.ServiceShare service = choose(workload.services(), random);
        String team = choose(workload.teams(), random).name();
        int tasks = choose(workload.jobSizes(), random).tasks();
        List<Integer> taskMillis = new ArrayList<>(tasks);
        for (int task = 0; task < tasks; task++) {
            taskMillis.add(choose(workload.taskTimes(), random).millisAt(random.nextDouble()));
        }
        List<Long> resubmitNanos = resubmissions(dueNanos, workload.resubmissions(), random);
        OptionalLong cancelNanos = cancellation(dueNanos, workload.cancellations(), random);
        return new ScheduledJob(index, dueNanos, service, team, taskMillis, resubmitNanos, cancelNanos);
    }

    private static List<Long> resubmissions(
            long dueNanos, Workload.Resubmissions resubmissions, RandomGenerator random) {
        if (random.nextDouble() >= resubmissions.share()
                || resubmissions.delays().isEmpty()) {
            return List.of();
        }
        List<Long> resubmitNanos = new ArrayList<>(resubmissions.copies());
        for (int copy = 0; copy < resubmissions.copies(); copy++) {
            Duration delay = resubmissions
                    .delays()
                    .get(random.nextInt(resubmissions.delays().size()));
            resubmitNanos.add(dueNanos + delay.toNanos());
        }
        return resubmitNanos;
    }

    private static OptionalLong cancellation(
            long dueNanos, Workload.Cancellations cancellations, RandomGenerator random) {
        if (random.nextDouble() >= cancellations.share()) {
            return OptionalLong.empty();
        }
        for (Duration wave : cancellations.waves()) {
            if (wave.toNanos() > dueNanos) {
                return OptionalLong.of(wave.toNanos());
            }
        }
        return OptionalLong.of(dueNanos + cancellations.delay().toNanos());
    }

    private static <T extends Workload.Weighted> T choose(List<T> choices, RandomGenerator random) {
        double totalWeight = 0;
        for (T choice : choices) {
            totalWeight += choice.weight();
        }
        double remaining = random.nextDouble() * totalWeight;
        for (T choice : choices) {
            remaining -= choice.weight();
            if (remaining < 0) {
                return choice;
            }
        }
        return choices.getLast();
    }
}
