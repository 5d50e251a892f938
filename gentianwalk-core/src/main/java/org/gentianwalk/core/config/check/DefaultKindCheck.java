package org.gentianwalk.core.config.check;

import java.util.List;
import java.util.Map;
import org.gentianwalk.core.config.schema.Spec;
import org.gentianwalk.core.config.schema.View;
import org.gentianwalk.core.config.tree.Node;

/** Rejects teams whose default kind is not among the kinds that they may use. */
public final class DefaultKindCheck extends ReferenceCheck {
    /** Creates the check. */
    public DefaultKindCheck() {
        super("reference.default-kind");
    }

    @Override
    public void merged(CheckRun run, Spec.Section schema, Node.Mapping root) {
        for (Map.Entry<String, View> entry : view(schema, root).named("teams").entrySet()) {
            View team = entry.getValue();
            List<String> kinds = team.texts("kinds").stream().map(View.Text::text).toList();
            if (!kinds.isEmpty()) {
                requireValue(run, kinds, team, "default-kind", "teams." + entry.getKey());
            }
        }
    }
}
