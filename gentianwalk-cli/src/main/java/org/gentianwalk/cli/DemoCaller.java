package org.gentianwalk.cli;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.gentianwalk.standin.engine.TokenSequence;
import org.jboss.logging.Logger;

/** Sends one request after the other and compares each answer with the expected tokens. */
final class DemoCaller implements Runnable {
    private static final Logger LOG = Logger.getLogger(DemoCaller.class);
    private static final int TOKENS = 150;
    private static final Duration PAUSE = Duration.ofSeconds(1);
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final int STATUS_OK = 200;

    private final URI mInstance;
    private final AtomicInteger mFailures = new AtomicInteger();

    DemoCaller(URI instance) {
        mInstance = instance;
    }

    int failures() {
        return mFailures.get();
    }

    @Override
    public void run() {
        try (HttpClient client = HttpClient.newHttpClient()) {
            for (int seed = 1; !Thread.currentThread().isInterrupted(); seed++) {
                ask(client, seed);
                Thread.sleep(PAUSE);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void ask(HttpClient client, int seed) throws InterruptedException {
        String body =
                "{\"model\":\"%s\",\"prompt\":\"demo\",\"seed\":%s,\"max_tokens\":%s,"
                        .concat("\"stream\":true}")
                        .formatted(DemoCommand.MODEL, seed, TOKENS);
        HttpRequest request =
                HttpRequest.newBuilder(mInstance.resolve("/v1/completions"))
                        .header("Authorization", "Bearer " + DemoCommand.KEY)
                        .header("Idempotency-Key", "demo-" + seed)
                        .timeout(TIMEOUT)
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build();
        try {
            HttpResponse<String> response =
                    client.send(request, HttpResponse.BodyHandlers.ofString());
            check(seed, response);
        } catch (IOException e) {
            mFailures.incrementAndGet();
            LOG.errorf("demo: request demo-%s failed: %s", seed, e.getMessage());
        }
    }

    private void check(int seed, HttpResponse<String> response) {
        StringBuilder expected = new StringBuilder();
        List<Integer> tokens = TokenSequence.start(DemoCommand.MODEL, seed, "demo").take(TOKENS, 0);
        tokens.forEach(token -> expected.append(TokenSequence.text(token)));
        StringBuilder received = new StringBuilder();
        String attempt = "1";
        for (String line : response.body().split("\n")) {
            if (line.startsWith("id: ")) {
                attempt = line.substring("id: ".length(), line.indexOf('.'));
            }
            int text = line.indexOf("\"text\":\"");
            if (text >= 0) {
                int from = text + "\"text\":\"".length();
                received.append(line, from, line.indexOf('"', from));
            }
        }
        if (response.statusCode() == STATUS_OK && expected.compareTo(received) == 0) {
            LOG.infof(
                    "demo: the answer to demo-%s is whole: %s tokens, each as expected, last"
                            + " attempt %s",
                    seed, TOKENS, attempt);
        } else {
            mFailures.incrementAndGet();
            LOG.errorf("demo: the answer to demo-%s is wrong: %s", seed, response.body());
        }
    }
}
