package org.gentianwalk.gateway.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against events that are truncated, merged or numbered incorrectly. */
class EventSplitterTest {
    private static final String STREAM = "id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\ndata: th";

    @Test
    void completeEventsAreReturnedAndTheRemainderIsKept() {
        EventSplitter splitter = new EventSplitter();

        List<StreamEvent> events = splitter.add(bytes(STREAM));

        assertThat(events).extracting(StreamEvent::number).containsExactly(1L, 2L);
        assertThat(text(events.get(0).bytes())).isEqualTo("id: 1\ndata: one\n\n");
        assertThat(text(splitter.remainder())).isEqualTo("id: 3\ndata: th");
        assertThat(splitter.isWithinEvent()).isTrue();
    }

    @Test
    void eventsDoNotDependOnHowTheBytesArrive() {
        EventSplitter splitter = new EventSplitter();
        List<StreamEvent> events = new ArrayList<>();
        for (byte each : bytes(STREAM + "ree\n\n")) {
            events.addAll(splitter.add(new byte[] {each}));
        }

        assertThat(events).extracting(StreamEvent::number).containsExactly(1L, 2L, 3L);
        assertThat(splitter.remainder()).isEmpty();
    }

    @Test
    void linesMayEndWithCarriageReturns() {
        List<StreamEvent> events =
                new EventSplitter().add(bytes("id: 7\r\ndata: x\r\n\r\nid: 8\r\n\r\n"));

        assertThat(events).extracting(StreamEvent::number).containsExactly(7L, 8L);
    }

    @Test
    void anEventWithoutANumberIsUnnumbered() {
        assertThat(new EventSplitter().add(bytes("data: x\n\nid: abc\ndata: y\n\n")))
                .extracting(StreamEvent::number)
                .containsExactly(StreamEvent.UNNUMBERED, StreamEvent.UNNUMBERED);
    }

    @Test
    void aLongEventIsHeldUntilItIsComplete() {
        EventSplitter splitter = new EventSplitter();
        String data = "x".repeat(5_000);

        assertThat(splitter.add(bytes("id: 1\ndata: " + data))).isEmpty();
        assertThat(splitter.add(bytes("\n\n")).getFirst().bytes()).hasSize(5_000 + 14);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
