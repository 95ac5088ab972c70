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
public final class ModelMinion implements MinionPort {
    public final Map<RunKey, StartOrder> running = new LinkedHashMap<>();
    public final TreeMap<Long, ListedEnd> ends = new TreeMap<>();
    public final List<StartOrder> starts = new ArrayList<>();
    public final List<RunKey> stops = new ArrayList<>();

    /** Runs that were started here, once for each start. */
    public final List<RunKey> carriedOut = new ArrayList<>();

    public final List<LookOrder> looks = new ArrayList<>();

    /** Runs whose ends were acknowledged before any lease ended after them, so that they count for good. */
    public final List<ListedEnd> noted = new ArrayList<>();

    private final Map<Long, Long> endedAtMillis = new HashMap<>();
    private long lapsedAtMillis = Long.MIN_VALUE;
    private final ManualTimers timers;
    private final List<RunKey> excluded = new ArrayList<>();
    private long leaseUntilMillis;
    private long sequence;
    /** Nobody listens at the minion's address. */
    public boolean down;

    public boolean silent;
    public boolean startsUnanswered;

    /** How many of the next looks get no answer. */
    public int looksUnanswered;

    public boolean startsHeldUp;

    /** Stops don't reach the minion, so that runs end by their lease alone. */
    public boolean stopsLost;

    /** Boots that are named in calls and were never there. */
    public final List<String> absentBoots = new ArrayList<>();

    /** Start of the incarnation that lists itself, in milliseconds since 1970; 0 for a minion that tells none. */
    private long bornAtMillis;

    private int lives;
    private long clockAtStart;
    private long token;

    public ModelMinion(ManualTimers timers) {
        this.timers = timers;
    }

    public long clock() {
        return timers.nanos() / 1_000_000 - clockAtStart;
    }

    /** Starts again under the same id: nothing runs, and everything counts from the beginning. */
    public void reborn(long born) {
        lives++;
        bornAtMillis = born;
        clockAtStart = timers.nanos() / 1_000_000;
        token = 0;
        sequence = 0;
        leaseUntilMillis = 0;
        lapsedAtMillis = Long.MIN_VALUE;
        running.clear();
        ends.clear();
        endedAtMillis.clear();
        excluded.clear();
        down = false;
    }

    public long born() {
        return bornAtMillis;
    }

    /** Tells whether a caller's token is too low; notes it if it isn't. */
    private boolean isFenced(long callers) {
        boolean fenced = callers < token;
        token = Math.max(token, callers);
        return fenced;
    }

    public boolean isLapsed() {
        return clock() > leaseUntilMillis;
    }

    @Override
    public void start(String boot, StartOrder order, Consumer<StartAnswer> answer) {
        starts.add(order);
        if (down) {
            timers.after(Duration.ofMillis(1), () -> answer.accept(new StartAnswer.Unreachable("can't connect")));
            return;
        }
        if (startsHeldUp || silent) {
            timers.after(Duration.ofMillis(350), () -> answer.accept(new StartAnswer.Unknown("no answer in time")));
            return;
        }
        carryOut(order);
        if (startsUnanswered) {
            timers.after(Duration.ofMillis(350), () -> answer.accept(new StartAnswer.Unknown("no answer in time")));
            return;
        }
        answer.accept(new StartAnswer.Started(clock()));
    }

    /** Carries a start out, as a minion does late with one that got no answer. */
    public void carryOut(StartOrder order) {
        if (isFenced(order.token()) || order.leaseUntilMillis() < clock() || excluded.contains(order.run())) {
            return;
        }
        lease(Math.min(order.leaseUntilMillis(), clock() + MinionLease.LENGTH_MILLIS));
        running.put(order.run(), order);
        carriedOut.add(order.run());
    }

    private void lease(long untilMillis) {
        if (isLapsed()) {
            lapsedAtMillis = leaseUntilMillis;
        }
        leaseUntilMillis = Math.max(leaseUntilMillis, untilMillis);
    }

    public void end(RunKey run, RunOutcome outcome) {
        running.remove(run);
        sequence++;
        ends.put(sequence, new ListedEnd(sequence, run, outcome, ""));
        endedAtMillis.put(sequence, clock());
    }

    private void acknowledged(long through) {
        Map<Long, ListedEnd> forgotten = ends.headMap(through, true);
        for (ListedEnd end : forgotten.values()) {
            long ended = endedAtMillis.get(end.sequence());
            boolean lapsed = lapsedAtMillis >= ended || isLapsed() && leaseUntilMillis >= ended;
            if (!lapsed) {
                noted.add(end);
            }
        }
        forgotten.clear();
    }

    @Override
    public void stop(String boot, RunKey run, long callersToken, Consumer<Boolean> answer) {
        stops.add(run);
        if (silent || stopsLost) {
            timers.after(Duration.ofMillis(350), () -> answer.accept(false));
            return;
        }
        if (isFenced(callersToken)) {
            answer.accept(false);
            return;
        }
        excluded.add(run);
        if (running.containsKey(run)) {
            end(run, RunOutcome.STOPPED);
        }
        answer.accept(true);
    }

    @Override
    public void look(String boot, LookOrder order, Consumer<LookAnswer> answer) {
        looks.add(order);
        if (down) {
            timers.after(Duration.ofMillis(1), () -> answer.accept(new LookAnswer.Unreachable("can't connect")));
            return;
        }
        if (absentBoots.contains(boot)) {
            timers.after(Duration.ofMillis(1), () -> answer.accept(new LookAnswer.Refused("another boot", false)));
            return;
        }
        if (silent || looksUnanswered > 0) {
            looksUnanswered--;
            timers.after(
                    order.longestWait().plusMillis(150),
                    () -> answer.accept(new LookAnswer.Unknown("no answer in time")));
            return;
        }
        if (isFenced(order.token())) {
            timers.after(Duration.ofMillis(1), () -> answer.accept(new LookAnswer.Refused("fenced", true)));
            return;
        }
        acknowledged(order.keptThrough());
        order.leaseUntilMillis().ifPresent(this::lease);
        int life = lives;
        // Answered a little later, as over a socket; ends that come meanwhile are in it.
        timers.after(
                Duration.ofMillis(order.longestWait().isZero() ? 1 : 10),
                () -> answer.accept(
                        down || life != lives
                                ? new LookAnswer.Unknown("connection reset")
                                : new LookAnswer.Lists(
                                        bornAtMillis,
                                        clock(),
                                        List.copyOf(running.keySet()),
                                        List.copyOf(ends.values()))));
    }
}
