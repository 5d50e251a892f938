package org.gentianwalk.core.config.check;

import java.util.Collection;
import org.gentianwalk.core.config.schema.SectionView;
import org.gentianwalk.core.config.tree.Source;

/** Base class of the checks that a referenced object is defined. */
abstract class ReferenceCheck extends Check {
    private final String mMessageKey;

    /** Creates a check that reports the message with the given key. */
    ReferenceCheck(String messageKey) {
        mMessageKey = messageKey;
    }

    /** Reports the name unless it is known. */
    protected final void require(
            CheckRun run, Collection<String> known, String name, Source source, String path) {
        if (!known.contains(name)) {
            run.report(source, path, mMessageKey, name, String.join(", ", known));
        }
    }

    /** Reports each name of a list that is not known. */
    protected final void requireAll(
            CheckRun run, Collection<String> known, SectionView view, String key, String path) {
        for (SectionView.Text name : view.texts(key)) {
            require(run, known, name.text(), name.source(), path + "." + key);
        }
    }

    /** Reports the name under a key if it is set and not known. */
    protected final void requireValue(
            CheckRun run, Collection<String> known, SectionView view, String key, String path) {
        String name = view.text(key);
        if (name != null) {
            require(run, known, name, view.sourceOf(key), path + "." + key);
        }
    }
}
