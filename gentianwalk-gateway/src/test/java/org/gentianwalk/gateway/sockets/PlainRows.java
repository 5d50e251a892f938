package org.gentianwalk.gateway.sockets;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.gentianwalk.core.dispatch.Upstream;
import org.gentianwalk.core.route.RouteTable;
import org.gentianwalk.gateway.store.RowFormat;
import org.gentianwalk.gateway.store.UnreadableRowException;

/** Rows of tests: a configuration row names a prepared table, an upstream is a line of text. */
class PlainRows implements RowFormat {
    static final String CONFIG = "config";
    static final String UPSTREAMS = "upstreams";

    private final Map<String, RouteTable> mTables = new ConcurrentHashMap<>();

    byte[] encode(RouteTable table) {
        String name = Long.toString(table.version());
        mTables.put(name, table);
        return name.getBytes(StandardCharsets.UTF_8);
    }

    static byte[] encode(Upstream upstream) {
        return String.join(
                        " ",
                        Long.toString(upstream.incarnation()),
                        upstream.service(),
                        upstream.address(),
                        upstream.zone(),
                        Integer.toString(upstream.slots()),
                        Boolean.toString(upstream.draining()))
                .getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public String configTable() {
        return CONFIG;
    }

    @Override
    public String configKey() {
        return CONFIG;
    }

    @Override
    public String upstreamTable() {
        return UPSTREAMS;
    }

    @Override
    public RouteTable parseConfiguration(byte[] value) throws UnreadableRowException {
        RouteTable table = mTables.get(new String(value, StandardCharsets.UTF_8));
        if (table == null) {
            throw new UnreadableRowException("the configuration is not known");
        }
        return table;
    }

    @Override
    public Upstream parseUpstream(String id, byte[] value) throws UnreadableRowException {
        String[] fields = new String(value, StandardCharsets.UTF_8).split(" ");
        try {
            return new Upstream(
                    id,
                    Long.parseLong(fields[0]),
                    fields[1],
                    fields[2],
                    fields[3],
                    Integer.parseInt(fields[4]),
                    Boolean.parseBoolean(fields[5]));
        } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException e) {
            throw new UnreadableRowException("the entry is not valid", e);
        }
    }
}
