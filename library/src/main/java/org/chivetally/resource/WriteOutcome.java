package org.chivetally.resource;

import java.util.List;
import java.util.Objects;
import org.chivetally.errors.ErrorCode;

/** What is known of a write when its caller is answered. */
public sealed interface WriteOutcome {
    /** Returns the name of the write, by which its fate can be asked for later. */
    String id();

    /** It took effect; the changed resources have this version. */
    record Applied(String id, long version) implements WriteOutcome {}

    /** The log's order decided against it; nothing changed. */
    record Conflicting(String id, List<Conflict> conflicts) implements WriteOutcome {
        /** Copies the list. */
        public Conflicting {
            conflicts = List.copyOf(conflicts);
        }
    }

    /** Nothing was written and nothing will be. */
    record NotWritten(String id, ErrorCode code, String reason) implements WriteOutcome {
        /** Refuses missing parts. */
        public NotWritten {
            Objects.requireNonNull(code, "code");
            Objects.requireNonNull(reason, "reason");
        }
    }

    /** The log may hold it now, later or never; its fate is known once the log can be read again. */
    record InDoubt(String id, String reason) implements WriteOutcome {
        /** Refuses missing parts. */
        public InDoubt {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
