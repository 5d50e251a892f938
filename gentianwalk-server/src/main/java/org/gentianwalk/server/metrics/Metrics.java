package org.gentianwalk.server.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.function.Supplier;

/**
 * The metrics of an instance. Labels are alternating names and values, for example {@code
 * counter("gentianwalk_requests_total", "rank", "urgent")}. Use only labels with few values: each
 * combination is kept until the process ends. Thread-safe.
 */
public final class Metrics {
    private final MetricRegistry mRegistry = new MetricRegistry();

    /** Creates an empty registry. */
    public Metrics() {}

    /**
     * Returns the registry, for components that choose their own metric names.
     *
     * @return the registry
     */
    public MetricRegistry registry() {
        return mRegistry;
    }

    /**
     * Returns the counter with the given name and labels, created on first use.
     *
     * @param name its name, which ends in {@code _total}
     * @param labels label names and values in turn
     * @return the counter
     */
    public Counter counter(String name, String... labels) {
        return mRegistry.counter(MetricName.of(name, labels));
    }

    /**
     * Returns a histogram of sizes or counts.
     *
     * @param name its name, which ends in the unit
     * @param labels label names and values in turn
     * @return the histogram
     */
    public Histogram histogram(String name, String... labels) {
        return mRegistry.histogram(MetricName.of(name, labels));
    }

    /**
     * Returns a timer. Its values are written in seconds.
     *
     * @param name its name, which ends in {@code _seconds}
     * @param labels label names and values in turn
     * @return the timer
     */
    public Timer timer(String name, String... labels) {
        return mRegistry.timer(MetricName.of(name, labels));
    }

    /**
     * Registers a gauge that is read when the metrics are written; replaces an earlier one.
     *
     * @param value supplies the value; must not block
     * @param name its name
     * @param labels label names and values in turn
     */
    public void gauge(Supplier<? extends Number> value, String name, String... labels) {
        String key = MetricName.of(name, labels);
        mRegistry.remove(key);
        Gauge<Number> gauge = value::get;
        mRegistry.register(key, gauge);
    }

    /**
     * Returns all metrics for Prometheus.
     *
     * @return the metrics in the text format 0.0.4
     */
    public String prometheusText() {
        return PrometheusWriter.write(mRegistry);
    }
}
