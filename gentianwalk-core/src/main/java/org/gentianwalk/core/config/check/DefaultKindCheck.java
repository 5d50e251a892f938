package org.gentianwalk.core.config.check;

import java.util.List;
import java.util.Map;
import org.gentianwalk.core.config.schema.SectionView;
import org.gentianwalk.core.config.schema.Spec;
import org.gentianwalk.core.config.tree.Node;

/** Rejects teams whose default kind is not among the kinds that they may use. */
public final class DefaultKindCheck extends ReferenceCheck {
    /** Creates the check. */
    public DefaultKindCheck() {
        super("reference.default-kind");
    }

    @Override
    public void checkMerged(CheckRun run, Spec.Section schema, Node.Mapping root) {
        for (Map.Entry<String, SectionView> entry :
                view(schema, root).sectionsByName("teams").entrySet()) {
            SectionView team = entry.getValue();
            List<String> kinds = team.texts("kinds").stream().map(SectionView.Text::text).toList();
            if (!kinds.isEmpty()) {
                requireValue(run, kinds, team, "default-kind", "teams." + entry.getKey());
            }
        }
    }
}
