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

/** A minion in memory that keeps leases and lists, and whose answers a test can hold back. */
public final class FakeMinion implements MinionPort {
    public final Map<RunKey, StartRequest> running = new LinkedHashMap<>();
    public final TreeMap<Long, ListedEnd> ends = new TreeMap<>();
    public final List<StartRequest> starts = new ArrayList<>();
    public final List<RunKey> stops = new ArrayList<>();

    /** Runs that were started here, once for each start. */
    public final List<RunKey> executedStarts = new ArrayList<>();

    public final List<PollRequest> polls = new ArrayList<>();

    /** Runs whose ends were acknowledged before any lease ended after them, so that they count for good. */
    public final List<ListedEnd> acknowledgedUnderLease = new ArrayList<>();

    private final Map<Long, Long> endedAtMillis = new HashMap<>();
    private long lastLeaseEndMillis = Long.MIN_VALUE;
    private final ManualTimers timers;
    private final List<RunKey> stoppedRuns = new ArrayList<>();
    private long leaseEndMillis;
    private long sequence;
    /** Nobody listens at the minion's address. */
    public boolean down;

    public boolean unresponsive;
    public boolean startsUnanswered;

    /** How many of the next looks get no answer. */
    public int pollsUnanswered;

    public boolean startsDelayed;

    /** Stops don't reach the minion, so that runs end by their lease alone. */
    public boolean stopsLost;

    /** Boots that are named in calls and were never there. */
    public final List<String> absentIds = new ArrayList<>();

    /** Start of the incarnation that lists itself, in milliseconds since 1970; 0 for a minion that tells none. */
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

    /** Starts again under the same id: nothing runs, and everything counts from the beginning. */
    public void restart(long born) {
        restarts++;
        startedAtMillis = born;
        clockOffsetMillis = timers.nanos() / 1_000_000;
        token = 0;
        sequence = 0;
        leaseEndMillis = 0;
        lastLeaseEndMillis = Long.MIN_VALUE;
        running.clear();
        ends.clear();
        endedAtMillis.clear();
        stoppedRuns.clear();
        down = false;
    }

    public long startedAtMillis() {
        return startedAtMillis;
    }

    /** Tells whether a caller's token is too low; notes it if it isn't. */
    private boolean isFenced(long callers) {
        boolean fenced = callers < token;
        token = Math.max(token, callers);
        return fenced;
    }

    public boolean isLeaseExpired() {
        return clock() > leaseEndMillis;
    }

    @Override
    public void start(String boot, StartRequest order, Consumer<StartResult> answer) {
        starts.add(order);
        if (down) {
            timers.after(Duration.ofMillis(1), () -> answer.accept(new StartResult.Unreachable("can't connect")));
            return;
        }
        if (startsDelayed || unresponsive) {
            timers.after(Duration.ofMillis(350), () -> answer.accept(new StartResult.Unknown("no answer in time")));
            return;
        }
        execute(order);
        if (startsUnanswered) {
            timers.after(Duration.ofMillis(350), () -> answer.accept(new StartResult.Unknown("no answer in time")));
            return;
        }
        answer.accept(new StartResult.Started(clock()));
    }

    /** Carries a start out, as a minion does late with one that got no answer. */
    public void execute(StartRequest order) {
        if (isFenced(order.token()) || order.leaseEndMillis() < clock() || stoppedRuns.contains(order.run())) {
            return;
        }
        extendLease(Math.min(order.leaseEndMillis(), clock() + MinionLease.MAXIMUM_MILLIS));
        running.put(order.run(), order);
        executedStarts.add(order.run());
    }

    private void extendLease(long untilMillis) {
        if (isLeaseExpired()) {
            lastLeaseEndMillis = leaseEndMillis;
        }
        leaseEndMillis = Math.max(leaseEndMillis, untilMillis);
    }

    public void end(RunKey run, RunOutcome outcome) {
        running.remove(run);
        sequence++;
        ends.put(sequence, new ListedEnd(sequence, run, outcome, ""));
        endedAtMillis.put(sequence, clock());
    }

    private void acknowledge(long through) {
        Map<Long, ListedEnd> forgotten = ends.headMap(through, true);
        for (ListedEnd end : forgotten.values()) {
            long ended = endedAtMillis.get(end.sequence());
            boolean lapsed = lastLeaseEndMillis >= ended || isLeaseExpired() && leaseEndMillis >= ended;
            if (!lapsed) {
                acknowledgedUnderLease.add(end);
            }
        }
        forgotten.clear();
    }

    @Override
    public void stop(String boot, RunKey run, long callersToken, Consumer<Boolean> answer) {
        stops.add(run);
        if (unresponsive || stopsLost) {
            timers.after(Duration.ofMillis(350), () -> answer.accept(false));
            return;
        }
        if (isFenced(callersToken)) {
            answer.accept(false);
            return;
        }
        stoppedRuns.add(run);
        if (running.containsKey(run)) {
            end(run, RunOutcome.STOPPED);
        }
        answer.accept(true);
    }

    @Override
    public void poll(String boot, PollRequest order, Consumer<PollResult> answer) {
        polls.add(order);
        if (down) {
            timers.after(Duration.ofMillis(1), () -> answer.accept(new PollResult.Unreachable("can't connect")));
            return;
        }
        if (absentIds.contains(boot)) {
            timers.after(Duration.ofMillis(1), () -> answer.accept(new PollResult.Refused("another boot", false)));
            return;
        }
        if (unresponsive || pollsUnanswered > 0) {
            pollsUnanswered--;
            timers.after(
                    order.maximumWait().plusMillis(150),
                    () -> answer.accept(new PollResult.Unknown("no answer in time")));
            return;
        }
        if (isFenced(order.token())) {
            timers.after(Duration.ofMillis(1), () -> answer.accept(new PollResult.Refused("fenced", true)));
            return;
        }
        acknowledge(order.acknowledgedThrough());
        order.leaseEndMillis().ifPresent(this::extendLease);
        int life = restarts;
        // Answered a little later, as over a socket; ends that come meanwhile are in it.
        timers.after(
                Duration.ofMillis(order.maximumWait().isZero() ? 1 : 10),
                () -> answer.accept(
                        down || life != restarts
                                ? new PollResult.Unknown("connection reset")
                                : new PollResult.Lists(
                                        startedAtMillis,
                                        clock(),
                                        List.copyOf(running.keySet()),
                                        List.copyOf(ends.values()))));
    }
}
