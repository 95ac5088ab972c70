package org.chivetally.entry.dispatch;

import java.util.List;
import java.util.Optional;
import org.chivetally.coordination.DispatchEffect;
import org.chivetally.coordination.DispatchEvent;
import org.chivetally.coordination.DispatchSnapshot;

/** Scheduling decisions of a coordinator; called from one thread at a time. */
public interface DispatchCore {
    /** Handles one event and returns its effects in order of execution; {@code nowNanos} is the monotonic time. */
    List<DispatchEffect> handle(DispatchEvent event, long nowNanos);

    /** Returns the current task counts and agents; empty if the implementation keeps none. */
    default Optional<DispatchSnapshot> snapshot() {
        return Optional.empty();
    }
}
