package org.chivetally.queue.agent;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.chivetally.logging.EventLine;
import org.chivetally.queue.agent.MinionPort.LookAnswer;
import org.chivetally.queue.agent.MinionPort.LookOrder;

/** The incarnations that were announced for one minion: which have been replaced, and whether a new one is there. */
final class AnnouncedBoots {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final MinionPort port;
    /** Newest start that was replaced, by id; 0 for an incarnation that told none. */
    private final Map<String, Long> past = new HashMap<>();

    AnnouncedBoots(MinionPort port) {
        this.port = port;
    }

    /** Tells whether none has been replaced so far. */
    boolean isFirst() {
        return past.isEmpty();
    }

    /** Tells whether an earlier incarnation had the same id, so that a message which names the id may be about it. */
    boolean isReused(String id) {
        return past.containsKey(id);
    }

    /**
     * Tells whether an announcement was held up and says nothing any more: its incarnation has been replaced, or the
     * one that is known has said something newer.
     */
    boolean isOld(MinionState state, MinionState known) {
        if (isPast(state.incarnation())) {
            return logOld(state, "replaced");
        }
        if (known == null) {
            return false;
        }
        if (state.incarnation().isEarlierThan(known.incarnation())) {
            return logOld(state, "earlier start");
        }
        boolean outOfOrder =
                state.sequence() < known.sequence() && state.incarnation().isSame(known.incarnation());
        return outOfOrder && logOld(state, "earlier sequence");
    }

    private boolean isPast(Incarnation incarnation) {
        Long newest = past.get(incarnation.id());
        return newest != null && incarnation.bornAtMillis() <= newest;
    }

    private static boolean logOld(MinionState state, String reason) {
        EventLine.of("minion-announcement-old")
                .with("minion", state.incarnation().name())
                .with("sequence", state.sequence())
                .with("reason", reason)
                .log(LOGGER.atInfo());
        return true;
    }

    /** Notes that an incarnation is gone for good. */
    void replaced(Incarnation incarnation) {
        past.merge(incarnation.id(), incarnation.bornAtMillis(), Math::max);
    }

    /** Forgets what was replaced under an id, as an earlier start than that is there after all. */
    void forget(String id) {
        past.remove(id);
    }

    /**
     * Asks whether an announced incarnation is there before it replaces one that answers. An announcement can come from
     * somebody else and name a minion that there never was; taken at its word, every run of the one that works would be
     * lost.
     *
     * @param token the agent's own, which a boot that has seen a higher one refuses
     * @param accept told of the incarnation once it has answered for itself
     */
    void confirm(MinionState state, long token, Consumer<MinionState> accept) {
        LookOrder order = new LookOrder(token, 0, OptionalLong.empty(), Duration.ZERO);
        port.look(state.boot(), order, answer -> {
            boolean isThere = answer instanceof LookAnswer.Lists lists
                            && state.incarnation().isBornAs(lists.bornAtMillis())
                    || answer instanceof LookAnswer.Refused refused && refused.fenced();
            if (isThere && !isPast(state.incarnation())) {
                accept.accept(state);
                return;
            }
            EventLine.of("minion-unconfirmed")
                    .with("minion", state.incarnation().name())
                    .with("service", state.service())
                    .with("answer", answer.getClass().getSimpleName())
                    .log(LOGGER.atWarning());
        });
    }
}
