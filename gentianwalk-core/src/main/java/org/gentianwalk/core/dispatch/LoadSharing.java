package org.gentianwalk.core.dispatch;

import java.util.Collection;

/** A scheduler that decides better when it knows what other instances have at its engines. */
public interface LoadSharing {
    /**
     * Number of other instances from which on those of other regions tell of their load at
     * intervals only, so that engines there are a last resort.
     */
    int WIDE_FLEET = 24;

    /**
     * Returns what this instance has at the engines.
     *
     * @param nowNanos current time
     * @return a complete share
     */
    LoadShare share(long nowNanos);

    /**
     * Returns a number that rises when {@link #share} has something new to say.
     *
     * @return the number
     */
    long shareChanges();

    /**
     * Takes in another instance's share, which replaces its last one.
     *
     * @param instance the instance
     * @param share its share
     * @param nowNanos time of receipt
     */
    void peerShare(String instance, LoadShare share, long nowNanos);

    /**
     * Forgets the shares of instances that are gone.
     *
     * @param instances the other instances that live
     */
    void retainPeers(Collection<String> instances);
}
