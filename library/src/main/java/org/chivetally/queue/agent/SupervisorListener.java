package org.chivetally.queue.agent;

import java.util.List;
import java.util.Set;

/** What a {@link RunSupervisor} needs from its process and reports to it. */
public interface SupervisorListener {
    /** Tells whether these owners have been in contact recently, so that the lease of their runs may be extended. */
    boolean mayRenew(Set<RunOwner> owners);

    /** Runs have ended. The listener reports the ends to their owners. */
    void ended(List<OwnedEnd> ends);

    /** The minion was replaced, has departed or is about to leave. */
    void minionChanged();

    /**
     * The capacity of the running minion has changed.
     *
     * @param shrunk whether any resource was reduced
     */
    void capacityChanged(boolean shrunk);

    /** The free resources have changed, or whether starts are accepted. */
    void roomChanged();
}
