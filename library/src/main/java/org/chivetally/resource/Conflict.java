package org.chivetally.resource;

import java.util.Objects;

/**
 * Why a change did not fit.
 *
 * @param basedOn version that the change was based on
 * @param current version of the other write, also when that deleted the resource; 0 when the resource is not known
 * @param deleted whether the other write deleted it
 * @param changedBy who made the other write; empty when the resource is not known
 */
public record Conflict(ResourceKey key, long basedOn, long current, boolean deleted, String changedBy) {
    /** Refuses missing parts. */
    public Conflict {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(changedBy, "changedBy");
    }

    /** Returns one sentence for a person. */
    public String text() {
        if (current == 0) {
            return key + " does not exist; the change was based on version " + basedOn;
        }
        String what = deleted ? " was deleted" : " was changed";
        return key + what + " by " + changedBy + " in version " + current + "; the change was based on version "
                + basedOn;
    }
}
