package org.gentianwalk.server.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Writes a registry in the Prometheus text format 0.0.4. Histograms and timers become summaries
 * over the recent values that the registry samples.
 */
final class PrometheusWriter {
    private static final double[] QUANTILES = {0.5, 0.95, 0.99, 1};
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final StringBuilder mText = new StringBuilder();
    private String mFamily = "";

    private PrometheusWriter() {}

    /** Returns the text of all metrics, sorted by name. */
    static String write(MetricRegistry registry) {
        PrometheusWriter writer = new PrometheusWriter();
        // Grouped by family first: sorting by key alone would separate a family's members, since
        // the
        // brace sorts after letters.
        Map<String, Map<String, Metric>> families = new TreeMap<>();
        registry.getMetrics()
                .forEach(
                        (key, metric) ->
                                families.computeIfAbsent(
                                                MetricName.family(key), name -> new TreeMap<>())
                                        .put(key, metric));
        families.values().forEach(family -> family.forEach(writer::metric));
        return writer.mText.toString();
    }

    private void metric(String key, Metric metric) {
        switch (metric) {
            case Counter counter -> {
                type(key, "counter");
                line(MetricName.family(key), MetricName.labels(key), counter.getCount());
            }
            case Gauge<?> gauge -> {
                if (gauge.getValue() instanceof Number number) {
                    type(key, "gauge");
                    line(MetricName.family(key), MetricName.labels(key), number.doubleValue());
                }
            }
            case Histogram histogram ->
                    summary(key, histogram.getSnapshot(), histogram.getCount(), 1);
            case Timer timer ->
                    summary(key, timer.getSnapshot(), timer.getCount(), NANOS_PER_SECOND);
            default -> throw new IllegalStateException("no text for " + metric.getClass());
        }
    }

    private void summary(String key, Snapshot snapshot, long count, double divisor) {
        type(key, "summary");
        String family = MetricName.family(key);
        String labels = MetricName.labels(key);
        for (double quantile : QUANTILES) {
            String separator = labels.isEmpty() ? "" : ",";
            line(
                    family,
                    labels + separator + "quantile=\"" + number(quantile) + "\"",
                    snapshot.getValue(quantile) / divisor);
        }
        // The registry keeps no exact sum; the sampled mean times the count approximates it.
        line(family + "_sum", labels, snapshot.getMean() * count / divisor);
        line(family + "_count", labels, count);
    }

    private void type(String key, String type) {
        String family = MetricName.family(key);
        if (!family.equals(mFamily)) {
            mFamily = family;
            mText.append("# TYPE ").append(family).append(' ').append(type).append('\n');
        }
    }

    private void line(String name, String labels, double value) {
        mText.append(name);
        if (!labels.isEmpty()) {
            mText.append('{').append(labels).append('}');
        }
        mText.append(' ').append(number(value)).append('\n');
    }

    private static String number(double value) {
        boolean whole = value == Math.rint(value) && Math.abs(value) < 1e15;
        return whole ? Long.toString((long) value) : Double.toString(value);
    }
}
