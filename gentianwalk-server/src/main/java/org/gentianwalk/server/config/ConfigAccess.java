package org.gentianwalk.server.config;

import org.gentianwalk.core.config.ConfigFolder;
import org.gentianwalk.core.config.version.ApplyResult;
import org.gentianwalk.core.config.version.ConfigState;

/** Access to the configuration for the operators' interface. */
public interface ConfigAccess {
    /**
     * Returns the current configuration.
     *
     * @return version and files
     */
    ConfigState state();

    /**
     * Checks a folder and commits it. Blocks.
     *
     * @param folder all files
     * @param base version on which the change is based
     * @param author name recorded with the commit
     * @return the result
     */
    ApplyResult apply(ConfigFolder folder, long base, String author);
}
