package org.gentianwalk.core.config.check;

import java.util.Set;
import org.gentianwalk.core.config.schema.SectionView;
import org.gentianwalk.core.config.schema.Spec;
import org.gentianwalk.core.config.tree.Node;

/** Rejects upstreams whose availability zone is not defined in {@code zones}. */
public final class ZoneReferenceCheck extends ReferenceCheck {
    /** Creates the check. */
    public ZoneReferenceCheck() {
        super("reference.zone");
    }

    @Override
    public void checkMerged(CheckRun run, Spec.Section schema, Node.Mapping root) {
        SectionView view = view(schema, root);
        Set<String> zones = view.sectionsByName("zones").keySet();
        view.sectionsByName("engines")
                .forEach((id, each) -> requireValue(run, zones, each, "zone", "engines." + id));
        view.sectionsByName("services")
                .forEach(
                        (name, service) ->
                                service.sectionsByName("upstreams")
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
