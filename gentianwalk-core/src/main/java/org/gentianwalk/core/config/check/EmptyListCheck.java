package org.gentianwalk.core.config.check;

import org.gentianwalk.core.config.schema.Spec;
import org.gentianwalk.core.config.tree.Node;

/**
 * Rejects empty lists, for example {@code models: []}, which reads as "none" but would mean "all".
 * An empty {@code capabilities} list is accepted: it removes the capabilities of the engine's type.
 */
public final class EmptyListCheck extends TreeCheck {
    private static final String KEY_ALLOWING_EMPTY_LIST = "capabilities";

    @Override
    public void checkFile(CheckRun run, Spec.Section schema, Node.Mapping root) {
        walk(run, "", schema, root);
    }

    @Override
    protected void visitSection(CheckRun run, String path, Spec.Section spec, Node.Mapping node) {
        node.entries()
                .forEach(
                        (key, value) -> {
                            if (value instanceof Node.Sequence sequence
                                    && sequence.items().isEmpty()
                                    && !key.equals(KEY_ALLOWING_EMPTY_LIST)) {
                                run.report(value.source(), join(path, key), "list.empty");
                            }
                        });
    }
}
