package org.chivetally.resource;

import java.util.Objects;

/**
 * What a process serves; immutable, replaced as a whole.
 *
 * @param endReadNanos reading of the clock when the log's end was last read; the process's start before that
 * @param usable whether the log's end was read or a snapshot was taken since the start
 */
record ResourceView(ResourceTable table, DeclaredPolicies policies, long endReadNanos, boolean usable) {
    ResourceView {
        Objects.requireNonNull(table, "table");
        Objects.requireNonNull(policies, "policies");
    }
}
