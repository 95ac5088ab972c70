package org.chivetally.job;

import java.util.Objects;

/** Name of one accepted submission, unique for all time. */
public record JobId(String text) {
    /** Refuses a missing or empty name. */
    public JobId {
        Objects.requireNonNull(text, "text");
        if (text.isEmpty()) {
            throw new IllegalArgumentException("a job id can't be empty");
        }
    }

    @Override
    public String toString() {
        return text;
    }
}
