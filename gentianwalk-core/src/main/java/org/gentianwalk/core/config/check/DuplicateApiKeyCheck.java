package org.gentianwalk.core.config.check;

import org.gentianwalk.core.config.schema.SectionView;

/** Rejects an API key hash that occurs twice, since the key would identify two teams. */
public final class DuplicateApiKeyCheck extends DuplicateCheck {
    /** Creates the check. */
    public DuplicateApiKeyCheck() {
        super("duplicate.api-key");
    }

    @Override
    protected void collect(SectionView view, Collector collector) {
        view.sectionsByName("teams")
                .forEach(
                        (name, team) ->
                                team.texts("keys")
                                        .forEach(
                                                key ->
                                                        collector.add(
                                                                key.text(),
                                                                "teams." + name + ".keys",
                                                                key.source())));
    }
}
