package org.chivetally.load.experiment;

import java.util.Arrays;
import java.util.List;

/**
 * Median and range of repeated measurements.
 *
 * @param lowest lowest measurement
 * @param median median of the measurements
 * @param highest highest measurement
 */
public record Spread(double lowest, double median, double highest) {
    /** Returns the spread of at least one measurement. */
    public static Spread of(List<Double> values) {
        double[] sorted = values.stream().mapToDouble(Double::doubleValue).toArray();
        if (sorted.length == 0) {
            throw new IllegalArgumentException("at least one measurement is needed");
        }
        Arrays.sort(sorted);
        int middle = sorted.length / 2;
        double median = sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
        return new Spread(sorted[0], median, sorted[sorted.length - 1]);
    }
}
