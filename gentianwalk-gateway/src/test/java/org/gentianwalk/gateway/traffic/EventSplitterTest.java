package org.gentianwalk.gateway.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

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

    /** An upstream that is out of order may send a line, or lines of one event, without end. */
    @ParameterizedTest
    @ValueSource(strings = {"x", "data: x\n", "id: 7\r\n", "x\r"})
    void anEventWithoutEndIsNotRetained(String unit) {
        EventSplitter splitter = new EventSplitter();
        byte[] part = bytes("d" + unit.repeat(64_000 / unit.length()));
        for (int i = 0; i < 100; i++) {
            assertThat(splitter.add(part)).isEmpty();
            assertThat(splitter.capacity()).isLessThanOrEqualTo(EventSplitter.MAX_EVENT_BYTES);
        }

        assertThat(splitter.isExceeded()).isTrue();
        assertThat(splitter.isWithinEvent()).isTrue();
        assertThat(splitter.add(bytes("\n\nid: 8\n\n"))).as("events after it").isEmpty();
    }

    /** Each three empty lines used to be an event, whose bookkeeping took 100 times its size. */
    @ParameterizedTest
    @ValueSource(strings = {"\n", "\r\n"})
    void emptyLinesAreNoEvents(String line) {
        EventSplitter splitter = new EventSplitter();
        for (int i = 0; i < 100; i++) {
            assertThat(splitter.add(bytes(line.repeat(10_000)))).isEmpty();
        }

        assertThat(splitter.isWithinEvent()).isFalse();
        assertThat(splitter.isExceeded()).isFalse();
        assertThat(splitter.add(bytes("id: 1\n\n"))).hasSize(1);
    }

    @Test
    void anEventOfTheMaximumSizeIsReturnedAndItsMemoryReleased() {
        EventSplitter splitter = new EventSplitter();
        String data = "x".repeat(EventSplitter.MAX_EVENT_BYTES - 2);

        assertThat(splitter.add(bytes(data))).isEmpty();
        assertThat(splitter.add(bytes("\n\n"))).hasSize(1);
        assertThat(splitter.capacity()).isLessThanOrEqualTo(512);
        splitter.add(bytes(data + "y\n"));
        assertThat(splitter.isExceeded()).isFalse();
        splitter.add(bytes("\n"));
        assertThat(splitter.isExceeded()).as("one byte more").isTrue();
    }

    /** Events before the one that is too long are complete and must not be lost. */
    @Test
    void eventsBeforeOneThatIsTooLongAreReturned() {
        EventSplitter splitter = new EventSplitter();
        String endless = "x".repeat(EventSplitter.MAX_EVENT_BYTES + 1);

        assertThat(splitter.add(bytes("id: 1\n\nid: 2\n\n" + endless + "\n\nid: 3\n\n")))
                .extracting(StreamEvent::number)
                .containsExactly(1L, 2L);
        assertThat(splitter.isExceeded()).isTrue();
    }

    /** The ends of lines and events may be split anywhere. */
    @Test
    void eventsWithCarriageReturnsDoNotDependOnHowTheBytesArrive() {
        String stream = "\r\n\nid: 1\r\ndata: a\r\n\r\n\r\n\nid: 2\n\r\nid: 3\r\n\n";
        for (int size = 1; size < stream.length(); size++) {
            EventSplitter splitter = new EventSplitter();
            List<StreamEvent> events = new ArrayList<>();
            for (int from = 0; from < stream.length(); from += size) {
                int end = Math.min(from + size, stream.length());
                events.addAll(splitter.add(bytes(stream.substring(from, end))));
            }
            assertThat(events)
                    .as("parts of %d bytes", size)
                    .extracting(event -> text(event.bytes()))
                    .containsExactly("id: 1\r\ndata: a\r\n\r\n", "id: 2\n\r\n", "id: 3\r\n\n");
            assertThat(splitter.isWithinEvent()).isFalse();
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
