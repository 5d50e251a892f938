package org.gentianwalk.core.config.check;

import java.util.Map;
import org.gentianwalk.core.config.schema.Spec;
import org.gentianwalk.core.config.tree.Node;

/** Walks a tree along its schema and calls a method for each part, which subclasses override. */
abstract class TreeCheck extends Check {
    /** Called for a key that is not in the schema. */
    protected void visitUnknownKey(CheckRun run, String path, Spec.Section schema, Node node) {}

    /** Called for a single value where the schema has one. */
    protected void visitValue(CheckRun run, String path, Spec.Value spec, Node.Scalar scalar) {}

    /** Called for a part whose shape (section, list, single value) differs from the schema. */
    protected void visitWrongShape(CheckRun run, String path, Spec spec, Node node) {}

    /** Called for each section. */
    protected void visitSection(CheckRun run, String path, Spec.Section spec, Node.Mapping node) {}

    /** Called for each name that the operator chose for a section. */
    protected void visitName(CheckRun run, String path, String name, Node node) {}

    /** Walks a tree and its subtrees. */
    protected final void walk(CheckRun run, String path, Spec spec, Node node) {
        switch (spec) {
            case Spec.Value value -> {
                if (node instanceof Node.Scalar scalar) {
                    visitValue(run, path, value, scalar);
                } else {
                    visitWrongShape(run, path, spec, node);
                }
            }
            case Spec.ValueList list -> {
                if (node instanceof Node.Sequence sequence) {
                    Spec.Value item = new Spec.Value(list.type(), null, null, null);
                    walkItems(run, path, item, sequence);
                } else {
                    visitWrongShape(run, path, spec, node);
                }
            }
            case Spec.SectionList list -> {
                if (node instanceof Node.Sequence sequence) {
                    walkItems(run, path, list.section(), sequence);
                } else {
                    visitWrongShape(run, path, spec, node);
                }
            }
            case Spec.Section section -> {
                if (node instanceof Node.Mapping mapping) {
                    walkSection(run, path, section, mapping);
                } else {
                    visitWrongShape(run, path, spec, node);
                }
            }
            case Spec.SectionMap map -> {
                if (node instanceof Node.Mapping mapping) {
                    walkSectionMap(run, path, map, mapping);
                } else {
                    visitWrongShape(run, path, spec, node);
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
        visitSection(run, path, spec, mapping);
        for (Map.Entry<String, Node> entry : mapping.entries().entrySet()) {
            String keyPath = join(path, entry.getKey());
            Spec.Key key = spec.keys().get(entry.getKey());
            if (key == null) {
                visitUnknownKey(run, keyPath, spec, entry.getValue());
            } else {
                walk(run, keyPath, key.spec(), entry.getValue());
            }
        }
    }

    private void walkSectionMap(
            CheckRun run, String path, Spec.SectionMap spec, Node.Mapping mapping) {
        for (Map.Entry<String, Node> entry : mapping.entries().entrySet()) {
            String keyPath = join(path, entry.getKey());
            visitName(run, keyPath, entry.getKey(), entry.getValue());
            walk(run, keyPath, spec.section(), entry.getValue());
        }
    }

    /** Returns the path of a key below a path. */
    protected static String join(String path, String key) {
        return path.isEmpty() ? key : path + "." + key;
    }
}
