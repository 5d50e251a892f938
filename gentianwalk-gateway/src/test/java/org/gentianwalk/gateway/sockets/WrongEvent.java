package org.gentianwalk.gateway.sockets;

/** Bytes in place of an event of a numbered stream, which must not reach a caller. */
enum WrongEvent {
    NO_ID("data: wrong\n\n"),
    EMPTY_ID("id:\ndata: wrong\n\n"),
    ID_WITHOUT_COLON("id\ndata: wrong\n\n"),
    LETTER_AFTER_NUMBER("id: %dx\ndata: wrong\n\n"),
    NEGATIVE_NUMBER("id: -%d\ndata: wrong\n\n"),
    TOO_MANY_DIGITS("id: 1234567890123456789012\ndata: wrong\n\n"),
    NO_FIELD("\u0001\u00fe\u00ff noise\n\n"),
    TWO_IDS("id: %d\nid: 900\ndata: wrong\n\n"),
    CARRIAGE_RETURNS("data: wrong\r\r"),
    NUMBER_WITHOUT_DATA("id: %d\n\n"),
    NOISE_WITHIN_EVENT("\u0001noise\nid: %d\ndata: wrong\n\n"),
    ID_WITH_NUL("id: %d\u0000\ndata: wrong\n\n"),
    SECOND_SPACE("id:  %d\ndata: wrong\n\n");

    private final String mBytes;

    WrongEvent(String bytes) {
        mBytes = bytes;
    }

    /**
     * Returns its bytes.
     *
     * @param due number of the event that is due
     */
    String bytes(int due) {
        return mBytes.formatted(due);
    }
}
