package org.gentianwalk.server.upstream;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.io.ByteArrayInputStream;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.gentianwalk.server.upstream.EngineException.Reason;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against events of an engine that are read by another grammar than that of
 * text/event-stream: a lost event would be a lost token, and a wrong end a shortened answer.
 */
class EngineStreamTest {
    private static final String FIRST = chunk(0, 10);
    private static final String SECOND = chunk(1, 11);
    private static final String DONE = "data: [DONE]\n\n";

    /** More than the limit of 1 MiB, in lines below it. */
    private static final int LINES = 40;

    private static final int LINE_BYTES = 30_000;

    @ParameterizedTest
    @ValueSource(strings = {"\n", "\r\n", "\r"})
    void everyLineEndOfTheFormatIsOne(String lineEnd) throws Exception {
        String text = event(FIRST) + event(SECOND) + DONE;
        String stream = text.replace("\n", lineEnd);

        assertThat(positions(stream)).containsExactly(0, 1);
        assertThat(positions(new SingleBytes(stream))).containsExactly(0, 1);
    }

    @Test
    void lineEndsMayBeMixed() throws Exception {
        String stream = "data: " + FIRST + "\r\n\rdata: " + SECOND + "\r\rdata: [DONE]\r\n\n";

        assertThat(positions(new SingleBytes(stream))).containsExactly(0, 1);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "\uFEFF",
                ": comment\n\n",
                ":\n",
                "\n\n\n",
                "retry: 100\n\n",
                "id: 1\n",
                "event: message\n",
                "other: field\n"
            })
    void whatBelongsToNoDataIsSkipped(String before) throws Exception {
        assertThat(positions(before + event(FIRST) + event(SECOND) + DONE)).containsExactly(0, 1);
    }

    @Test
    void oneSpaceAfterTheColonIsOptional() throws Exception {
        String stream = "data:" + FIRST + "\n\ndata:" + SECOND + "\n\ndata:[DONE]\n\n";

        assertThat(positions(stream)).containsExactly(0, 1);
    }

    @Test
    void theDataLinesOfAnEventAreJoined() throws Exception {
        String split = "data: " + FIRST.replace(",", ",\ndata:") + "\n\n";

        assertThat(positions(split + event(SECOND) + DONE)).containsExactly(0, 1);
    }

    /** Guards against a field that is taken for data, or data that is taken for another field. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "ata: %s\n\n", // A lost byte.
                "datas: %s\n\n",
                "Data: %s\n\n",
                " data: %s\n\n",
                "%s\n\n",
                "HTTP/1.1 200 OK\n\ndata: %s\n\n",
                "\u0001\u0002\n\n",
                "data\n\n",
                "data:\n\n",
                "data: [DONE] \u0001\n\n",
                "data: [DONE]x\n\n",
                "data: [DONE]\ndata: %s\n\n",
                "data: %s\ndata: %s\n\n",
                "data: %s\ndata: [DONE]\n\n"
            })
    void anEventThatCannotBeReadEndsTheStreamAsBroken(String wrong) {
        String stream = event(FIRST) + wrong.replace("%s", SECOND) + event(lastChunk()) + DONE;

        assertBroken(stream, 1);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "\n", "\r"})
    void anEventThatTheEndOfTheConnectionCutsIsNoEvent(String lineEnd) {
        assertBroken(event(FIRST) + "data: " + SECOND + lineEnd, 1);
        assertBroken(event(FIRST) + "data: [DONE]" + lineEnd, 1);
    }

    @Test
    void anEventWithoutEndIsBroken() {
        String line = "data: " + " ".repeat(LINE_BYTES) + "\n";

        assertBroken(event(FIRST) + line.repeat(LINES) + "\n" + DONE, 1);
    }

    private static void assertBroken(String text, int readable) {
        List<Integer> read = new ArrayList<>();
        EngineException broken =
                catchThrowableOfType(
                        EngineException.class,
                        () -> read(new ByteArrayInputStream(bytes(text)), read));
        assertThat(broken).as("the failure of %s", text).isNotNull();
        assertThat(broken.reason()).isEqualTo(Reason.BROKEN);
        assertThat(read).hasSize(readable);
    }

    private static List<Integer> positions(String text) throws EngineException {
        return positions(new ByteArrayInputStream(bytes(text)));
    }

    private static List<Integer> positions(InputStream input) throws EngineException {
        List<Integer> positions = new ArrayList<>();
        read(input, positions);
        return positions;
    }

    private static void read(InputStream input, List<Integer> positions) throws EngineException {
        EngineStream stream = new EngineStream(input);
        EngineChunk chunk = stream.next();
        while (chunk != null) {
            positions.add(chunk.position());
            chunk = stream.next();
        }
    }

    private static String event(String data) {
        return "data: " + data + "\n\n";
    }

    private static String chunk(int position, int id) {
        return "{\"choices\":[{\"text\":\"t\",\"token_ids\":[%d],\"position\":%d}]}"
                .formatted(id, position);
    }

    private static String lastChunk() {
        return "{\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}";
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Returns one byte for each read, as the smallest parts that a connection may deliver. */
    private static final class SingleBytes extends ByteArrayInputStream {
        SingleBytes(String text) {
            super(bytes(text));
        }

        @Override
        public synchronized int read(byte[] buffer, int offset, int length) {
            return super.read(buffer, offset, Math.min(length, 1));
        }
    }
}
