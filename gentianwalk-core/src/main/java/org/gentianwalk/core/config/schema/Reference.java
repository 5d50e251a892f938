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
        StringBuilder top = new StringBuilder();
        for (Spec.Key key : root.keys().values()) {
            if (key.spec() instanceof Spec.Value || key.spec() instanceof Spec.Values) {
                top.append(row(key.name(), key));
            }
        }
        if (!top.isEmpty()) {
            reference.mText.append(HEADER).append(top).append('\n');
        }
        for (Spec.Key key : root.keys().values()) {
            reference.group(key);
        }
        return reference.mText.toString();
    }

    private void group(Spec.Key key) {
        Spec.Section section = sectionOf(key.spec());
        if (section == null) {
            return;
        }
        mText.append("### `").append(path(key.name(), key.spec())).append("`\n\n");
        mText.append(key.meaning()).append(key.required() ? " Required.\n\n" : "\n\n");
        mText.append(HEADER);
        rows("", section);
        mText.append('\n');
    }

    private void rows(String prefix, Spec.Section section) {
        for (Spec.Key key : section.keys().values()) {
            Spec.Section inner = sectionOf(key.spec());
            if (inner == null) {
                mText.append(row(prefix + key.name(), key));
            } else {
                rows(prefix + path(key.name(), key.spec()) + ".", inner);
            }
        }
    }

    private static String row(String name, Spec.Key key) {
        String list = key.spec() instanceof Spec.Values ? "list of " : "";
        ValueType type =
                switch (key.spec()) {
                    case Spec.Value value -> value.type();
                    case Spec.Values values -> values.type();
                    default -> throw new IllegalArgumentException(name + " is a section");
                };
        String preset = key.required() ? "required" : "none";
        String range = "-";
        if (key.spec() instanceof Spec.Value value) {
            if (value.preset() != null) {
                preset = "`" + value.preset() + "`";
            }
            if (value.minimum() != null) {
                range = value.minimum() + " to " + value.maximum();
            }
        }
        String example = list.isEmpty() ? type.example() : "[" + type.example() + "]";
        return String.format(
                Locale.ROOT,
                "| `%s` | %s | %s | %s | %s | `%s` | %s |\n",
                name,
                list + type.name(),
                type.unit(),
                preset,
                range,
                example,
                key.meaning());
    }

    private static Spec.@Nullable Section sectionOf(Spec spec) {
        return switch (spec) {
            case Spec.Section section -> section;
            case Spec.Named named -> named.each();
            case Spec.Sections sections -> sections.each();
            case Spec.Value ignored -> null;
            case Spec.Values ignored -> null;
        };
    }

    private static String path(String name, Spec spec) {
        return switch (spec) {
            case Spec.Named ignored -> name + ".NAME";
            case Spec.Sections ignored -> name + "[]";
            default -> name;
        };
    }
}
