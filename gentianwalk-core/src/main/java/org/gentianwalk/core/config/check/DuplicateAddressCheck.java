package org.gentianwalk.core.config.check;

import java.util.Map;
import org.gentianwalk.core.config.schema.SectionView;
import org.jspecify.annotations.Nullable;

/** Rejects two upstreams with the same address, since their load would be counted twice. */
public final class DuplicateAddressCheck extends DuplicateCheck {
    /** Creates the check. */
    public DuplicateAddressCheck() {
        super("duplicate.address");
    }

    @Override
    protected void collect(SectionView view, Collector collector) {
        addAll(view.sectionsByName("engines"), "engines", collector);
        view.sectionsByName("services")
                .forEach(
                        (name, service) ->
                                addAll(
                                        service.sectionsByName("upstreams"),
                                        "services." + name + ".upstreams",
                                        collector));
    }

    private static void addAll(
            Map<String, SectionView> upstreams, String path, Collector collector) {
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
