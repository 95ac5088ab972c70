package org.chivetally.entry.dispatch;

import java.util.List;
import org.chivetally.coordination.DispatchEffect;
import org.chivetally.coordination.DispatchEvent;

/** The decisions of a coordinator, called from one thread at a time. */
@FunctionalInterface
public interface DispatchCore {
    /** Decides about one event; effects are carried out in order. */
    List<DispatchEffect> handle(DispatchEvent event, long nowNanos);
}
