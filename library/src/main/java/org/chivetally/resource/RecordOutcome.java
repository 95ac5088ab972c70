package org.chivetally.resource;

import java.util.List;

/**
 * What the log's order decided about one write.
 *
 * @param version offset of its first record plus one
 * @param conflicts why it did not fit; empty when it took effect
 */
public record RecordOutcome(long version, List<Conflict> conflicts) {
    /** Copies the list. */
    public RecordOutcome {
        conflicts = List.copyOf(conflicts);
    }

    /** Tells whether the write took effect. */
    public boolean applied() {
        return conflicts.isEmpty();
    }

    /** Returns what the write's caller is told. */
    WriteOutcome outcomeOf(String id) {
        return applied() ? new WriteOutcome.Applied(id, version) : new WriteOutcome.Conflicting(id, conflicts);
    }
}
