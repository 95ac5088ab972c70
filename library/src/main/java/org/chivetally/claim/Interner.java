package org.chivetally.claim;

import java.util.HashMap;
import java.util.Map;

/** Lets equal values share one instance, for values of which there are few; beyond a bound it returns what it gets. */
final class Interner<T> {
    private static final int MAXIMUM_VALUES = 10_000;

    private final Map<T, T> instances = new HashMap<>();

    /** Returns the first instance that was equal to this one. */
    T intern(T value) {
        T first = instances.get(value);
        if (first != null) {
            return first;
        }
        if (instances.size() < MAXIMUM_VALUES) {
            instances.put(value, value);
        }
        return value;
    }
}
