package org.gentianwalk.core.config.check;

import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.gentianwalk.core.config.schema.SectionView;
import org.gentianwalk.core.config.schema.Spec;
import org.gentianwalk.core.config.tree.Node;
import org.jspecify.annotations.Nullable;

/** Rejects exceptions for a branch without teams, which is usually a misspelled name. */
public final class BranchReferenceCheck extends ReferenceCheck {
    /** Creates the check. */
    public BranchReferenceCheck() {
        super("reference.branch");
    }

    @Override
    public void checkMerged(CheckRun run, Spec.Section schema, Node.Mapping root) {
        SectionView view = view(schema, root);
        Set<String> used = new TreeSet<>();
        for (SectionView team : view.sectionsByName("teams").values()) {
            @Nullable String branch = team.text("branch");
            if (branch != null) {
                used.add(branch);
            }
        }
        for (Map.Entry<String, SectionView> entry : view.sectionsByName("branches").entrySet()) {
            String path = "branches." + entry.getKey();
            require(run, used, entry.getKey(), entry.getValue().source(), path);
        }
    }
}
