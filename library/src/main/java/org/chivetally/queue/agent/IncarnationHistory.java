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

/** The incarnations that were announced for one minion: which have been replaced, and whether a new one is there. */
final class IncarnationHistory {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final MinionPort port;
    /** Newest start that was replaced, by id; 0 for an incarnation that told none. */
    private final Map<String, Long> newestReplaced = new HashMap<>();

    IncarnationHistory(MinionPort port) {
        this.port = port;
    }

    /** Tells whether none has been replaced so far. */
    boolean isEmpty() {
        return newestReplaced.isEmpty();
    }

    /** Tells whether an earlier incarnation had the same id, so that a message which names the id may be about it. */
    boolean hasEarlierIncarnation(String id) {
        return newestReplaced.containsKey(id);
    }

    /**
     * Tells whether an announcement was held up and says nothing any more: its incarnation has been replaced, or the
     * one that is known has said something newer.
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

    /** Notes that an incarnation is gone for good. */
    void markReplaced(Incarnation incarnation) {
        newestReplaced.merge(incarnation.id(), incarnation.startedAtMillis(), Math::max);
    }

    /** Forgets what was replaced under an id, as an earlier start than that is there after all. */
    void remove(String id) {
        newestReplaced.remove(id);
    }

    /**
     * Asks whether an announced incarnation is there before it replaces one that answers. An announcement can come from
     * somebody else and name a minion that there never was; taken at its word, every run of the one that works would be
     * lost.
     *
     * @param token the agent's own, which a boot that has seen a higher one refuses
     * @param accept told of the incarnation once it has answered for itself
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
