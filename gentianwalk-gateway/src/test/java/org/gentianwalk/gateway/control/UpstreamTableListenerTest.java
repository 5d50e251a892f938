package org.gentianwalk.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.gentianwalk.core.dispatch.Upstream;
import org.gentianwalk.core.dispatch.UpstreamDirectory;
import org.gentianwalk.core.route.RouteTable;
import org.gentianwalk.gateway.log.GatewayLog;
import org.gentianwalk.gateway.store.RowFormat;
import org.gentianwalk.gateway.store.RowStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a log line for each row that an upstream writes again only to show its life. */
class UpstreamTableListenerTest {
    private final Logger mLogger = Logger.getLogger("org.gentianwalk.decision");
    private final List<String> mLines = new ArrayList<>();
    private final Handler mHandler =
            new Handler() {
                @Override
                public void publish(LogRecord line) {
                    mLines.add(line.getMessage());
                }

                @Override
                public void flush() {
                    // The lines are kept in memory.
                }

                @Override
                public void close() {
                    // The lines are kept in memory.
                }
            };

    private final UpstreamDirectory mDirectory = new UpstreamDirectory();
    private final UpstreamTableListener mListener =
            new UpstreamTableListener(new Rows(), mDirectory, () -> {}, () -> 0, new GatewayLog());

    /** Rows of the number of slots and a sequence, which the directory does not keep. */
    private static final class Rows implements RowFormat {
        @Override
        public String configTable() {
            return "config";
        }

        @Override
        public String configKey() {
            return "config";
        }

        @Override
        public String upstreamTable() {
            return "upstreams";
        }

        @Override
        public RouteTable parseConfiguration(byte[] value) {
            throw new AssertionError("not a table of the test");
        }

        @Override
        public Upstream parseUpstream(String id, byte[] value) {
            int slots = Integer.parseInt(text(value).split(" ", -1)[0]);
            return new Upstream(id, 1, "service", "127.0.0.1:1", "zone", slots, false);
        }

        private static String text(byte[] value) {
            return new String(value, StandardCharsets.US_ASCII);
        }
    }

    @BeforeEach
    void addHandler() {
        mLogger.setLevel(Level.INFO);
        mLogger.addHandler(mHandler);
    }

    @AfterEach
    void removeHandler() {
        mLogger.removeHandler(mHandler);
    }

    @Test
    void onlyAChangedEntryIsLogged() {
        write("8 1", 1);
        write("8 2", 2);
        write("8 3", 3);
        assertThat(mLines).containsExactly("upstream listed");

        write("9 4", 4);
        assertThat(mLines).containsExactly("upstream listed", "upstream listed");
        assertThat(mDirectory.upstreams("service")).extracting(Upstream::slots).containsExactly(9);
    }

    /** Entries that are read with the whole table would otherwise be missing from the log. */
    @Test
    void theEntriesOfAWholeTableAreLoggedOnce() {
        mListener.replaced(List.of(row("8 1", 1)));
        mListener.replaced(List.of(row("8 2", 2)));
        write("8 3", 3);

        assertThat(mLines).containsExactly("upstream listed");
    }

    private void write(String value, long version) {
        mListener.changed(List.of(row(value, version)));
    }

    private static RowStore.Row row(String value, long version) {
        byte[] bytes = value.getBytes(StandardCharsets.US_ASCII);
        return new RowStore.Row("engine", bytes, false, version);
    }
}
