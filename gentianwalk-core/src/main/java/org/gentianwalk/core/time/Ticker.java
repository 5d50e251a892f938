package org.gentianwalk.core.time;

/**
 * A monotonic time source. Its origin is arbitrary; only differences between readings are
 * meaningful.
 */
@FunctionalInterface
public interface Ticker {
    /**
     * Returns the current reading.
     *
     * @return nanoseconds since the source's origin
     */
    long nanos();

    /**
     * Returns the ticker of the running process.
     *
     * @return a ticker over {@link System#nanoTime()}
     */
    static Ticker system() {
        return System::nanoTime;
    }
}
