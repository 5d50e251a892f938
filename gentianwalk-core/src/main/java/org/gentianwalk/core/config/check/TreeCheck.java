package org.gentianwalk.core.config.check;

import java.util.Map;
import org.gentianwalk.core.config.schema.Spec;
import org.gentianwalk.core.config.tree.Node;

/** Walks a tree along its schema and calls a method for each part, which subclasses override. */
abstract class TreeCheck extends Check {
    /** Called for a key that is not in the schema. */
    protected void unknownKey(CheckRun run, String path, Spec.Section schema, Node node) {}

    /** Called for a single value where the schema has one. */
    protected void value(CheckRun run, String path, Spec.Value spec, Node.Scalar scalar) {}

    /** Called for a part whose shape (section, list, single value) differs from the schema. */
    protected void wrongShape(CheckRun run, String path, Spec spec, Node node) {}

    /** Called for each section. */
    protected void section(CheckRun run, String path, Spec.Section spec, Node.Mapping node) {}

    /** Called for each name that the operator chose for a section. */
    protected void name(CheckRun run, String path, String name, Node node) {}

    /** Walks a tree and its subtrees. */
    protected final void walk(CheckRun run, String path, Spec spec, Node node) {
        switch (spec) {
            case Spec.Value value -> {
                if (node instanceof Node.Scalar scalar) {
                    value(run, path, value, scalar);
                } else {
                    wrongShape(run, path, spec, node);
                }
            }
            case Spec.Values values -> {
                if (node instanceof Node.Sequence sequence) {
                    Spec.Value item = new Spec.Value(values.type(), null, null, null);
                    walkItems(run, path, item, sequence);
                } else {
                    wrongShape(run, path, spec, node);
                }
            }
            case Spec.Sections sections -> {
                if (node instanceof Node.Sequence sequence) {
                    walkItems(run, path, sections.each(), sequence);
                } else {
                    wrongShape(run, path, spec, node);
                }
            }
            case Spec.Section section -> {
                if (node instanceof Node.Mapping mapping) {
                    walkSection(run, path, section, mapping);
                } else {
                    wrongShape(run, path, spec, node);
                }
            }
            case Spec.Named named -> {
                if (node instanceof Node.Mapping mapping) {
                    walkNamed(run, path, named, mapping);
                } else {
                    wrongShape(run, path, spec, node);
                }
            }
        }
    }

    private void walkItems(CheckRun run, String path, Spec each, Node.Sequence sequence) {
        for (int i = 0; i < sequence.items().size(); i++) {
            walk(run, path + "[" + i + "]", each, sequence.items().get(i));
        }
    }

    private void walkSection(CheckRun run, String path, Spec.Section spec, Node.Mapping mapping) {
        section(run, path, spec, mapping);
        for (Map.Entry<String, Node> entry : mapping.entries().entrySet()) {
            String keyPath = join(path, entry.getKey());
            Spec.Key key = spec.keys().get(entry.getKey());
            if (key == null) {
                unknownKey(run, keyPath, spec, entry.getValue());
            } else {
                walk(run, keyPath, key.spec(), entry.getValue());
            }
        }
    }

    private void walkNamed(CheckRun run, String path, Spec.Named spec, Node.Mapping mapping) {
        for (Map.Entry<String, Node> entry : mapping.entries().entrySet()) {
            String keyPath = join(path, entry.getKey());
            name(run, keyPath, entry.getKey(), entry.getValue());
            walk(run, keyPath, spec.each(), entry.getValue());
        }
    }

    /** Returns the path of a key below a path. */
    protected static String join(String path, String key) {
        return path.isEmpty() ? key : path + "." + key;
    }
}
