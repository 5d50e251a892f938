package org.gentianwalk.core.config.check;

import java.util.Map;
import org.gentianwalk.core.config.schema.SectionView;
import org.gentianwalk.core.config.schema.Spec;
import org.gentianwalk.core.config.tree.Node;
import org.jspecify.annotations.Nullable;

/** Rejects engines whose models, slots or rates are set neither for them nor for their type. */
public final class EngineCompleteCheck extends Check {
    private static final String[] KEYS = {"models", "slots", "output-rate", "prefill-rate"};

    @Override
    public void checkMerged(CheckRun run, Spec.Section schema, Node.Mapping root) {
        SectionView view = view(schema, root);
        Map<String, SectionView> types = view.sectionsByName("engine-types");
        for (Map.Entry<String, SectionView> entry : view.sectionsByName("engines").entrySet()) {
            SectionView engine = entry.getValue();
            @Nullable String typeName = engine.text("type");
            @Nullable SectionView type = typeName == null ? null : types.get(typeName);
            for (String key : KEYS) {
                if (!engine.has(key) && (type == null || !type.has(key))) {
                    String path = "engines." + entry.getKey() + "." + key;
                    run.report(engine.source(), path, "engine.incomplete", key);
                }
            }
        }
    }
}
