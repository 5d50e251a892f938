package org.gentianwalk.core.config.check;

import org.gentianwalk.core.config.schema.Spec;
import org.gentianwalk.core.config.tree.Node;

/** Rejects sections that lack a required key after the merge, such as a team without a branch. */
public final class RequiredKeyCheck extends TreeCheck {
    @Override
    public void checkMerged(CheckRun run, Spec.Section schema, Node.Mapping root) {
        walk(run, "", schema, root);
    }

    @Override
    protected void visitSection(CheckRun run, String path, Spec.Section spec, Node.Mapping node) {
        for (Spec.Key key : spec.keys().values()) {
            if (key.required() && !node.entries().containsKey(key.name())) {
                run.report(node.source(), join(path, key.name()), "required", key.meaning());
            }
        }
    }
}
