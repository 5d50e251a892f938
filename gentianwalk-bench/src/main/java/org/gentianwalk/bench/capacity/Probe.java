package org.gentianwalk.bench.capacity;

/** A probe with a function that measures the cost at a size. */
final class Probe implements CapacityProbe {
    private final String mRole;
    private final String mQuantity;
    private final String mVariable;
    private final int[] mSizes;
    private final double mPlannedSize;
    private final Measurement mMeasurement;

    Probe(
            String role,
            String quantity,
            String variable,
            int[] sizes,
            double plannedSize,
            Measurement measurement) {
        mRole = role;
        mQuantity = quantity;
        mVariable = variable;
        mSizes = sizes.clone();
        mPlannedSize = plannedSize;
        mMeasurement = measurement;
    }

    @Override
    public String role() {
        return mRole;
    }

    @Override
    public String quantity() {
        return mQuantity;
    }

    @Override
    public String variable() {
        return mVariable;
    }

    @Override
    public int[] sizes() {
        return mSizes.clone();
    }

    @Override
    public double plannedSize() {
        return mPlannedSize;
    }

    @Override
    public double measure(int size) throws Exception {
        return mMeasurement.measure(size);
    }

    /** Measures the cost at one size. */
    @FunctionalInterface
    interface Measurement {
        double measure(int size) throws Exception;
    }
}
