package org.gentianwalk.core.config.check;

import java.util.Map;
import java.util.Set;
import org.gentianwalk.core.config.schema.SectionView;
import org.gentianwalk.core.config.schema.Spec;
import org.gentianwalk.core.config.tree.Node;

/** Rejects teams and exceptions with a kind of work that is not defined in {@code kinds}. */
public final class KindReferenceCheck extends ReferenceCheck {
    /** Creates the check. */
    public KindReferenceCheck() {
        super("reference.kind");
    }

    @Override
    public void checkMerged(CheckRun run, Spec.Section schema, Node.Mapping root) {
        SectionView view = view(schema, root);
        Set<String> kinds = view.sectionsByName("kinds").keySet();
        for (String group : new String[] {"branches", "teams"}) {
            for (Map.Entry<String, SectionView> entry : view.sectionsByName(group).entrySet()) {
                String path = group + "." + entry.getKey();
                for (Map.Entry<String, SectionView> each :
                        entry.getValue().sectionsByName("exceptions").entrySet()) {
                    require(
                            run,
                            kinds,
                            each.getKey(),
                            each.getValue().source(),
                            path + ".exceptions." + each.getKey());
                }
                if (group.equals("teams")) {
                    requireAll(run, kinds, entry.getValue(), "kinds", path);
                }
            }
        }
    }
}
