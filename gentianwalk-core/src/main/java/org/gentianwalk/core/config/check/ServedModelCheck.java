package org.gentianwalk.core.config.check;

import java.util.HashSet;
import java.util.Set;
import org.gentianwalk.core.config.schema.Spec;
import org.gentianwalk.core.config.schema.View;
import org.gentianwalk.core.config.tree.Node;

/** Rejects models that no engine serves, since every request for them would fail. */
public final class ServedModelCheck extends Check {
    @Override
    public void merged(CheckRun run, Spec.Section schema, Node.Mapping root) {
        View view = view(schema, root);
        Set<String> served = new HashSet<>();
        for (View engine : view.named("engines").values()) {
            View source = engine;
            String type = engine.text("type");
            if (!engine.has("models") && type != null) {
                View shared = view.named("engine-types").get(type);
                source = shared == null ? engine : shared;
            }
            source.texts("models").forEach(model -> served.add(model.text()));
        }
        view.named("models")
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
