package org.chivetally.queue.agent;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Allows or denies extensions of the lease as a test demands, and records the reported ends. */
class ScriptedListener implements SupervisorListener {
    final List<OwnedEnd> reportedEnds = new ArrayList<>();
    final List<Boolean> capacityShrunk = new ArrayList<>();
    boolean mayRenew = true;

    @Override
    public boolean mayRenew(Set<RunOwner> owners) {
        return mayRenew;
    }

    @Override
    public void ended(List<OwnedEnd> ends) {
        reportedEnds.addAll(ends);
    }

    @Override
    public void minionChanged() {}

    @Override
    public void capacityChanged(boolean shrunk) {
        capacityShrunk.add(shrunk);
    }

    @Override
    public void roomChanged() {}
}
