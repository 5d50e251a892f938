package org.gentianwalk.core.config.check;

import java.util.Set;
import org.gentianwalk.core.config.schema.Spec;
import org.gentianwalk.core.config.schema.View;
import org.gentianwalk.core.config.tree.Node;

/** Rejects upstreams whose availability zone is not defined in {@code zones}. */
public final class ZoneReferenceCheck extends ReferenceCheck {
    /** Creates the check. */
    public ZoneReferenceCheck() {
        super("reference.zone");
    }

    @Override
    public void merged(CheckRun run, Spec.Section schema, Node.Mapping root) {
        View view = view(schema, root);
        Set<String> zones = view.named("zones").keySet();
        view.named("engines")
                .forEach((id, each) -> requireValue(run, zones, each, "zone", "engines." + id));
        view.named("services")
                .forEach(
                        (name, service) ->
                                service.named("upstreams")
                                        .forEach(
                                                (id, each) ->
                                                        requireValue(
                                                                run,
                                                                zones,
                                                                each,
                                                                "zone",
                                                                "services."
                                                                        + name
                                                                        + ".upstreams."
                                                                        + id)));
    }
}
