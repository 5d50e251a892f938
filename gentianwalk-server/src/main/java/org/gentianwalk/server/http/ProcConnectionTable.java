package org.gentianwalk.server.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads the state of connections from Linux's {@code /proc/net/tcp} and {@code tcp6}. A connection
 * in state ESTABLISHED is open; any other state means that the caller has closed it.
 */
public final class ProcConnectionTable implements ConnectionTable {
    private static final List<Path> TABLES =
            List.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"));
    private static final String ESTABLISHED = "01";
    private static final int LOCAL_COLUMN = 1;
    private static final int REMOTE_COLUMN = 2;
    private static final int STATE_COLUMN = 3;
    private static final int HEX = 16;

    /**
     * Returns the table of this system.
     *
     * @return this implementation if the files exist, otherwise {@link ConnectionTable#unknown}
     */
    public static ConnectionTable detect() {
        return Files.isReadable(TABLES.getFirst())
                ? new ProcConnectionTable()
                : ConnectionTable.unknown();
    }

    @Override
    public Snapshot snapshot() {
        Map<Long, State> states = new HashMap<>();
        try {
            for (Path table : TABLES) {
                if (Files.isReadable(table)) {
                    read(table, states);
                }
            }
        } catch (IOException e) {
            return (local, remote) -> State.OPEN;
        }
        return (local, remote) ->
                states.getOrDefault(key(local.getPort(), remote.getPort()), State.ABSENT);
    }

    private static void read(Path table, Map<Long, State> states) throws IOException {
        try (BufferedReader lines = Files.newBufferedReader(table, StandardCharsets.US_ASCII)) {
            lines.readLine();
            String line = lines.readLine();
            while (line != null) {
                String[] columns = line.strip().split("\\s+", STATE_COLUMN + 2);
                if (columns.length > STATE_COLUMN) {
                    boolean open = columns[STATE_COLUMN].equals(ESTABLISHED);
                    long key = key(port(columns[LOCAL_COLUMN]), port(columns[REMOTE_COLUMN]));
                    // If several addresses use the same ports, the open connection takes
                    // precedence.
                    states.merge(
                            key,
                            open ? State.OPEN : State.CLOSED,
                            (one, other) -> one == State.OPEN ? one : other);
                }
                line = lines.readLine();
            }
        }
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1), HEX);
    }

    // Omits the addresses: a collision of both ports only delays the detection of a disconnect.
    private static long key(int local, int remote) {
        return ((long) local << Integer.SIZE) | remote;
    }
}
