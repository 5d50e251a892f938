package org.gentianwalk.core.config.check;

import java.util.Map;
import org.gentianwalk.core.config.schema.Spec;
import org.gentianwalk.core.config.schema.View;
import org.gentianwalk.core.config.tree.Node;
import org.jspecify.annotations.Nullable;

/** Rejects engines whose models, slots or rates are set neither for them nor for their type. */
public final class EngineCompleteCheck extends Check {
    private static final String[] KEYS = {"models", "slots", "output-rate", "prefill-rate"};

    @Override
    public void merged(CheckRun run, Spec.Section schema, Node.Mapping root) {
        View view = view(schema, root);
        Map<String, View> types = view.named("engine-types");
        for (Map.Entry<String, View> entry : view.named("engines").entrySet()) {
            View engine = entry.getValue();
            @Nullable String typeName = engine.text("type");
            @Nullable View type = typeName == null ? null : types.get(typeName);
            for (String key : KEYS) {
                if (!engine.has(key) && (type == null || !type.has(key))) {
                    String path = "engines." + entry.getKey() + "." + key;
                    run.report(engine.source(), path, "engine.incomplete", key);
                }
            }
        }
    }
}
