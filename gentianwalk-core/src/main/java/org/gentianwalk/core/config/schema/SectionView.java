package org.gentianwalk.core.config.schema;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.gentianwalk.core.config.tree.Node;
import org.gentianwalk.core.config.tree.Source;
import org.jspecify.annotations.Nullable;

/**
 * Typed access to the values of a section according to its specification. Values that don't match
 * the specification are treated as not set, so that checks can walk an invalid tree; a tree that
 * passed the checks has no such values.
 */
public final class SectionView {
    private static final double NANOS_PER_SECOND = 1e9;

    private final Spec.Section mSpec;
    private final Node.Mapping mNode;

    /**
     * Creates a view.
     *
     * @param spec specification of the section
     * @param node the values
     */
    public SectionView(Spec.Section spec, Node.Mapping node) {
        mSpec = spec;
        mNode = node;
    }

    /**
     * A text and its source.
     *
     * @param text the text as written
     * @param source where it was set
     */
    public record Text(String text, Source source) {}

    /**
     * Returns where the section starts.
     *
     * @return file and line
     */
    public Source source() {
        return mNode.source();
    }

    /**
     * Returns where a key was set.
     *
     * @param key the key
     * @return file and line, or {@link Source#DEFAULT}
     */
    public Source sourceOf(String key) {
        Node node = mNode.entries().get(key);
        return node == null ? Source.DEFAULT : node.source();
    }

    /**
     * Returns whether a key is set.
     *
     * @param key the key
     * @return false when it has only its default or no value
     */
    public boolean has(String key) {
        return mNode.entries().containsKey(key);
    }

    /**
     * Returns a section.
     *
     * @param key key of the section
     * @return the section, empty when it is not set
     */
    public SectionView section(String key) {
        Spec.Section each = (Spec.Section) spec(key);
        Node node = mNode.entries().get(key);
        return new SectionView(
                each,
                node instanceof Node.Mapping mapping
                        ? mapping
                        : new Node.Mapping(Source.DEFAULT, Map.of()));
    }

    /**
     * Returns the sections under names that the operator chose.
     *
     * @param key key of the mapping from names to sections
     * @return the sections by name, in the order of the files
     */
    public Map<String, SectionView> sectionsByName(String key) {
        Spec.Section each = ((Spec.SectionMap) spec(key)).section();
        Map<String, SectionView> views = new LinkedHashMap<>();
        if (mNode.entries().get(key) instanceof Node.Mapping mapping) {
            mapping.entries()
                    .forEach(
                            (name, node) -> {
                                if (node instanceof Node.Mapping section) {
                                    views.put(name, new SectionView(each, section));
                                }
                            });
        }
        return views;
    }

    /**
     * Returns the section under a name that the operator chose.
     *
     * @param key key of the mapping from names to sections
     * @param name the name
     * @return the section, or null when there is none
     */
    public @Nullable SectionView sectionByName(String key, String name) {
        Spec.Section each = ((Spec.SectionMap) spec(key)).section();
        if (mNode.entries().get(key) instanceof Node.Mapping names
                && names.entries().get(name) instanceof Node.Mapping section) {
            return new SectionView(each, section);
        }
        return null;
    }

    /**
     * Returns a list of sections.
     *
     * @param key key of the list
     * @return the sections
     */
    public List<SectionView> sectionList(String key) {
        Spec.Section each = ((Spec.SectionList) spec(key)).section();
        List<SectionView> views = new ArrayList<>();
        if (mNode.entries().get(key) instanceof Node.Sequence sequence) {
            for (Node item : sequence.items()) {
                if (item instanceof Node.Mapping section) {
                    views.add(new SectionView(each, section));
                }
            }
        }
        return views;
    }

    /**
     * Returns a list of values.
     *
     * @param key key of the list
     * @return the texts as written, with their sources
     */
    public List<Text> texts(String key) {
        List<Text> texts = new ArrayList<>();
        if (mNode.entries().get(key) instanceof Node.Sequence sequence) {
            for (Node item : sequence.items()) {
                if (item instanceof Node.Scalar scalar) {
                    texts.add(new Text(scalar.text(), scalar.source()));
                }
            }
        }
        return texts;
    }

    /**
     * Returns a value as written.
     *
     * @param key the key
     * @return the text, or the default, or null when there is neither
     */
    public @Nullable String text(String key) {
        if (mNode.entries().get(key) instanceof Node.Scalar scalar) {
            return scalar.text();
        }
        return ((Spec.Value) spec(key)).defaultValue();
    }

    /**
     * Returns a text that is set or has a default.
     *
     * @param key the key
     * @return the text
     */
    public String requiredText(String key) {
        String text = text(key);
        if (text == null) {
            throw new IllegalStateException(key + " is not set at " + mNode.source());
        }
        return text;
    }

    /**
     * Returns a number in the base unit of its type.
     *
     * @param key the key
     * @return the number, or null when it is not set and has no default
     */
    public @Nullable Double number(String key) {
        Object value = value(key);
        return value instanceof Double number ? number : null;
    }

    /**
     * Returns a number that is set or has a default.
     *
     * @param key the key
     * @return the number in the base unit of its type
     */
    public double requiredNumber(String key) {
        Double number = number(key);
        if (number == null) {
            throw new IllegalStateException(key + " is not set at " + mNode.source());
        }
        return number;
    }

    /**
     * Returns a duration.
     *
     * @param key the key
     * @return the duration, or null when it is not set and has no default
     */
    public @Nullable Duration duration(String key) {
        Double seconds = number(key);
        return seconds == null ? null : Duration.ofNanos(Math.round(seconds * NANOS_PER_SECOND));
    }

    /**
     * Returns a duration that is set or has a default.
     *
     * @param key the key
     * @return the duration
     */
    public Duration requiredDuration(String key) {
        return Duration.ofNanos(Math.round(requiredNumber(key) * NANOS_PER_SECOND));
    }

    /**
     * Returns a flag.
     *
     * @param key the key
     * @return the flag, false when it is not set and has no default
     */
    public boolean flag(String key) {
        return Boolean.TRUE.equals(value(key));
    }

    private @Nullable Object value(String key) {
        Spec.Value spec = (Spec.Value) spec(key);
        ValueType.ParseResult result;
        if (mNode.entries().get(key) instanceof Node.Scalar scalar) {
            result = spec.type().parse(scalar);
        } else if (spec.defaultValue() != null) {
            result = spec.type().parse(Literal.of(spec.defaultValue()));
        } else {
            return null;
        }
        return result instanceof ValueType.ParseResult.Accepted accepted ? accepted.value() : null;
    }

    private Spec spec(String key) {
        Spec.Key found = mSpec.keys().get(key);
        if (found == null) {
            throw new IllegalArgumentException("the schema has no key " + key);
        }
        return found.spec();
    }
}
