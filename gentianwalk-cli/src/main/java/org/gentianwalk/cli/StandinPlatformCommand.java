package org.gentianwalk.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.platform.InstanceList;
import org.gentianwalk.standin.platform.FaultSwitch;
import org.gentianwalk.standin.platform.PlatformStandin;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Runs the stand-in of the platform's services until the process is ended.
 *
 * <p>Example: {@code gentianwalk standin platform --port 9100 --instance
 * e1,upstream,127.0.0.1:9201,gent,east}
 */
@Command(
        name = "platform",
        mixinStandardHelpOptions = true,
        description = "Runs a stand-in of the table service, object store, list and weight store.")
public final class StandinPlatformCommand implements Callable<Integer> {
    private static final int FIELDS = 5;

    @Option(names = "--host", defaultValue = "127.0.0.1", description = "Address to listen on.")
    private String mHost = "127.0.0.1";

    @Option(names = "--port", defaultValue = "0", description = "Port; 0 takes a free one.")
    private int mPort;

    @Option(names = "--writes", defaultValue = "400", description = "Writes a second.")
    private double mWrites;

    @Option(names = "--reads", defaultValue = "2000", description = "Reads a second.")
    private double mReads;

    @Option(names = "--weights", defaultValue = "0.5", description = "Weight loads a second.")
    private double mWeights;

    @Option(names = "--lag-ms", defaultValue = "2000", description = "Lag of the list, ms.")
    private long mLagMillis;

    @Option(
            names = "--instance",
            description = "Entry of the list: id,instance|upstream,ip:port,zone,region.")
    private List<String> mInstances = new ArrayList<>();

    @Override
    public Integer call() throws IOException, InterruptedException {
        List<InstanceList.Entry> entries = new ArrayList<>();
        for (String text : mInstances) {
            entries.add(entry(text));
        }
        PlatformStandin.Options options =
                new PlatformStandin.Options(
                        new InetSocketAddress(mHost, mPort),
                        mWrites,
                        mReads,
                        mWeights,
                        Duration.ofMillis(mLagMillis),
                        entries);
        try (PlatformStandin standin = PlatformStandin.start(options, new FaultSwitch())) {
            System.out.println("platform stand-in at " + standin.uri());
            new CountDownLatch(1).await();
        }
        return 0;
    }

    private static InstanceList.Entry entry(String text) {
        String[] fields = text.split(",", -1);
        if (fields.length != FIELDS) {
            throw new IllegalArgumentException(
                    "--instance needs id,instance|upstream,ip:port,zone,region but got " + text);
        }
        return new InstanceList.Entry(
                fields[0],
                InstanceList.Kind.valueOf(fields[1].toUpperCase(Locale.ROOT)),
                fields[2],
                new Location(fields[4], fields[3]),
                InstanceList.State.LIVE);
    }
}
