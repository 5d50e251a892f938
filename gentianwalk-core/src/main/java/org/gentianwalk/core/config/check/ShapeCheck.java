package org.gentianwalk.core.config.check;

import org.gentianwalk.core.config.schema.Spec;
import org.gentianwalk.core.config.tree.Node;

/** Rejects a single value in place of a section or list, and the reverse. */
public final class ShapeCheck extends TreeCheck {
    @Override
    public void file(CheckRun run, Spec.Section schema, Node.Mapping root) {
        walk(run, "", schema, root);
    }

    @Override
    protected void wrongShape(CheckRun run, String path, Spec spec, Node node) {
        switch (spec) {
            case Spec.Value value ->
                    run.report(
                            node.source(),
                            path,
                            "shape.value",
                            value.type().name(),
                            value.type().example());
            case Spec.Values values ->
                    run.report(
                            node.source(),
                            path,
                            "shape.list",
                            values.type().name(),
                            values.type().example());
            case Spec.Sections sections ->
                    run.report(
                            node.source(),
                            path,
                            "shape.section-list",
                            String.join(", ", sections.each().keys().keySet()));
            case Spec.Section section ->
                    run.report(
                            node.source(),
                            path,
                            "shape.section",
                            String.join(", ", section.keys().keySet()));
            case Spec.Named ignored -> run.report(node.source(), path, "shape.named");
        }
    }
}
