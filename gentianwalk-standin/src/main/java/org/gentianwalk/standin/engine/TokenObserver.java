package org.gentianwalk.standin.engine;

/** Is told each token just before an engine stand-in sends it; for measurements in one process. */
@FunctionalInterface
public interface TokenObserver {
    /**
     * Takes note of a token.
     *
     * @param seed seed of the request, which identifies it
     * @param position position of the token
     */
    void sending(long seed, int position);
}
