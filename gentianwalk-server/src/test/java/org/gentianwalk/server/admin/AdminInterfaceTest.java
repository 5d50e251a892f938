package org.gentianwalk.server.admin;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.gentianwalk.core.config.ConfigFolder;
import org.gentianwalk.core.config.Problem;
import org.gentianwalk.core.config.tree.Source;
import org.gentianwalk.core.config.version.ApplyResult;
import org.gentianwalk.core.config.version.ConfigState;
import org.gentianwalk.server.config.ConfigAccess;
import org.gentianwalk.server.metrics.Metrics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class AdminInterfaceTest {
    private final List<String> mCommands = new ArrayList<>();
    private final HttpClient mClient = HttpClient.newHttpClient();
    private HttpServer mServer;
    private ApplyResult mResult = new ApplyResult.Accepted(8);
    private ConfigFolder mApplied = ConfigFolder.EMPTY;

    @BeforeEach
    void start() throws IOException {
        mServer = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        InstanceControl control =
                new InstanceControl() {
                    @Override
                    public Map<String, Object> status() {
                        return Map.of("id", "kvali-1", "version", 7);
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
                        return ConfigState.NONE;
                    }

                    @Override
                    public ApplyResult apply(ConfigFolder folder, long base, String author) {
                        mCommands.add("apply " + base + " " + author);
                        mApplied = folder;
                        return mResult;
                    }
                };
        Metrics metrics = new Metrics();
        metrics.counter("requests_total").inc();
        new AdminInterface(new AdminToken(AdminToken.hash("secret")), control, config, metrics)
                .addTo(mServer);
        mServer.start();
    }

    @AfterEach
    void stop() {
        mServer.stop(0);
        mClient.close();
    }

    private HttpResponse<String> send(String method, String path, String token, String body)
            throws IOException, InterruptedException {
        URI uri = URI.create("http://127.0.0.1:" + mServer.getAddress().getPort() + path);
        HttpRequest.Builder request =
                HttpRequest.newBuilder(uri).method(method, BodyPublishers.ofString(body));
        if (!token.isEmpty()) {
            request.header("Authorization", "Bearer " + token);
        }
        return mClient.send(request.build(), BodyHandlers.ofString());
    }

    /** Guards against operations that are possible without the token. */
    @Test
    void everyAdminPathNeedsTheToken() throws IOException, InterruptedException {
        for (String path : List.of("status", "config", "drain", "undrain", "shutdown")) {
            String method = path.equals("status") || path.equals("config") ? "GET" : "POST";
            for (String token : List.of("", "wrong", "secret ", "secre")) {
                String query = path.endsWith("drain") ? "?upstream=engine-1" : "";
                HttpResponse<String> response = send(method, "/admin/" + path + query, token, "");
                boolean same = token.strip().equals("secret");
                assertThat(response.statusCode()).as(path + token).isEqualTo(same ? 200 : 401);
                assertThat(response.body()).doesNotContain("secre\"");
            }
        }
        assertThat(mCommands).containsExactly("drain engine-1", "undrain engine-1", "shutdown");
        assertThat(send("GET", "/metrics", "", "").body()).contains("requests_total 1");
    }

    /** Guards against commands that run on undocumented methods or paths. */
    @Test
    void methodsAndPathsAreExact() throws IOException, InterruptedException {
        HttpResponse<String> response = send("GET", "/admin/shutdown", "secret", "");
        assertThat(response.statusCode()).isEqualTo(405);
        assertThat(response.headers().firstValue("Allow")).contains("POST");
        assertThat(send("POST", "/admin/drained", "secret", "").statusCode()).isEqualTo(404);
        assertThat(mCommands).isEmpty();
    }

    /** Guards against reporting success for the name of an unknown upstream. */
    @Test
    void drainRefusesUnknownUpstreams() throws IOException, InterruptedException {
        HttpResponse<String> unknown = send("POST", "/admin/drain?upstream=engin-1", "secret", "");
        assertThat(unknown.statusCode()).isEqualTo(404);
        assertThat(unknown.body()).contains("engin-1", "engine-1, engine-2");
        for (String query : List.of("", "?upstream", "?other=engine-1", "?upstream=%25zz")) {
            assertThat(send("POST", "/admin/drain" + query, "secret", "").statusCode())
                    .as(query)
                    .isBetween(400, 404);
        }
        assertThat(mCommands).isEmpty();
    }

    /** Guards against indistinguishable results of applying a configuration. */
    @Test
    void eachResultOfAnApplyHasItsStatusAndDetails() throws IOException, InterruptedException {
        String body =
                "{\"base_version\":7,\"author\":\"ana\",\"files\":{\"a.yaml\":\"limits: {}\"}}";
        assertThat(apply(body, 200).get("version").asInt()).isEqualTo(8);
        assertThat(mCommands).containsExactly("apply 7 ana");
        assertThat(mApplied).isEqualTo(ConfigFolder.ofTexts(Map.of("a.yaml", "limits: {}")));
        mResult = new ApplyResult.Conflict(9, "ben", List.of("b.yaml"));
        JsonNode conflict = apply(body, 409);
        assertThat(conflict.at("/error/message").asText())
                .contains("Version 9", "b.yaml", "base version 9");
        assertThat(conflict.get("changed_files").get(0).asText()).isEqualTo("b.yaml");
        mResult = new ApplyResult.Refused(List.of(new Problem(new Source("a.yaml", 3), "k", "m")));
        assertThat(apply(body, 400).get("problems").get(0).asText()).isEqualTo("a.yaml:3: k: m");
        mResult = new ApplyResult.Unavailable("timeout");
        apply(body, 503);
        mResult = new ApplyResult.Unknown("timeout");
        assertThat(apply(body, 502).at("/error/code").asText()).isEqualTo("outcome_unknown");
        int before = mCommands.size();
        for (String bad : List.of("", "{", "[]", "{\"base_version\":\"7\"}", body + "x")) {
            apply(bad.endsWith("x") ? body.replace("7", "7.5") : bad, 400);
        }
        assertThat(mCommands).hasSize(before);
    }

    private JsonNode apply(String body, int status) throws IOException, InterruptedException {
        HttpResponse<String> response = send("POST", "/admin/config", "secret", body);
        assertThat(response.statusCode()).isEqualTo(status);
        return new ObjectMapper().readTree(response.body());
    }
}
