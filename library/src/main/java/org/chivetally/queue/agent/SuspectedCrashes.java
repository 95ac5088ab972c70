package org.chivetally.queue.agent;

import java.util.ArrayList;
import java.util.List;
import org.chivetally.queue.RunOutcome;

/**
 * Runs whose lease has ended while the minion's address refused connections. They are kept until the minion answers
 * again, since only then it is known whether it crashed under them, and are part of each inventory until then, so that
 * a new owner of their jobs learns of them.
 */
final class SuspectedCrashes {
    private final List<OwnedEnd> unresolved = new ArrayList<>();

    void add(OwnedEnd end) {
        unresolved.add(end);
    }

    /** Returns the ends that are not resolved yet. */
    List<OwnedEnd> unresolved() {
        return List.copyOf(unresolved);
    }

    /** Removes all ends. Returns them with the outcome that has turned out. */
    List<OwnedEnd> resolve(RunOutcome outcome) {
        List<OwnedEnd> resolved = new ArrayList<>();
        for (OwnedEnd suspected : unresolved) {
            EndedRun end = suspected.end();
            resolved.add(new OwnedEnd(
                    suspected.owner(), new EndedRun(end.incarnation(), 0, end.run(), outcome, end.checkpoint())));
        }
        unresolved.clear();
        return resolved;
    }
}
