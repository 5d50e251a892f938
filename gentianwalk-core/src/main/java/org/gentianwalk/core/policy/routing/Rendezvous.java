package org.gentianwalk.core.policy.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Rendezvous hashing: every instance computes the same order of the same candidates. */
public final class Rendezvous {
    private Rendezvous() {}

    /**
     * Orders candidates by their score for a key.
     *
     * @param key the key
     * @param candidates identifiers
     * @return the candidates, the highest score first
     */
    public static List<String> order(String key, Collection<String> candidates) {
        List<String> ordered = new ArrayList<>(candidates);
        long seed = hash(key);
        ordered.sort(
                Comparator.comparingLong((String name) -> mix(seed ^ hash(name)))
                        .reversed()
                        .thenComparing(Comparator.naturalOrder()));
        return ordered;
    }

    /**
     * Returns the candidate with the highest score for a key.
     *
     * @param key the key
     * @param candidates identifiers
     * @return the first candidate of {@link #order}, or empty without candidates
     */
    public static Optional<String> first(String key, Collection<String> candidates) {
        long seed = hash(key);
        String best = null;
        long bestScore = 0;
        for (String name : candidates) {
            long score = mix(seed ^ hash(name));
            if (best == null
                    || score > bestScore
                    || score == bestScore && name.compareTo(best) < 0) {
                best = name;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Hashes a text to 64 bits (FNV-1a with a final mix).
     *
     * @param text the text
     * @return the hash
     */
    public static long hash(String text) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        return mix(hash);
    }

    /** The finalizer of SplitMix64. */
    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }
}
