package org.gentianwalk.bench.capacity;

/** A probe with a function that measures the cost at a size. */
final class Probe implements CapacityProbe {
    private final String mRole;
    private final String mQuantity;
    private final String mVariable;
    private final int[] mSizes;
    private final double mPlanned;
    private final Measurement mMeasurement;

    Probe(
            String role,
            String quantity,
            String variable,
            int[] sizes,
            double planned,
            Measurement measurement) {
        mRole = role;
        mQuantity = quantity;
        mVariable = variable;
        mSizes = sizes.clone();
        mPlanned = planned;
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
        return mPlanned;
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
