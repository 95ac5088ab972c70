package org.chivetally.claim;

import java.util.HashMap;
import java.util.Map;

/** Lets equal values share one instance, for values of which there are few; beyond a bound it returns what it gets. */
final class Interner<T> {
    private static final int MAXIMUM = 10_000;

    private final Map<T, T> known = new HashMap<>();

    /** Returns the first instance that was equal to this one. */
    T shared(T value) {
        T first = known.get(value);
        if (first != null) {
            return first;
        }
        if (known.size() < MAXIMUM) {
            known.put(value, value);
        }
        return value;
    }
}
