package org.gentianwalk.cli;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.gentianwalk.standin.service.ServiceStandin;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code gentianwalk standin service}: a plain service that counts executions. */
@Command(
        name = "service",
        mixinStandardHelpOptions = true,
        description = "Runs a stand-in for a plain service.")
public final class StandinServiceCommand implements Callable<Integer> {
    @Option(names = "--id", defaultValue = "service-1", description = "Identifier of the service.")
    private String mId = "";

    @Option(names = "--port", defaultValue = "9101", description = "Loopback port; 0: a free one.")
    private int mPort;

    @Option(names = "--delay-ms", defaultValue = "0", description = "Delay of each answer, ms.")
    private long mDelayMillis;

    @Option(
            names = "--lose-answers",
            defaultValue = "0",
            description = "Part of the answers lost after the execution, from 0 to 1.")
    private double mLostAnswers;

    @Option(names = "--seed", defaultValue = "1", description = "Seed of the lost answers.")
    private long mSeed;

    @Override
    public Integer call() throws IOException, InterruptedException {
        ServiceStandin.Ledger ledger = new ServiceStandin.Ledger();
        try (ServiceStandin service = ServiceStandin.start(mId, ledger, mPort, mSeed)) {
            service.delay(Duration.ofMillis(mDelayMillis));
            service.loseAnswers(mLostAnswers);
            System.out.println("service stand-in " + mId + " listens on " + service.uri());
            new CountDownLatch(1).await();
        }
        return 0;
    }
}
