package org.gentianwalk.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.gentianwalk.core.config.ConfigFolder;
import org.gentianwalk.core.config.version.ApplyResult;
import org.gentianwalk.core.config.version.ConfigState;
import org.gentianwalk.server.admin.AdminInterface;
import org.gentianwalk.server.admin.AdminToken;
import org.gentianwalk.server.admin.InstanceControl;
import org.gentianwalk.server.config.ConfigAccess;
import org.gentianwalk.server.metrics.Metrics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

class CommandLineTest {
    private static final String KVALI = "../examples/kvali";

    @TempDir private Path mFolder;
    private final List<String> mCommands = new ArrayList<>();
    private HttpServer mServer;
    private ConfigState mState = ConfigState.NONE;

    private record Run(int code, String out, String err) {}

    private static Run run(String... arguments) {
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        CommandLine commandLine =
                Main.commandLine().setOut(new PrintWriter(out)).setErr(new PrintWriter(err));
        return new Run(commandLine.execute(arguments), out.toString(), err.toString());
    }

    private Run admin(String... arguments) {
        List<String> all = new ArrayList<>(List.of(arguments));
        all.add("--instance=http://127.0.0.1:" + mServer.getAddress().getPort());
        all.add("--token-file=" + mFolder.resolve("token"));
        return run(all.toArray(String[]::new));
    }

    /** Commits as the store would: only on top of the version in force. */
    private ApplyResult apply(ConfigFolder folder, long base, String author) {
        if (base != mState.version()) {
            return new ApplyResult.Conflict(mState.version(), "ben", List.of("50-ben.yaml"));
        }
        mState =
                ((ConfigState.UpdateResult.Updated)
                                mState.update(ConfigState.fullContent(base + 1, folder)))
                        .state();
        return new ApplyResult.Accepted(base + 1);
    }

    @BeforeEach
    void start() throws IOException {
        Files.writeString(mFolder.resolve("token"), "secret\n");
        mServer = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        InstanceControl control =
                new InstanceControl() {
                    @Override
                    public Map<String, Object> status() {
                        return Map.of("id", "kvali-1");
                    }

                    @Override
                    public List<String> upstreams() {
                        return List.of("engine-1", "engine-2");
                    }

                    @Override
                    public void drain(String upstream) {
                        mCommands.add("drain " + upstream);
                    }

                    @Override
                    public void undrain(String upstream) {
                        mCommands.add("undrain " + upstream);
                    }

                    @Override
                    public void shutdown() {
                        mCommands.add("shutdown");
                    }
                };
        ConfigAccess config =
                new ConfigAccess() {
                    @Override
                    public ConfigState state() {
                        return mState;
                    }

                    @Override
                    public ApplyResult apply(ConfigFolder folder, long base, String author) {
                        return CommandLineTest.this.apply(folder, base, author);
                    }
                };
        AdminToken token = new AdminToken(AdminToken.hash("secret"));
        new AdminInterface(token, control, config, new Metrics()).addTo(mServer);
        mServer.start();
    }

    @AfterEach
    void stop() {
        mServer.stop(0);
    }

    /** Guards against a check that accepts a defective folder or hides where the defect is. */
    @Test
    void checkTellsValidAndDefectiveFoldersApart() throws IOException {
        assertThat(run("config", "check", KVALI)).extracting(Run::code).isEqualTo(0);
        Files.writeString(mFolder.resolve("a.yaml"), "limits:\n  max-bdy: 4\n");
        Run refused = run("config", "check", mFolder.toString());
        assertThat(refused.code()).isEqualTo(1);
        assertThat(refused.err()).contains("a.yaml:2: limits.max-bdy:", "problems");
        assertThat(refused.out()).isEmpty();
    }

    /** Guards against a rule shown without the file that set it. */
    @Test
    void showNamesTheFileOfEachValue() {
        Run shown = run("config", "show", KVALI, "--team", "tbilisi-old-town", "--kind", "quote");
        assertThat(shown.err()).isEmpty();
        assertThat(shown.out()).contains("rank", "urgent", "20-kinds.yaml:");
        Run missing = run("config", "show", KVALI, "--team", "nobody");
        assertThat(missing.code()).isEqualTo(1);
        assertThat(missing.err()).contains("there is no team nobody");
    }

    /** Guards against a second operator who overwrites the first one's change unseen. */
    @Test
    void applyFetchAndConflict() throws IOException {
        assertThat(admin("config", "apply", KVALI, "--base=0").out())
                .contains("accepted as version 1");
        Run conflict = admin("config", "apply", KVALI, "--base=0");
        assertThat(conflict.code()).isEqualTo(1);
        assertThat(conflict.err()).contains("50-ben.yaml", "base version 1");
        Path fetched = mFolder.resolve("fetched");
        assertThat(admin("config", "fetch", fetched.toString()).out()).contains("version 1");
        assertThat(ConfigFolder.read(fetched)).isEqualTo(ConfigFolder.read(Path.of(KVALI)));
        assertThat(admin("config", "fetch", fetched.toString()).code()).isEqualTo(1);
    }

    /** Guards against commands that report success without having reached the instance. */
    @Test
    void commandsReachTheInstanceAndFailWithoutStackTrace() throws IOException {
        assertThat(admin("status", "--json").out()).contains("\"id\" : \"kvali-1\"");
        assertThat(admin("drain").code()).isEqualTo(2);
        Run unknown = admin("drain", "engine-9");
        assertThat(unknown.code()).isEqualTo(1);
        assertThat(unknown.err()).contains("engine-9", "engine-1, engine-2");
        assertThat(admin("drain", "engine-1").code()).isZero();
        assertThat(admin("undrain", "engine-1").code()).isZero();
        assertThat(admin("shutdown").code()).isZero();
        assertThat(mCommands).containsExactly("drain engine-1", "undrain engine-1", "shutdown");
        Files.writeString(mFolder.resolve("token"), "wrong");
        Run refused = admin("drain", "engine-1");
        assertThat(refused.code()).isEqualTo(1);
        assertThat(refused.err()).contains("admin token").doesNotContain("\tat ");
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        Run unreachable =
                run(
                        "status",
                        "--instance=http://127.0.0.1:" + port,
                        "--token-file=" + mFolder.resolve("token"));
        assertThat(unreachable.code()).isEqualTo(1);
        assertThat(unreachable.err()).contains("no answer from").doesNotContain("\tat ");
        Run noFile = run("config", "check", mFolder.resolve("missing").toString());
        assertThat(noFile.err()).contains("does not exist").doesNotContain("\tat ");
        assertThat(noFile.code()).isEqualTo(1);
    }

    /** Guards against undocumented exit codes and commands missing from the help. */
    @Test
    void usageErrorsHelpAndCompletion() {
        assertThat(run("config").code()).isEqualTo(2);
        assertThat(run("config", "apply", KVALI).code()).isEqualTo(2);
        assertThat(run("nonsense").code()).isEqualTo(2);
        String help = run("--help").out();
        assertThat(help).contains("config", "status", "drain", "undrain", "shutdown", "Exit codes");
        assertThat(run("config", "apply", "--help").out()).contains("--base", "Exit codes:");
        assertThat(run("version").out()).contains("gentianwalk 0.1.0");
        assertThat(run("generate-completion").out()).contains("hash-key");
        Run generated = run("config", "hash-key", "--generate");
        String key = generated.out().lines().findFirst().orElseThrow().substring(8);
        assertThat(generated.out()).contains(AdminToken.hash(key));
    }
}
