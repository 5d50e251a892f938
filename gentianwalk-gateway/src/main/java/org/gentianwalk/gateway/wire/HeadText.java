package org.gentianwalk.gateway.wire;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/**
 * Translates between text and the bytes of an HTTP head, which carry it in UTF-8. The HTTP codec
 * reads and writes the values of header fields as one byte a character, and replaces the characters
 * that do not fit.
 */
public final class HeadText {
    private static final int FIRST_BEYOND_ASCII = 0x80;
    private static final int DELETE = 0x7f;

    private HeadText() {}

    /**
     * Returns the value of a header field for a text.
     *
     * @param text a text, {@linkplain #isRepresentable representable} in a head
     * @return a string with one character for each byte of the text in UTF-8
     */
    public static String encode(String text) {
        if (isAscii(text)) {
            return text;
        }
        return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    }

    /**
     * Returns the text of a part of a head as the HTTP codec has read it.
     *
     * @param bytes a string with one character for each byte
     * @return the text, or null when the bytes are not UTF-8
     */
    public static @Nullable String decode(String bytes) {
        if (isAscii(bytes)) {
            return bytes;
        }
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes.getBytes(StandardCharsets.ISO_8859_1)))
                    .toString();
        } catch (CharacterCodingException e) {
            return null;
        }
    }

    /**
     * Returns whether a text can be the value of a header field and arrives unchanged. Control
     * characters end or break a field, blanks at its ends are dropped, and a surrogate without its
     * pair has no bytes.
     *
     * @param text the text
     * @return true when no other text has the same bytes in a head
     */
    public static boolean isRepresentable(String text) {
        if (text.isEmpty() || text.startsWith(" ") || text.endsWith(" ")) {
            return false;
        }
        return text.codePoints().noneMatch(HeadText::isUnrepresentable);
    }

    private static boolean isUnrepresentable(int point) {
        return point < ' '
                || point == DELETE
                || point >= Character.MIN_SURROGATE && point <= Character.MAX_SURROGATE;
    }

    private static boolean isAscii(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) >= FIRST_BEYOND_ASCII) {
                return false;
            }
        }
        return true;
    }
}
