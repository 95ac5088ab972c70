package org.chivetally.entry.dispatch;

import java.util.List;
import java.util.Optional;
import org.chivetally.coordination.DispatchEffect;
import org.chivetally.coordination.DispatchEvent;
import org.chivetally.coordination.DispatchSnapshot;

/** The decisions of a coordinator, called from one thread at a time. */
public interface DispatchCore {
    /** Decides about one event; effects are carried out in order. */
    List<DispatchEffect> handle(DispatchEvent event, long nowNanos);

    /** Returns counts and agents as they are now; empty when these decisions keep none. */
    default Optional<DispatchSnapshot> snapshot() {
        return Optional.empty();
    }
}
