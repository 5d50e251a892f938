package org.gentianwalk.core.config.check;

import java.util.Map;
import java.util.Set;
import org.gentianwalk.core.config.schema.SectionView;
import org.gentianwalk.core.config.schema.Spec;
import org.gentianwalk.core.config.tree.Node;

/** Rejects lists with a model that is not defined in {@code models}. */
public final class ModelReferenceCheck extends ReferenceCheck {
    /** Creates the check. */
    public ModelReferenceCheck() {
        super("reference.model");
    }

    @Override
    public void checkMerged(CheckRun run, Spec.Section schema, Node.Mapping root) {
        SectionView view = view(schema, root);
        Set<String> models = view.sectionsByName("models").keySet();
        for (String group : new String[] {"engine-types", "engines", "kinds"}) {
            view.sectionsByName(group)
                    .forEach(
                            (id, each) ->
                                    requireAll(run, models, each, "models", group + "." + id));
        }
        for (String group : new String[] {"branches", "teams"}) {
            for (Map.Entry<String, SectionView> entry : view.sectionsByName(group).entrySet()) {
                String path = group + "." + entry.getKey();
                requireAll(run, models, entry.getValue(), "models", path);
                entry.getValue()
                        .sectionsByName("exceptions")
                        .forEach(
                                (kind, each) ->
                                        requireAll(
                                                run,
                                                models,
                                                each,
                                                "models",
                                                path + ".exceptions." + kind));
            }
        }
    }
}
