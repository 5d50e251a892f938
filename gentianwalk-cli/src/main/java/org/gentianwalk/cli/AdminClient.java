package org.gentianwalk.cli;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;

/** Client of an instance's operators' interface. */
final class AdminClient {
    /** Reads and writes JSON. */
    static final ObjectMapper JSON = new ObjectMapper();

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);

    /** An apply waits for the store's timeouts and repeated reads. */
    private static final Duration TIMEOUT = Duration.ofSeconds(60);

    private static final int OK_END = 300;

    private final URI mInstance;
    private final String mToken;

    /** Creates a client. */
    AdminClient(URI instance, String token) {
        mInstance = instance;
        mToken = token;
    }

    /** Response of an instance. */
    record Answer(int status, JsonNode body) {
        /** Tells whether the instance did what was asked. */
        boolean ok() {
            return status < OK_END;
        }

        /** Returns the text of an error. */
        String error() {
            String message = body.at("/error/message").asText();
            return message.isEmpty() ? "the instance answered with status " + status : message;
        }
    }

    /** Sends a request and fails unless the instance did what was asked. */
    JsonNode require(String method, String path) throws CliException {
        Answer answer = send(method, path, "");
        if (!answer.ok()) {
            throw new CliException(answer.error());
        }
        return answer.body();
    }

    /** Sends a request. */
    Answer send(String method, String path, String body) throws CliException {
        URI uri = mInstance.resolve(path);
        HttpRequest request =
                HttpRequest.newBuilder(uri)
                        .timeout(TIMEOUT)
                        .header("Authorization", "Bearer " + mToken)
                        .method(method, BodyPublishers.ofString(body))
                        .build();
        try (HttpClient client = HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build()) {
            HttpResponse<String> response = client.send(request, BodyHandlers.ofString());
            return new Answer(response.statusCode(), JSON.readTree(response.body()));
        } catch (JacksonException e) {
            throw new CliException(
                    uri + " did not answer with JSON. Check that --instance names an instance.");
        } catch (IOException e) {
            throw new CliException(
                    "no answer from "
                            + mInstance
                            + " ("
                            + e.getClass().getSimpleName()
                            + "). Check --instance, or name another instance.");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CliException("interrupted; ask for the status before you repeat it.");
        }
    }
}
