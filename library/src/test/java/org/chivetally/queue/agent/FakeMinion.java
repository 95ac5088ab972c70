package org.chivetally.queue.agent;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.chivetally.queue.ManualTimers;
import org.chivetally.queue.RunKey;
import org.chivetally.queue.RunOutcome;

/** A minion in memory with leases and lists. Tests can delay or drop its answers. */
public final class FakeMinion implements MinionPort {
    public final Map<RunKey, StartRequest> running = new LinkedHashMap<>();
    public final TreeMap<Long, ListedEnd> ends = new TreeMap<>();
    public final List<StartRequest> starts = new ArrayList<>();
    public final List<RunKey> stops = new ArrayList<>();

    /** The run of each start that was executed. */
    public final List<RunKey> executedStarts = new ArrayList<>();

    public final List<PollRequest> polls = new ArrayList<>();

    /** Ends that were acknowledged before any lease expired after them, so that they are final. */
    public final List<ListedEnd> acknowledgedUnderLease = new ArrayList<>();

    private final Map<Long, Long> endedAtMillis = new HashMap<>();
    private long expiredLeaseEndMillis = Long.MIN_VALUE;
    private final ManualTimers timers;
    private final List<RunKey> stoppedRuns = new ArrayList<>();
    private long leaseEndMillis;
    private long sequence;
    /** Whether the minion's address refuses connections. */
    public boolean down;

    public boolean unresponsive;
    public boolean startsUnanswered;

    /** Maximum number of ends in one answer. */
    public int maximumListedEnds = Integer.MAX_VALUE;

    /** Number of following polls that are not answered. */
    public int pollsUnanswered;

    public boolean startsDelayed;

    /** Whether stops don't reach the minion, so that runs end only by their lease. */
    public boolean stopsLost;

    /** Ids of minions that never existed; calls to them are refused. */
    public final List<String> absentIds = new ArrayList<>();

    /** Start time that the incarnation reports, in milliseconds since 1970; 0 if it reports none. */
    private long startedAtMillis;

    private int restarts;
    private long clockOffsetMillis;
    private long token;

    public FakeMinion(ManualTimers timers) {
        this.timers = timers;
    }

    public long clock() {
        return timers.nanos() / 1_000_000 - clockOffsetMillis;
    }

    /** Restarts under the same id, without runs and with all counters reset. */
    public void restart(long newStartedAtMillis) {
        restarts++;
        startedAtMillis = newStartedAtMillis;
        clockOffsetMillis = timers.nanos() / 1_000_000;
        token = 0;
        sequence = 0;
        leaseEndMillis = 0;
        expiredLeaseEndMillis = Long.MIN_VALUE;
        running.clear();
        ends.clear();
        endedAtMillis.clear();
        stoppedRuns.clear();
        down = false;
    }

    public long startedAtMillis() {
        return startedAtMillis;
    }

    /** Tells whether a caller's token is too low; records it otherwise. */
    private boolean isFenced(long callerToken) {
        boolean fenced = callerToken < token;
        token = Math.max(token, callerToken);
        return fenced;
    }

    public boolean isLeaseExpired() {
        return clock() > leaseEndMillis;
    }

    @Override
    public void start(String minionId, StartRequest request, Consumer<StartResult> callback) {
        starts.add(request);
        if (down) {
            timers.after(Duration.ofMillis(1), () -> callback.accept(new StartResult.NotSent("can't connect")));
            return;
        }
        if (startsDelayed || unresponsive) {
            timers.after(Duration.ofMillis(350), () -> callback.accept(new StartResult.Unknown("no answer in time")));
            return;
        }
        execute(request);
        if (startsUnanswered) {
            timers.after(Duration.ofMillis(350), () -> callback.accept(new StartResult.Unknown("no answer in time")));
            return;
        }
        callback.accept(new StartResult.Started(clock()));
    }

    /** Executes a start, also late, as a minion may do with one that it didn't answer. */
    public void execute(StartRequest request) {
        if (isFenced(request.token()) || request.leaseEndMillis() < clock() || stoppedRuns.contains(request.run())) {
            return;
        }
        extendLease(Math.min(request.leaseEndMillis(), clock() + MinionLease.MAXIMUM_MILLIS));
        running.put(request.run(), request);
        executedStarts.add(request.run());
    }

    private void extendLease(long endMillis) {
        if (isLeaseExpired()) {
            expiredLeaseEndMillis = leaseEndMillis;
        }
        leaseEndMillis = Math.max(leaseEndMillis, endMillis);
    }

    public void end(RunKey run, RunOutcome outcome) {
        running.remove(run);
        sequence++;
        ends.put(sequence, new ListedEnd(sequence, run, outcome, ""));
        endedAtMillis.put(sequence, clock());
    }

    private void acknowledge(long through) {
        Map<Long, ListedEnd> discarded = ends.headMap(through, true);
        for (ListedEnd end : discarded.values()) {
            long endMillis = endedAtMillis.get(end.sequence());
            boolean expired = expiredLeaseEndMillis >= endMillis || isLeaseExpired() && leaseEndMillis >= endMillis;
            if (!expired) {
                acknowledgedUnderLease.add(end);
            }
        }
        discarded.clear();
    }

    @Override
    public void stop(String minionId, RunKey run, long callerToken, Consumer<Boolean> callback) {
        stops.add(run);
        if (unresponsive || stopsLost) {
            timers.after(Duration.ofMillis(350), () -> callback.accept(false));
            return;
        }
        if (isFenced(callerToken)) {
            callback.accept(false);
            return;
        }
        stoppedRuns.add(run);
        if (running.containsKey(run)) {
            end(run, RunOutcome.STOPPED);
        }
        callback.accept(true);
    }

    @Override
    public void poll(String minionId, PollRequest request, Consumer<PollResult> callback) {
        polls.add(request);
        if (down) {
            timers.after(
                    Duration.ofMillis(1), () -> callback.accept(new PollResult.ConnectionRefused("can't connect")));
            return;
        }
        if (absentIds.contains(minionId)) {
            timers.after(Duration.ofMillis(1), () -> callback.accept(new PollResult.Refused("another id", false)));
            return;
        }
        if (unresponsive || pollsUnanswered > 0) {
            pollsUnanswered--;
            timers.after(
                    request.maximumWait().plusMillis(150),
                    () -> callback.accept(new PollResult.Unknown("no answer in time")));
            return;
        }
        if (isFenced(request.token())) {
            timers.after(Duration.ofMillis(1), () -> callback.accept(new PollResult.Refused("fenced", true)));
            return;
        }
        acknowledge(request.acknowledgedThrough());
        request.leaseEndMillis().ifPresent(this::extendLease);
        int restartsBefore = restarts;
        // Answered a little later, as over a socket, with the ends that occur meanwhile.
        timers.after(
                Duration.ofMillis(request.maximumWait().isZero() ? 1 : 10),
                () -> callback.accept(
                        down || restartsBefore != restarts
                                ? new PollResult.Unknown("connection reset")
                                : new PollResult.Lists(
                                        startedAtMillis,
                                        clock(),
                                        List.copyOf(running.keySet()),
                                        ends.values().stream()
                                                .limit(maximumListedEnds)
                                                .toList(),
                                        ends.size() >= maximumListedEnds)));
    }
}
