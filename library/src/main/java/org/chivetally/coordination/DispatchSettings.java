package org.chivetally.coordination;

import java.time.Duration;
import java.util.Objects;
import org.chivetally.placement.PlacementPolicy;
import org.chivetally.placement.QuarantineSettings;

/**
 * Settings of a coordinator's decisions.
 *
 * @param failureDomain where this coordinator runs
 * @param decisionLines whether each decision is written as a line; costs processor time
 */
public record DispatchSettings(
        String failureDomain,
        boolean decisionLines,
        PlacementPolicy policy,
        Fencing fencing,
        Queues queues,
        Retries retries,
        Speculation speculation,
        QuarantineSettings quarantine) {
    /** Refuses missing parts. */
    public DispatchSettings {
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(policy, "policy");
        Objects.requireNonNull(fencing, "fencing");
        Objects.requireNonNull(queues, "queues");
        Objects.requireNonNull(retries, "retries");
        Objects.requireNonNull(speculation, "speculation");
        Objects.requireNonNull(quarantine, "quarantine");
    }

    /** Returns the settings in use where nobody chose others. */
    public static DispatchSettings defaults(String failureDomain) {
        return new DispatchSettings(
                failureDomain,
                true,
                new PlacementPolicy.LeastLoadedCredits(0),
                Fencing.defaults(),
                Queues.defaults(),
                Retries.defaults(),
                Speculation.defaults(),
                QuarantineSettings.defaults());
    }

    /**
     * Times on which single starts rest; the same at agents and coordinators.
     *
     * @param maximumTicketAge age from which agents refuse a ticket
     * @param ticketFreshness oldest ticket this coordinator starts with, since it arrived; shorter than the former
     * @param clockMargin added to every wait that must outlast an agent's clock, for clocks that run at other speeds
     * @param inquiryRepeat time after which a question about attempts in doubt is asked again
     * @param takeoverPatience how long a takeover of work that must run once waits for agents that do not answer
     * @param agentRetention how long agents remember ended attempts; after it, "not known here" proves nothing
     * @param goneRetention how long a dead incarnation counts as one that may have run a job's tasks
     */
    public record Fencing(
            Duration maximumTicketAge,
            Duration ticketFreshness,
            Duration clockMargin,
            Duration inquiryRepeat,
            Duration takeoverPatience,
            Duration agentRetention,
            Duration goneRetention) {
        private static final int MARGIN_SHARE = 100;

        /**
         * Refuses a freshness that an agent would take for stale, and a memory of agents so short that an attempt could
         * be forgotten while its start may still arrive.
         */
        public Fencing {
            if (ticketFreshness.compareTo(maximumTicketAge) >= 0) {
                throw new IllegalArgumentException("ticketFreshness must be shorter than maximumTicketAge");
            }
            if (agentRetention.compareTo(maximumTicketAge.multipliedBy(2)) < 0) {
                throw new IllegalArgumentException("agentRetention must be at least twice maximumTicketAge");
            }
        }

        /** Returns the times in use where nobody chose others. */
        public static Fencing defaults() {
            return new Fencing(
                    Duration.ofSeconds(3),
                    Duration.ofSeconds(2),
                    Duration.ofMillis(100),
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(3),
                    Duration.ofMinutes(10),
                    Duration.ofMinutes(10));
        }

        /**
         * Returns how long ago at most a job may have been claimed, in nanoseconds, for what agents and this process
         * don't know of it to be proof; a hundredth is left for clocks that run at other speeds.
         */
        long rememberedNanos() {
            long shorter = Math.min(agentRetention.toNanos(), goneRetention.toNanos());
            return shorter - shorter / MARGIN_SHARE;
        }

        /** Returns how long after its arrival a ticket may still let a start through, in nanoseconds. */
        long ticketEndNanos() {
            return maximumTicketAge.plus(clockMargin).toNanos();
        }
    }

    /**
     * Bounds and order of what waits.
     *
     * @param maximumWaiting most tasks accepted and not started, over all teams
     * @param agentQueue longest wait of a start in an agent's own queue
     * @param smallJobTasks jobs of up to this many tasks go before larger ones of their team, three times of four
     * @param shedding whether jobs that can't be done by their deadline are refused early
     * @param loadRefreshAge age of a report from which a full agent is asked again while tasks wait
     */
    public record Queues(
            int maximumWaiting, Duration agentQueue, int smallJobTasks, boolean shedding, Duration loadRefreshAge) {
        /** Returns the bounds in use where nobody chose others. */
        public static Queues defaults() {
            return new Queues(50_000, Duration.ofMillis(250), 16, true, Duration.ofMillis(150));
        }
    }

    /**
     * Limits of retries.
     *
     * @param share retries allowed for each first attempt
     * @param minimumPerSecond retries allowed each second whatever the number of first attempts
     * @param backoffBase largest wait before the first retry
     * @param backoffLimit largest wait before any retry
     */
    public record Retries(double share, double minimumPerSecond, Duration backoffBase, Duration backoffLimit) {
        /** Returns the limits in use where nobody chose others. */
        public static Retries defaults() {
            return new Retries(0.1, 10, Duration.ofMillis(10), Duration.ofSeconds(1));
        }
    }

    /**
     * Limits of second copies.
     *
     * @param share second copies allowed for each start
     * @param factor a task is a straggler when it runs this many times the 99th percentile
     * @param minimumSamples run times to be seen before anything counts as a straggler
     */
    public record Speculation(double share, double factor, int minimumSamples) {
        /** Returns the limits in use where nobody chose others. */
        public static Speculation defaults() {
            return new Speculation(0.02, 2.0, 200);
        }
    }
}
