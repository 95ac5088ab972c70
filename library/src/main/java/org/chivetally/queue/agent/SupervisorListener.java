package org.chivetally.queue.agent;

import java.util.List;
import java.util.Set;

/** What a {@link RunSupervisor} asks of and tells to the process around it. */
public interface SupervisorListener {
    /** Tells whether these owners have been heard lately, so that their runs may go on. */
    boolean mayRenew(Set<RunOwner> owners);

    /** Runs have ended; their owners are to be told. */
    void ended(List<OwnedEnd> ends);

    /** Another minion, or none, is here now, or it has said that it leaves. */
    void minionChanged();

    /**
     * The capacity has changed while the minion runs.
     *
     * @param shrunk whether any part of it is smaller now
     */
    void capacityChanged(boolean shrunk);

    /** The free room, or whether starts are taken, has changed. */
    void roomChanged();
}
