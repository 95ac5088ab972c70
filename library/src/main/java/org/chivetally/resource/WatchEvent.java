package org.chivetally.resource;

import java.util.Objects;
import org.chivetally.errors.ErrorCode;

/** What a watch tells, in order. */
public sealed interface WatchEvent {
    /** How a resource changed. */
    enum Type {
        /** It did not exist before. */
        ADDED,
        /** It existed before. */
        CHANGED,
        /** It exists no more. */
        DELETED
    }

    /**
     * One change.
     *
     * @param resource the resource after the change; of a deleted one the last content, with the deletion's version
     * @param resumeFrom version to watch from so that nothing is missed: smaller than the resource's version while
     *     further changes of the same write follow
     */
    record Changed(Type type, Resource resource, long resumeFrom) implements WatchEvent {
        /** Refuses missing parts. */
        public Changed {
            Objects.requireNonNull(type, "type");
            Objects.requireNonNull(resource, "resource");
        }
    }

    /** All changes up to this version have been told; a later watch may begin here. */
    record Bookmark(long version) implements WatchEvent {}

    /** The watch ends here. */
    record Ended(ErrorCode code, String detail) implements WatchEvent {
        /** Refuses missing parts. */
        public Ended {
            Objects.requireNonNull(code, "code");
            Objects.requireNonNull(detail, "detail");
        }
    }
}
