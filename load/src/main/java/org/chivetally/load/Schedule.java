package org.chivetally.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * All submissions of a run, fixed before it begins.
 *
 * <p>Arrivals are a Poisson process whose rate follows the plan's phases. The schedule does not react to the system:
 * when answers are slow, jobs are submitted at the same instants, so that waiting shows in their response times.
 *
 * @param jobs submissions by rising instant
 */
public record Schedule(List<ScheduledJob> jobs) {
    private static final String GENERATOR = "L64X128MixRandom";

    /** Copies the list. */
    public Schedule {
        jobs = List.copyOf(jobs);
    }

    /** Derives the schedule of a plan; equal plans give equal schedules. */
    public static Schedule of(LoadPlan plan) {
        RandomGenerator arrivals = generator(plan.seed());
        RandomGenerator contents = generator(~plan.seed());
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
            // Thinning: candidates come at the highest rate of the run, and each is kept with the share due now.
            double rate = workload.jobsPerSecond() * factorAt(workload, nanos);
            if (arrivals.nextDouble() * highestRate < rate) {
                jobs.add(job(jobs.size(), nanos, workload, contents));
            }
        }
    }

    private static RandomGenerator generator(long seed) {
        return RandomGeneratorFactory.of(GENERATOR).create(seed);
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
            if (phase.covers(nanos)) {
                return phase.factor();
            }
        }
        return 1;
    }

    private static ScheduledJob job(int index, long nanos, Workload workload, RandomGenerator random) {
        Workload.ServiceShare service = choose(workload.services(), random);
        String team = choose(workload.teams(), random).name();
        int tasks = choose(workload.jobSizes(), random).tasks();
        List<Integer> taskMillis = new ArrayList<>(tasks);
        for (int task = 0; task < tasks; task++) {
            taskMillis.add(choose(workload.taskTimes(), random).millisAt(random.nextDouble()));
        }
        List<Long> resubmits = resubmissions(nanos, workload.resubmissions(), random);
        OptionalLong cancel = cancellation(nanos, workload.cancellations(), random);
        return new ScheduledJob(index, nanos, service, team, taskMillis, resubmits, cancel);
    }

    private static List<Long> resubmissions(long nanos, Workload.Resubmissions plan, RandomGenerator random) {
        if (random.nextDouble() >= plan.share() || plan.delays().isEmpty()) {
            return List.of();
        }
        List<Long> instants = new ArrayList<>(plan.copies());
        for (int copy = 0; copy < plan.copies(); copy++) {
            Duration delay = plan.delays().get(random.nextInt(plan.delays().size()));
            instants.add(nanos + delay.toNanos());
        }
        return instants;
    }

    private static OptionalLong cancellation(long nanos, Workload.Cancellations plan, RandomGenerator random) {
        if (random.nextDouble() >= plan.share()) {
            return OptionalLong.empty();
        }
        for (Duration wave : plan.waves()) {
            if (wave.toNanos() > nanos) {
                return OptionalLong.of(wave.toNanos());
            }
        }
        return OptionalLong.of(nanos + plan.delay().toNanos());
    }

    private static <T extends Workload.Weighted> T choose(List<T> choices, RandomGenerator random) {
        double sum = 0;
        for (T choice : choices) {
            sum += choice.weight();
        }
        double point = random.nextDouble() * sum;
        for (T choice : choices) {
            point -= choice.weight();
            if (point < 0) {
                return choice;
            }
        }
        return choices.getLast();
    }
}
