package org.chivetally.claim;

import java.util.HashMap;
import java.util.Map;

/**
 * Replaces equal values by one shared instance, to save memory. Up to {@value #MAXIMUM_VALUES} distinct values are
 * shared; further ones are returned unchanged.
 */
final class Interner<T> {
    private static final int MAXIMUM_VALUES = 10_000;

    private final Map<T, T> instances = new HashMap<>();

    /** Returns the shared instance that equals a value. */
    T intern(T value) {
        T existing = instances.get(value);
        if (existing != null) {
            return existing;
        }
        if (instances.size() < MAXIMUM_VALUES) {
            instances.put(value, value);
        }
        return value;
    }
}
