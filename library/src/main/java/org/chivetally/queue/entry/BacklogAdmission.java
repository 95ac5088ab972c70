package org.chivetally.queue.entry;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.chivetally.queue.Job;
import org.chivetally.queue.JobAnswer;
import org.chivetally.queue.QueueTerms;
import org.chivetally.queue.RefusalReason;
import org.chivetally.queue.placement.AdmissionPolicy;
import org.chivetally.queue.placement.EntryCapacityShare;
import org.chivetally.queue.placement.WaitingTasks;
import org.chivetally.queue.share.FairShares;
import org.chivetally.time.Timers;

/** Refuses jobs that the backlog of their service, or its evacuation, keeps from being served in time. */
final class BacklogAdmission {
    /**
     * Time after an entry's start in which no job is refused for the backlog. Agents that start with it need up to 1.5
     * s to connect and detect their minions; until then the few workers would look overloaded.
     */
    static final Duration BACKLOG_GRACE = Duration.ofSeconds(2);

    /** Retry delay while a service has only evacuated workers: operators take minutes, but may be done soon. */
    static final Duration EVACUATION_RETRY = Duration.ofSeconds(5);

    private final Timers timers;
    private final WaitingTasks waiting;
    private final ServiceShares shares;
    private final Optional<QueueShares> queueShares;
    private final InMemoryJobs inMemoryJobs;
    private final long startedAtNanos;

    /**
     * Creates the admission of an entry that starts now.
     *
     * @param waiting the entry's waiting tasks, updated by the entry
     * @param shares shares of this entry in each service's workers
     * @param queueShares the fair shares of queues; empty unless they are enabled
     * @param inMemoryJobs the jobs of which some may be refused while they wait
     */
    BacklogAdmission(
            Timers timers,
            WaitingTasks waiting,
            ServiceShares shares,
            Optional<QueueShares> queueShares,
            InMemoryJobs inMemoryJobs) {
        this.timers = timers;
        this.waiting = waiting;
        this.shares = shares;
        this.queueShares = queueShares;
        this.inMemoryJobs = inMemoryJobs;
        this.startedAtNanos = timers.nanos();
    }

    /** Returns the refusal of a new job; empty if it is accepted. */
    Optional<JobAnswer.Refused> refuse(Job job) {
        String service = job.specification().terms().service();
        if (shares.isEvacuated(service)) {
            return Optional.of(new JobAnswer.Refused(RefusalReason.EVACUATED, EVACUATION_RETRY));
        }
        Optional<Duration> refusal = isInBacklogGrace() ? Optional.empty() : refuseForBacklog(job);
        if (refusal.isEmpty()) {
            shares.recordArrival(job.specification());
        }
        return refusal.map(retry -> new JobAnswer.Refused(RefusalReason.BACKLOG, retry));
    }

    private Optional<Duration> refuseForBacklog(Job job) {
        if (queueShares.isPresent()) {
            return queueShares.get().refuse(job);
        }
        QueueTerms terms = job.specification().terms();
        long ahead = waiting.workAhead(terms.service(), terms.priority());
        return AdmissionPolicy.refuse(
                job, timers.nanos(), ahead, shares.of(terms.service()).backlogMillicores());
    }

    /**
     * Returns the retry delay for the caller of an accepted job that is refused before any of its tasks has started.
     */
    Duration retryAfter(Job job) {
        return queueShares.isPresent() ? queueShares.get().retryAfterRefusal(job) : InMemoryJobs.RETRY_AFTER;
    }

    private boolean isInBacklogGrace() {
        return timers.nanos() - startedAtNanos < BACKLOG_GRACE.toNanos();
    }

    /**
     * Refuses waiting jobs that can no longer be served in time.
     *
     * @param now the time, in nanoseconds of the monotonic clock
     */
    void refuseUnservable(long now) {
        inMemoryJobs.refuseTooLate();
        if (isInBacklogGrace()) {
            return;
        }
        for (String service : waiting.services()) {
            EntryCapacityShare share = shares.of(service);
            if (share.capacityMillicores() > 0) {
                refuseDeprioritized(service, waiting.unservableJobs(service, share.spareMillicores(), now));
            }
        }
    }

    /** Refuses jobs that would wait too long behind others, unless their queue's share covers its demand. */
    private void refuseDeprioritized(String service, List<Job> deprioritized) {
        if (deprioritized.isEmpty()) {
            return;
        }
        Optional<FairShares> fairShares = queueShares.map(all -> all.fairShares(service));
        for (Job job : deprioritized) {
            boolean isCoveredByShare = fairShares.isPresent()
                    && fairShares.get().isSatisfied(job.specification().terms().queue());
            if (!isCoveredByShare) {
                inMemoryJobs.refuseDeprioritized(job);
            }
        }
    }
}
