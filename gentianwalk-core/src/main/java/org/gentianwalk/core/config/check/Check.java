package org.gentianwalk.core.config.check;

import org.gentianwalk.core.config.schema.SectionView;
import org.gentianwalk.core.config.schema.Spec;
import org.gentianwalk.core.config.tree.Node;

/** A check of the settings. A subclass overrides the method for the stage that it checks. */
public abstract class Check {
    /**
     * Checks one file before the merge.
     *
     * @param run collects the problems
     * @param schema the keys of the file
     * @param root the values of the file
     */
    public void checkFile(CheckRun run, Spec.Section schema, Node.Mapping root) {}

    /**
     * Checks the settings after the merge.
     *
     * @param run collects the problems
     * @param schema the keys of the settings
     * @param root the merged values
     */
    public void checkMerged(CheckRun run, Spec.Section schema, Node.Mapping root) {}

    /**
     * Returns a view of the merged settings.
     *
     * @param schema the keys of the settings
     * @param root the merged values
     * @return the view
     */
    protected static SectionView view(Spec.Section schema, Node.Mapping root) {
        return new SectionView(schema, root);
    }
}
