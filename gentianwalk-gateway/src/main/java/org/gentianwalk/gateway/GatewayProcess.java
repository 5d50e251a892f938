package org.gentianwalk.gateway;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.gentianwalk.gateway.log.GatewayLog;
import org.gentianwalk.gateway.settings.SettingsException;
import org.gentianwalk.gateway.settings.SettingsReader;
import org.gentianwalk.server.guard.FailureGuard;
import org.gentianwalk.server.log.Logging;

/**
 * Runs an instance as a process: reads its settings, reloads them on changes and stops gracefully.
 *
 * <p>SIGTERM stops the instance gracefully. SIGHUP makes it reload its settings; a changed file is
 * also reloaded without a signal.
 *
 * <p>After an error of the virtual machine that leaves the process unreliable, such as a lack of
 * memory, the instance stops in the same way, so that the platform replaces it; the status is 3.
 */
public final class GatewayProcess {
    private static final int EXIT_SETTINGS = 2;
    private static final int EXIT_START = 1;

    /** Status after an error of the virtual machine, such as a lack of memory. */
    private static final int EXIT_FATAL = 3;

    /**
     * Time beyond the grace period at which the process ends whatever its threads do. Planned stops
     * end within the period.
     */
    private static final Duration END_MARGIN = Duration.ofMillis(300);

    /** Interval of the check for a changed settings file. */
    private static final long SETTINGS_POLL_MILLIS = 2_000;

    /** Time before the end of the grace period until which the log may be written. */
    private static final Duration LOG_MARGIN = Duration.ofMillis(50);

    private final Path mFile;
    private final Function<GatewaySettings, Gateway> mFactory;
    private final GatewayLog mLog = new GatewayLog();
    private final SettingsReader mReader = new SettingsReader();

    /**
     * Creates a process.
     *
     * @param file the settings file
     * @param factory creates the instance
     */
    public GatewayProcess(Path file, Function<GatewaySettings, Gateway> factory) {
        mFile = file;
        mFactory = factory;
    }

    /** Starts the instance; exits the process with an error status if that fails. */
    public void run() {
        GatewaySettings settings;
        try {
            settings = mReader.read(mFile);
        } catch (SettingsException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_SETTINGS);
            return;
        }
        // By default Netty would prefer another logging library on the class path.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        Logging logging = Logging.start(settings.name(), settings.logLevel(), System.out);
        Gateway gateway = mFactory.apply(settings);
        FailureGuard guard = FailureGuard.logging();
        ProcessEnd end =
                new ProcessEnd(
                        status -> stop(gateway, logging, settings.stopGrace(), status),
                        settings.stopGrace().plus(END_MARGIN),
                        Runtime.getRuntime()::halt,
                        guard);
        end.start();
        gateway.onFatalError(() -> end.request(EXIT_FATAL));
        try {
            gateway.start();
        } catch (IOException e) {
            mLog.instanceChanged("not started", String.valueOf(e.getMessage()));
            logging.close();
            System.exit(EXIT_START);
            return;
        }
        mLog.instanceChanged("started", "settings " + mFile);
        ScheduledExecutorService watch =
                Executors.newSingleThreadScheduledExecutor(
                        task -> Thread.ofPlatform().daemon().name("process").unstarted(task));
        SettingsReloader reloader = new SettingsReloader(gateway, settings);
        watch.scheduleWithFixedDelay(
                guard.guarded("settings", () -> reloader.reload("the file has changed", false)),
                SETTINGS_POLL_MILLIS,
                SETTINGS_POLL_MILLIS,
                TimeUnit.MILLISECONDS);
        ProcessSignals.handle(
                "HUP",
                () ->
                        watch.execute(
                                guard.guarded("settings", () -> reloader.reload("SIGHUP", true))));
        ProcessSignals.handle(
                "TERM",
                () -> {
                    end.request(0);
                    mLog.instanceChanged("stopping", "SIGTERM");
                });
    }

    private void stop(Gateway gateway, Logging logging, Duration grace, int status) {
        long graceEnd = System.nanoTime() + grace.toNanos();
        gateway.stop(
                () -> {
                    try {
                        mLog.instanceChanged(
                                "stopped", "no connection is left or the grace period is over");
                        closeLog(logging, graceEnd - System.nanoTime());
                    } finally {
                        Runtime.getRuntime().halt(status);
                    }
                });
    }

    /**
     * Closes the log. It waits for a slow reader of the output, but the process must not outlast
     * its grace period.
     */
    private static void closeLog(Logging logging, long remainingNanos) {
        Thread closing = Thread.ofPlatform().daemon().name("log-close").unstarted(logging::close);
        closing.start();
        try {
            closing.join(Duration.ofNanos(remainingNanos).minus(LOG_MARGIN));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reloads the settings file and applies changes. */
    private final class SettingsReloader {
        private final Gateway mGateway;
        private GatewaySettings mCurrent;

        SettingsReloader(Gateway gateway, GatewaySettings settings) {
            mGateway = gateway;
            mCurrent = settings;
        }

        void reload(String reason, boolean logUnchanged) {
            try {
                GatewaySettings settings = mReader.read(mFile);
                if (settings.equals(mCurrent)) {
                    if (logUnchanged) {
                        mLog.instanceChanged("settings unchanged", reason);
                    }
                    return;
                }
                mCurrent = settings;
                mGateway.applySettings(settings);
                mLog.instanceChanged("settings in force", reason);
            } catch (SettingsException e) {
                mLog.instanceChanged(
                        "settings rejected, the previous ones stay in force",
                        String.valueOf(e.getMessage()));
            }
        }
    }
}
