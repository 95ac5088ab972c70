package org.chivetally.load.experiment;

import java.util.List;

/**
 * A line fitted to points by least squares.
 *
 * @param intercept value at zero
 * @param slope increase per unit
 * @param residual standard deviation of the points from the line
 */
public record LineFit(double intercept, double slope, double residual) {
    /** Fits a line to at least two points with different x-coordinates. */
    public static LineFit through(List<Point> points) {
        double meanX = points.stream().mapToDouble(Point::x).average().orElseThrow();
        double meanY = points.stream().mapToDouble(Point::y).average().orElseThrow();
        double squares = 0;
        double products = 0;
        for (Point point : points) {
            squares += (point.x - meanX) * (point.x - meanX);
            products += (point.x - meanX) * (point.y - meanY);
        }
        if (squares == 0) {
            throw new IllegalArgumentException("a line needs points with different x-coordinates");
        }
        double slope = products / squares;
        double intercept = meanY - slope * meanX;
        return new LineFit(intercept, slope, residual(points, intercept, slope));
    }

    /** Returns the value of the line at an x-coordinate. */
    public double at(double x) {
        return intercept + slope * x;
    }

    private static double residual(List<Point> points, double intercept, double slope) {
        double sum = 0;
        for (Point point : points) {
            double distance = point.y - intercept - slope * point.x;
            sum += distance * distance;
        }
        return Math.sqrt(sum / Math.max(1, points.size() - 2));
    }

    /** A measured point. */
    public record Point(double x, double y) {}
}
