package org.gentianwalk.core.config.schema;

import java.util.Locale;
import org.jspecify.annotations.Nullable;

/** Generates the reference of the keys as Markdown tables, which docs/configuration.md contains. */
public final class Reference {
    private static final String HEADER =
            "| key | type | unit | default | range | example | meaning |\n"
                    + "| --- | --- | --- | --- | --- | --- | --- |\n";

    private final StringBuilder mText = new StringBuilder();

    private Reference() {}

    /**
     * Generates the reference of a schema.
     *
     * @param root the schema
     * @return one table for the top-level values and one for each section
     */
    public static String markdown(Spec.Section root) {
        Reference reference = new Reference();
        StringBuilder topLevel = new StringBuilder();
        for (Spec.Key key : root.keys().values()) {
            if (key.spec() instanceof Spec.Value || key.spec() instanceof Spec.ValueList) {
                topLevel.append(formatRow(key.name(), key));
            }
        }
        if (!topLevel.isEmpty()) {
            reference.mText.append(HEADER).append(topLevel).append('\n');
        }
        for (Spec.Key key : root.keys().values()) {
            reference.appendSection(key);
        }
        return reference.mText.toString();
    }

    private void appendSection(Spec.Key key) {
        Spec.Section section = sectionOf(key.spec());
        if (section == null) {
            return;
        }
        mText.append("### `").append(path(key.name(), key.spec())).append("`\n\n");
        mText.append(key.meaning()).append(key.required() ? " Required.\n\n" : "\n\n");
        mText.append(HEADER);
        appendRows("", section);
        mText.append('\n');
    }

    private void appendRows(String prefix, Spec.Section section) {
        for (Spec.Key key : section.keys().values()) {
            Spec.Section inner = sectionOf(key.spec());
            if (inner == null) {
                mText.append(formatRow(prefix + key.name(), key));
            } else {
                appendRows(prefix + path(key.name(), key.spec()) + ".", inner);
            }
        }
    }

    private static String formatRow(String name, Spec.Key key) {
        String listPrefix = key.spec() instanceof Spec.ValueList ? "list of " : "";
        ValueType type =
                switch (key.spec()) {
                    case Spec.Value value -> value.type();
                    case Spec.ValueList list -> list.type();
                    default -> throw new IllegalArgumentException(name + " is a section");
                };
        String defaultText = key.required() ? "required" : "none";
        String range = "-";
        if (key.spec() instanceof Spec.Value value) {
            if (value.defaultValue() != null) {
                defaultText = "`" + value.defaultValue() + "`";
            }
            if (value.minimum() != null) {
                range = value.minimum() + " to " + value.maximum();
            }
        }
        String example = listPrefix.isEmpty() ? type.example() : "[" + type.example() + "]";
        return String.format(
                Locale.ROOT,
                "| `%s` | %s | %s | %s | %s | `%s` | %s |\n",
                name,
                listPrefix + type.name(),
                type.unit(),
                defaultText,
                range,
                example,
                key.meaning());
    }

    private static Spec.@Nullable Section sectionOf(Spec spec) {
        return switch (spec) {
            case Spec.Section section -> section;
            case Spec.SectionMap map -> map.section();
            case Spec.SectionList list -> list.section();
            case Spec.Value ignored -> null;
            case Spec.ValueList ignored -> null;
        };
    }

    private static String path(String name, Spec spec) {
        return switch (spec) {
            case Spec.SectionMap ignored -> name + ".NAME";
            case Spec.SectionList ignored -> name + "[]";
            default -> name;
        };
    }
}
