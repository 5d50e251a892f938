package org.gentianwalk.server.metrics;

import java.util.regex.Pattern;

/**
 * Builds and parses the registry keys of metrics: the name and the labels in the form of a
 * Prometheus line, for example {@code gentianwalk_requests_total{rank="urgent"}}.
 */
final class MetricName {
    private static final Pattern NAME = Pattern.compile("[a-z][a-z0-9_]*");
    private static final Pattern NOT_IN_NAME = Pattern.compile("[^A-Za-z0-9_]");

    private MetricName() {}

    /** Returns the key of a name and label pairs. */
    static String of(String name, String... labels) {
        if (!NAME.matcher(name).matches()) {
            throw new IllegalArgumentException(name + " is not a metric name");
        }
        if (labels.length % 2 != 0) {
            throw new IllegalArgumentException("labels of " + name + " must be pairs");
        }
        if (labels.length == 0) {
            return name;
        }
        StringBuilder key = new StringBuilder(name).append('{');
        for (int i = 0; i < labels.length; i += 2) {
            if (!NAME.matcher(labels[i]).matches()) {
                throw new IllegalArgumentException(labels[i] + " is not a label name");
            }
            key.append(i == 0 ? "" : ",").append(labels[i]);
            key.append("=\"").append(escaped(labels[i + 1])).append('"');
        }
        return key.append('}').toString();
    }

    /**
     * Returns the name without labels; characters that Prometheus does not allow, such as dots,
     * become '_'.
     */
    static String family(String key) {
        int brace = key.indexOf('{');
        String name = brace < 0 ? key : key.substring(0, brace);
        return NOT_IN_NAME.matcher(name).replaceAll("_");
    }

    /** Returns the labels without braces, empty when there are none. */
    static String labels(String key) {
        int brace = key.indexOf('{');
        return brace < 0 ? "" : key.substring(brace + 1, key.length() - 1);
    }

    private static String escaped(String value) {
        return value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}
