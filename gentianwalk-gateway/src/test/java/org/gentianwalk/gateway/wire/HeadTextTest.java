package org.gentianwalk.gateway.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against text that becomes other text, or the same as another one, in an HTTP head. */
class HeadTextTest {
    private static final int TEXTS = 2_000;
    private static final int MAX_LENGTH = 12;

    @Test
    void everyRepresentableTextIsReadAsItWasWritten() {
        Random random = new Random(20261207);
        for (int i = 0; i < TEXTS; i++) {
            String text = text(random);
            if (!HeadText.isRepresentable(text)) {
                continue;
            }
            String value = HeadText.encode(text);

            assertThat(value.chars()).as(text).allMatch(c -> c >= ' ' && c <= 0xff && c != 0x7f);
            assertThat(value.getBytes(StandardCharsets.ISO_8859_1))
                    .isEqualTo(text.getBytes(StandardCharsets.UTF_8));
            assertThat(HeadText.decode(value)).isEqualTo(text);
        }
    }

    private static String text(Random random) {
        int[] bounds = {0x80, 0x100, 0x800, 0x10000, 0x110000};
        StringBuilder text = new StringBuilder();
        for (int length = 1 + random.nextInt(MAX_LENGTH); length > 0; length--) {
            text.appendCodePoint(random.nextInt(bounds[random.nextInt(bounds.length)]));
        }
        return text.toString();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                " ",
                " a",
                "a ",
                "\ta",
                "a\t",
                "a\tb",
                "a\rb",
                "a\nb",
                "a\r\nb: c",
                "\u0000",
                "\u007f",
                "\ud800",
                "a\udc00",
                "\udc00\ud800"
            })
    void textThatAHeadCannotCarryIsNotRepresentable(String text) {
        assertThat(HeadText.isRepresentable(text)).isFalse();
    }

    @ParameterizedTest
    @ValueSource(strings = {"a", "a b", "\u00e9", "\u0085", "\u0141\u00f3d\u017a", "\ud83d\udeaa"})
    void otherTextIsRepresentable(String text) {
        assertThat(HeadText.isRepresentable(text)).isTrue();
    }

    /** Bytes of ISO-8859-1, an overlong form, a surrogate, a sequence that is cut. */
    @ParameterizedTest
    @ValueSource(strings = {"\u00e9", "\u00c0\u00af", "\u00ed\u00a0\u0080", "a\u00c5"})
    void bytesThatAreNotUtf8AreNoText(String bytes) {
        assertThat(HeadText.decode(bytes)).isNull();
    }
}
