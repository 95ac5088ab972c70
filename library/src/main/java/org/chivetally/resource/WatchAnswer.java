package org.chivetally.resource;

import java.util.Objects;
import org.apache.pekko.NotUsed;
import org.apache.pekko.stream.javadsl.Source;
import org.chivetally.errors.ErrorCode;

/** Whether a watch can begin. */
public sealed interface WatchAnswer {
    /** It begins when the source is run; each run is a watch of its own. */
    record Started(Source<WatchEvent, NotUsed> events) implements WatchAnswer {
        /** Refuses a missing source. */
        public Started {
            Objects.requireNonNull(events, "events");
        }
    }

    /** It can't begin. */
    record Refused(ErrorCode code, String detail) implements WatchAnswer {
        /** Refuses missing parts. */
        public Refused {
            Objects.requireNonNull(code, "code");
            Objects.requireNonNull(detail, "detail");
        }
    }
}
