package org.gentianwalk.core.config.check;

import org.gentianwalk.core.config.schema.SectionView;

/** Rejects an upstream name that occurs twice among engines and plain services. */
public final class DuplicateUpstreamCheck extends DuplicateCheck {
    /** Creates the check. */
    public DuplicateUpstreamCheck() {
        super("duplicate.upstream");
    }

    @Override
    protected void collect(SectionView view, Collector collector) {
        view.sectionsByName("engines")
                .forEach((id, each) -> collector.add(id, "engines." + id, each.source()));
        view.sectionsByName("services")
                .forEach(
                        (name, service) ->
                                service.sectionsByName("upstreams")
                                        .forEach(
                                                (id, each) ->
                                                        collector.add(
                                                                id,
                                                                "services."
                                                                        + name
                                                                        + ".upstreams."
                                                                        + id,
                                                                each.source())));
    }
}
