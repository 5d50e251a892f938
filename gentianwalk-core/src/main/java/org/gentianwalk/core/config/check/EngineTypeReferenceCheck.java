package org.gentianwalk.core.config.check;

import java.util.Set;
import org.gentianwalk.core.config.schema.SectionView;
import org.gentianwalk.core.config.schema.Spec;
import org.gentianwalk.core.config.tree.Node;

/** Rejects engines whose type is not defined in {@code engine-types}. */
public final class EngineTypeReferenceCheck extends ReferenceCheck {
    /** Creates the check. */
    public EngineTypeReferenceCheck() {
        super("reference.engine-type");
    }

    @Override
    public void checkMerged(CheckRun run, Spec.Section schema, Node.Mapping root) {
        SectionView view = view(schema, root);
        Set<String> types = view.sectionsByName("engine-types").keySet();
        view.sectionsByName("engines")
                .forEach((id, each) -> requireValue(run, types, each, "type", "engines." + id));
    }
}
