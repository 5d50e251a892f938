package org.gentianwalk.core.model;

/**
 * Identifies a request across connections, instances and attempts.
 *
 * @param team the team that the caller's API key belongs to
 * @param key the caller's idempotency key, or a generated one
 */
public record RequestKey(String team, String key) implements Comparable<RequestKey> {
    /** Longest accepted idempotency key, in characters. */
    public static final int MAX_KEY_LENGTH = 128;

    public RequestKey {
        if (team.isEmpty()) {
            throw new IllegalArgumentException("team must not be empty");
        }
        if (key.isEmpty() || key.length() > MAX_KEY_LENGTH) {
            throw new IllegalArgumentException(
                    "key must have 1 to " + MAX_KEY_LENGTH + " characters");
        }
    }

    @Override
    public int compareTo(RequestKey other) {
        int byTeam = team.compareTo(other.team);
        return byTeam != 0 ? byTeam : key.compareTo(other.key);
    }

    @Override
    public String toString() {
        return team + "/" + key;
    }
}
