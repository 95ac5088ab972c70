package org.chivetally.queue.agent;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.chivetally.logging.EventLine;
import org.chivetally.queue.agent.MinionPort.PollRequest;
import org.chivetally.queue.agent.MinionPort.PollResult;

/**
 * The incarnations that were announced for one minion. Rejects announcements of incarnations that have been replaced,
 * and verifies that a newly announced one exists.
 */
final class IncarnationHistory {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final MinionPort port;
    /** Start time of the latest replaced incarnation by id, in milliseconds since 1970; 0 if it reported none. */
    private final Map<String, Long> newestReplaced = new HashMap<>();

    IncarnationHistory(MinionPort port) {
        this.port = port;
    }

    /** Tells whether no incarnation has been replaced yet. */
    boolean isFirstIncarnation() {
        return newestReplaced.isEmpty();
    }

    /** Tells whether an incarnation with this id has been replaced, so that a message with the id may refer to it. */
    boolean hasEarlierIncarnation(String id) {
        return newestReplaced.containsKey(id);
    }

    /**
     * Tells whether an announcement is outdated because it was delayed: its incarnation has been replaced, or the
     * current one has sent a later announcement.
     */
    boolean isStale(MinionState state, MinionState known) {
        if (isReplaced(state.incarnation())) {
            return logStale(state, "replaced");
        }
        if (known == null) {
            return false;
        }
        if (state.incarnation().isEarlierThan(known.incarnation())) {
            return logStale(state, "earlier start");
        }
        boolean outOfOrder =
                state.sequence() < known.sequence() && state.incarnation().matches(known.incarnation());
        return outOfOrder && logStale(state, "earlier sequence");
    }

    private boolean isReplaced(Incarnation incarnation) {
        Long replacedAtMillis = newestReplaced.get(incarnation.id());
        return replacedAtMillis != null && incarnation.startedAtMillis() <= replacedAtMillis;
    }

    private static boolean logStale(MinionState state, String reason) {
        EventLine.of("minion-announcement-old")
                .with("minion", state.incarnation().name())
                .with("sequence", state.sequence())
                .with("reason", reason)
                .log(LOGGER.atInfo());
        return true;
    }

    /** Records that an incarnation is gone. */
    void markReplaced(Incarnation incarnation) {
        newestReplaced.merge(incarnation.id(), incarnation.startedAtMillis(), Math::max);
    }

    /** Discards the replaced incarnations with an id, as an earlier one than those turned out to be running. */
    void remove(String id) {
        newestReplaced.remove(id);
    }

    /**
     * Polls an announced incarnation before it replaces one that answers. An announcement may come from another sender
     * and name a minion that doesn't exist; accepted without this check, it would end every run of the working minion.
     *
     * @param state the announced state
     * @param token the agent's fencing token, which is refused by a minion that has seen a higher one
     * @param accept receives the state once the incarnation has answered
     */
    void verify(MinionState state, long token, Consumer<MinionState> accept) {
        PollRequest request = new PollRequest(token, 0, OptionalLong.empty(), Duration.ZERO);
        port.poll(state.minionId(), request, result -> {
            boolean isPresent = result instanceof PollResult.Lists lists
                            && state.incarnation().mayHaveStartedAt(lists.startedAtMillis())
                    || result instanceof PollResult.Refused refused && refused.fenced();
            if (isPresent && !isReplaced(state.incarnation())) {
                accept.accept(state);
                return;
            }
            EventLine.of("minion-unconfirmed")
                    .with("minion", state.incarnation().name())
                    .with("service", state.service())
                    .with("answer", result.getClass().getSimpleName())
                    .log(LOGGER.atWarning());
        });
    }
}
