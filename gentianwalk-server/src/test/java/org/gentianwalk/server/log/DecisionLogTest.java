package org.gentianwalk.server.log;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.gentianwalk.core.error.ErrorKind;
import org.gentianwalk.core.error.ServeError;
import org.gentianwalk.core.model.Fingerprint;
import org.gentianwalk.core.model.Rank;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.core.model.WorkItem;
import org.gentianwalk.core.policy.Decision;
import org.jboss.logging.Logger;
import org.junit.jupiter.api.Test;

class DecisionLogTest {
    // Duplicate fields are an error, since log readers differ in which one they use.
    private static final ObjectMapper STRICT =
            new ObjectMapper().enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);

    private static final WorkItem ITEM =
            new WorkItem(
                    new RequestKey("vera", "key-1"),
                    "writer",
                    "quote",
                    Rank.URGENT,
                    10,
                    20,
                    List.of(),
                    new Fingerprint(1, 2),
                    0,
                    WorkItem.NO_DEADLINE);

    private static List<JsonNode> lines(String level, Runnable logged) throws IOException {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        try (Logging logging = Logging.start("kvali-1", level, output)) {
            assertThat(logging).isNotNull();
            logged.run();
        }
        List<JsonNode> lines = new ArrayList<>();
        for (String line : output.toString(StandardCharsets.UTF_8).lines().toList()) {
            lines.add(STRICT.readTree(line));
        }
        return lines;
    }

    /** Guards against lines that are not JSON, lack a field, or are lost when the log closes. */
    @Test
    void eachDecisionIsOneJsonLineWithItsFields() throws IOException {
        DecisionLog log = new DecisionLog();
        List<Decision.Candidate> candidates = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            candidates.add(new Decision.Candidate("cw-" + i, i + 0.5));
        }
        List<JsonNode> lines =
                lines(
                        "info",
                        () -> {
                            log.routed(
                                    new Decision.Start(
                                            ITEM, 2, "cw-0", 1, candidates, "shortest \"queue\""));
                            log.refused(
                                    ITEM,
                                    ServeError.refused(
                                            ErrorKind.OVERLOADED, Duration.ofSeconds(1), "writer"));
                            log.recovered(
                                    ITEM.id(), Rank.URGENT, 3, 41, List.of("cw-1"), "cw-0 lost");
                            log.placed("cw-2", "desk", Rank.STANDARD, 7, candidates, "demand");
                            log.adopted(4, 5, "store");
                        });
        assertThat(lines).hasSize(5);
        JsonNode routing = lines.getFirst();
        assertThat(routing.get("message").asText()).isEqualTo("routing");
        assertThat(routing.get("instance").asText()).isEqualTo("kvali-1");
        assertThat(routing.get("request").asText()).isEqualTo("key-1");
        assertThat(routing.get("team").asText()).isEqualTo("vera");
        assertThat(routing.get("rank").asText()).isEqualTo("urgent");
        assertThat(routing.get("attempt").asInt()).isEqualTo(2);
        assertThat(routing.get("candidates").size()).isEqualTo(DecisionLog.MAX_CANDIDATES);
        assertThat(routing.get("candidates").get("cw-1").asDouble()).isEqualTo(1.5);
        assertThat(routing.get("reason").asText()).isEqualTo("shortest \"queue\"");
        assertThat(lines.get(1).get("outcome").asText()).isEqualTo("not_run");
        assertThat(lines.get(2).get("position").asInt()).isEqualTo(41);
        assertThat(lines.get(3).get("fencing").asInt()).isEqualTo(7);
        assertThat(lines.get(4).get("version").asInt()).isEqualTo(5);
    }

    /** Guards against ignored log levels, and stack traces that span several lines. */
    @Test
    void levelsAreAppliedAndAnExceptionStaysInItsLine() throws IOException {
        Logger log = Logger.getLogger(DecisionLogTest.class);
        List<JsonNode> lines =
                lines(
                        "warn",
                        () -> {
                            new DecisionLog().adopted(1, 2, "store");
                            log.error("failed", new IllegalStateException("cause"));
                        });
        assertThat(lines).hasSize(1);
        assertThat(lines.getFirst().toString()).contains("IllegalStateException");
    }

    /** Guards against a command that logs nothing and fails when the log is closed. */
    @Test
    void aLogWithoutLinesCanBeClosed() throws IOException {
        assertThat(lines("error", () -> {})).isEmpty();
    }
}
