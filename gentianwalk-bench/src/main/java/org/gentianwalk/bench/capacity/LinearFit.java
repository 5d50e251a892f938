package org.gentianwalk.bench.capacity;

import java.util.List;

/**
 * A least-squares line through measured points.
 *
 * @param intercept value at size 0
 * @param slope change of the value per unit of size
 * @param determination coefficient of determination, from 0 to 1
 */
public record LinearFit(double intercept, double slope, double determination) {
    /**
     * A measured point.
     *
     * @param size the independent variable
     * @param value the measured value
     */
    public record Point(double size, double value) {}

    /**
     * Fits a line.
     *
     * @param points points of at least two different sizes
     * @return the line
     */
    public static LinearFit of(List<Point> points) {
        double meanSize = points.stream().mapToDouble(Point::size).average().orElseThrow();
        double meanValue = points.stream().mapToDouble(Point::value).average().orElseThrow();
        double covariance = 0;
        double sizeVariance = 0;
        double valueVariance = 0;
        for (Point point : points) {
            double size = point.size() - meanSize;
            double value = point.value() - meanValue;
            covariance += size * value;
            sizeVariance += size * size;
            valueVariance += value * value;
        }
        if (sizeVariance == 0) {
            throw new IllegalArgumentException("a line needs points of at least two sizes");
        }
        double slope = covariance / sizeVariance;
        double determination =
                valueVariance == 0 ? 1 : covariance * covariance / (sizeVariance * valueVariance);
        return new LinearFit(meanValue - slope * meanSize, slope, determination);
    }

    /**
     * Evaluates the line.
     *
     * @param size the independent variable
     * @return the value on the line
     */
    public double at(double size) {
        return intercept + slope * size;
    }
}
