package org.gentianwalk.core.config.check;

import org.gentianwalk.core.config.schema.View;

/** Rejects an upstream name that occurs twice among engines and plain services. */
public final class DuplicateUpstreamCheck extends DuplicateCheck {
    /** Creates the check. */
    public DuplicateUpstreamCheck() {
        super("duplicate.upstream");
    }

    @Override
    protected void collect(View view, Collector collector) {
        view.named("engines")
                .forEach((id, each) -> collector.add(id, "engines." + id, each.source()));
        view.named("services")
                .forEach(
                        (name, service) ->
                                service.named("upstreams")
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
