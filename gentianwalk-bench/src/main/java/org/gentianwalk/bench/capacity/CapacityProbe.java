package org.gentianwalk.bench.capacity;

/**
 * Measures one resource cost of one role at several sizes.
 *
 * <p>Implementations warm up before measuring and repeat until the total is at least a few
 * milliseconds, so that the resolution of the clock doesn't matter.
 */
public interface CapacityProbe {
    /**
     * Returns the role.
     *
     * @return for example {@code membership}
     */
    String role();

    /**
     * Returns the measured quantity with its unit.
     *
     * @return for example {@code bytes a second for each instance}
     */
    String quantity();

    /**
     * Returns the name of the independent variable.
     *
     * @return for example {@code instances}
     */
    String variable();

    /**
     * Returns the sizes to measure.
     *
     * @return at least three values of the independent variable
     */
    int[] sizes();

    /**
     * Returns the value of the independent variable at the planned size.
     *
     * @return the size that the cost is extrapolated to
     */
    double plannedSize();

    /**
     * Measures the cost.
     *
     * @param size value of the independent variable
     * @return the cost in the unit of {@link #quantity}
     * @throws Exception if the measurement failed
     */
    double measure(int size) throws Exception;
}
