package org.gentianwalk.core.config.check;

import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.gentianwalk.core.config.schema.Spec;
import org.gentianwalk.core.config.schema.View;
import org.gentianwalk.core.config.tree.Node;
import org.jspecify.annotations.Nullable;

/** Rejects exceptions for a branch without teams, which is usually a misspelled name. */
public final class BranchReferenceCheck extends ReferenceCheck {
    /** Creates the check. */
    public BranchReferenceCheck() {
        super("reference.branch");
    }

    @Override
    public void merged(CheckRun run, Spec.Section schema, Node.Mapping root) {
        View view = view(schema, root);
        Set<String> used = new TreeSet<>();
        for (View team : view.named("teams").values()) {
            @Nullable String branch = team.text("branch");
            if (branch != null) {
                used.add(branch);
            }
        }
        for (Map.Entry<String, View> entry : view.named("branches").entrySet()) {
            String path = "branches." + entry.getKey();
            require(run, used, entry.getKey(), entry.getValue().source(), path);
        }
    }
}
