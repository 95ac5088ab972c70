package org.chivetally.queue.agent;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.chivetally.logging.EventLine;
import org.chivetally.queue.agent.MinionPort.LookAnswer;
import org.chivetally.queue.agent.MinionPort.LookOrder;

/** The boots that were announced for one minion: which have been replaced, and whether a new one is there. */
final class AnnouncedBoots {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final MinionPort port;
    private final Set<String> past = new HashSet<>();

    AnnouncedBoots(MinionPort port) {
        this.port = port;
    }

    /** Tells whether none has been replaced so far. */
    boolean isFirst() {
        return past.isEmpty();
    }

    /** Tells whether a boot has been replaced. An announcement of it was held up, and says nothing any more. */
    boolean isPast(MinionState state) {
        boolean replaced = past.contains(state.boot());
        if (replaced) {
            EventLine.of("minion-announcement-old").with("minion", state.boot()).log(LOGGER.atInfo());
        }
        return replaced;
    }

    /** Notes that a boot is gone for good. */
    void replaced(String boot) {
        past.add(boot);
    }

    /**
     * Asks whether an announced boot is there before it replaces one that answers. An announcement can come from
     * somebody else and name a minion that there never was; taken at its word, every run of the one that works would be
     * lost.
     *
     * @param token the agent's own, which a boot that has seen a higher one refuses
     * @param accept told of the boot once it has answered for itself
     */
    void confirm(MinionState state, long token, Consumer<MinionState> accept) {
        LookOrder order = new LookOrder(token, 0, OptionalLong.empty(), Duration.ZERO);
        port.look(state.boot(), order, answer -> {
            boolean isThere = answer instanceof LookAnswer.Lists
                    || answer instanceof LookAnswer.Refused refused && refused.fenced();
            if (isThere && !past.contains(state.boot())) {
                accept.accept(state);
                return;
            }
            EventLine.of("minion-unconfirmed")
                    .with("minion", state.boot())
                    .with("service", state.service())
                    .with("answer", answer.getClass().getSimpleName())
                    .log(LOGGER.atWarning());
        });
    }
}
