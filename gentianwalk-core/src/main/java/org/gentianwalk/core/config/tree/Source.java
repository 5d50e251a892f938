package org.gentianwalk.core.config.tree;

/**
 * The place where a value was set.
 *
 * @param file name of the file
 * @param line line within the file, from 1
 */
public record Source(String file, int line) {
    /** Source of values that are not set in any file. */
    public static final Source DEFAULT = new Source("(default)", 0);

    @Override
    public String toString() {
        return line == 0 ? file : file + ":" + line;
    }
}
