package org.gentianwalk.core.config.check;

import java.util.HashSet;
import java.util.Set;
import org.gentianwalk.core.config.schema.SectionView;
import org.gentianwalk.core.config.schema.Spec;
import org.gentianwalk.core.config.tree.Node;

/** Rejects models that no engine serves, since every request for them would fail. */
public final class ServedModelCheck extends Check {
    @Override
    public void checkMerged(CheckRun run, Spec.Section schema, Node.Mapping root) {
        SectionView view = view(schema, root);
        Set<String> served = new HashSet<>();
        for (SectionView engine : view.sectionsByName("engines").values()) {
            SectionView source = engine;
            String type = engine.text("type");
            if (!engine.has("models") && type != null) {
                SectionView shared = view.sectionsByName("engine-types").get(type);
                source = shared == null ? engine : shared;
            }
            source.texts("models").forEach(model -> served.add(model.text()));
        }
        view.sectionsByName("models")
                .forEach(
                        (model, each) -> {
                            if (!served.contains(model)) {
                                run.report(
                                        each.source(),
                                        "models." + model,
                                        "model.not-served",
                                        model);
                            }
                        });
    }
}
