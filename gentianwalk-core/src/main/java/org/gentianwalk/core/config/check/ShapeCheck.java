package org.gentianwalk.core.config.check;

import org.gentianwalk.core.config.schema.Spec;
import org.gentianwalk.core.config.tree.Node;

/** Rejects a single value in place of a section or list, and the reverse. */
public final class ShapeCheck extends TreeCheck {
    @Override
    public void checkFile(CheckRun run, Spec.Section schema, Node.Mapping root) {
        walk(run, "", schema, root);
    }

    @Override
    protected void visitWrongShape(CheckRun run, String path, Spec spec, Node node) {
        switch (spec) {
            case Spec.Value value ->
                    run.report(
                            node.source(),
                            path,
                            "shape.value",
                            value.type().name(),
                            value.type().example());
            case Spec.ValueList list ->
                    run.report(
                            node.source(),
                            path,
                            "shape.list",
                            list.type().name(),
                            list.type().example());
            case Spec.SectionList list ->
                    run.report(
                            node.source(),
                            path,
                            "shape.section-list",
                            String.join(", ", list.section().keys().keySet()));
            case Spec.Section section ->
                    run.report(
                            node.source(),
                            path,
                            "shape.section",
                            String.join(", ", section.keys().keySet()));
            case Spec.SectionMap ignored -> run.report(node.source(), path, "shape.named");
        }
    }
}
