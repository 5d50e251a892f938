package org.gentianwalk.history.check;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gentianwalk.history.History;
import org.gentianwalk.history.HistoryEvent;
import org.gentianwalk.history.HistoryEvent.ConfigAccepted;
import org.gentianwalk.history.HistoryEvent.ConfigInForce;
import org.gentianwalk.history.HistoryEvent.InstanceReachable;
import org.gentianwalk.history.HistoryEvent.InstanceUnreachable;

/**
 * P8: an accepted version has one content, is in force on every reachable instance within 5 s, and
 * no instance goes from a newer version to an older one.
 *
 * <p>Options: none. Example: {@code new ConfigCheck()}. An instance that has been unreachable gets
 * 5 s from the moment it is reachable again.
 */
public final class ConfigCheck extends HistoryCheck {
    private static final long BOUND_NANOS = Duration.ofSeconds(5).toNanos();

    /** Creates the checker. */
    public ConfigCheck() {
        super("P8");
    }

    @Override
    protected void inspect(History history) {
        List<ConfigAccepted> accepted = new ArrayList<>();
        Map<Long, String> digests = new HashMap<>();
        Map<String, Long> inForce = new HashMap<>();
        Map<String, Long> reachableSince = new HashMap<>();
        for (HistoryEvent event : history.events()) {
            switch (event) {
                case ConfigAccepted acceptance -> {
                    accepted.add(acceptance);
                    verifyContent(
                            acceptance.timeNanos(),
                            acceptance.version(),
                            acceptance.digest(),
                            digests);
                }
                case InstanceReachable up -> reachableSince.put(up.instance(), up.timeNanos());
                case InstanceUnreachable down -> reachableSince.remove(down.instance());
                case ConfigInForce use -> {
                    verifyContent(use.timeNanos(), use.version(), use.digest(), digests);
                    verifyOrder(use, inForce);
                    verifyAge(use, accepted, reachableSince);
                }
                default -> {}
            }
        }
    }

    private void verifyContent(
            long timeNanos, long version, String digest, Map<Long, String> digests) {
        String earlier = digests.putIfAbsent(version, digest);
        if (earlier != null && !earlier.equals(digest)) {
            report(timeNanos, "version %d has contents %s and %s", version, earlier, digest);
        }
    }

    private void verifyOrder(ConfigInForce use, Map<String, Long> inForce) {
        Long earlier = inForce.put(use.instance(), use.version());
        if (earlier != null && earlier > use.version()) {
            report(
                    use.timeNanos(),
                    "%s went from version %d to %d",
                    use.instance(),
                    earlier,
                    use.version());
        }
    }

    private void verifyAge(
            ConfigInForce use, List<ConfigAccepted> accepted, Map<String, Long> reachableSince) {
        Long since = reachableSince.get(use.instance());
        if (since == null) {
            return;
        }
        for (ConfigAccepted acceptance : accepted) {
            long due = Math.max(acceptance.timeNanos(), since) + BOUND_NANOS;
            if (acceptance.version() > use.version() && use.timeNanos() > due) {
                report(
                        use.timeNanos(),
                        "%s still uses version %d, version %d was due before",
                        use.instance(),
                        use.version(),
                        acceptance.version());
                return;
            }
        }
    }
}
