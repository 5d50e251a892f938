package org.gentianwalk.core.config.check;

import java.util.Map;
import org.gentianwalk.core.config.schema.View;
import org.jspecify.annotations.Nullable;

/** Rejects two upstreams with the same address, since their load would be counted twice. */
public final class DuplicateAddressCheck extends DuplicateCheck {
    /** Creates the check. */
    public DuplicateAddressCheck() {
        super("duplicate.address");
    }

    @Override
    protected void collect(View view, Collector collector) {
        addAll(view.named("engines"), "engines", collector);
        view.named("services")
                .forEach(
                        (name, service) ->
                                addAll(
                                        service.named("upstreams"),
                                        "services." + name + ".upstreams",
                                        collector));
    }

    private static void addAll(Map<String, View> upstreams, String path, Collector collector) {
        upstreams.forEach(
                (id, each) -> {
                    @Nullable String address = each.text("address");
                    if (address != null) {
                        collector.add(
                                address, path + "." + id + ".address", each.sourceOf("address"));
                    }
                });
    }
}
