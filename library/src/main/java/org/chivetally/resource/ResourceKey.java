package org.chivetally.resource;

import java.util.Comparator;
import java.util.Objects;
import java.util.regex.Pattern;

/** Kind and name of a resource; ordered by both. */
public record ResourceKey(ResourceKind kind, String name) implements Comparable<ResourceKey> {
    /** Says what a name looks like, for messages. */
    public static final String NAME_RULE =
            "a name has 1 to 63 characters of a-z, 0-9, hyphen and dot, and begins and ends with a letter or digit";

    private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?");
    private static final Comparator<ResourceKey> ORDER =
            Comparator.comparing(ResourceKey::kind).thenComparing(ResourceKey::name);

    /** Refuses missing parts and malformed names. */
    public ResourceKey {
        Objects.requireNonNull(kind, "kind");
        if (!isName(name)) {
            throw new IllegalArgumentException(NAME_RULE);
        }
    }

    /** Tells whether a text may be a resource's name. */
    public static boolean isName(String text) {
        return NAME.matcher(text).matches();
    }

    @Override
    public int compareTo(ResourceKey other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return kind.singular() + "/" + name;
    }
}
