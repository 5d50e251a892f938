package org.gentianwalk.gateway.sockets;

/** Bytes after a complete answer, which must neither be part of it nor of the next one. */
enum ExtraBytes {
    NOISE("noise"),
    NOISE_LINES("noise\r\n\r\n"),
    EVENT("id: 1\ndata: wrong\n\n"),
    ANSWER("HTTP/1.1 200 OK\r\nx-id: %s\r\nx-signed: 1\r\nContent-Length: 5\r\n\r\nwrong"),
    ANSWER_WITHOUT_REQUEST("HTTP/1.1 200 OK\r\nx-signed: 1\r\nContent-Length: 5\r\n\r\nwrong");

    private final String mBytes;

    ExtraBytes(String bytes) {
        mBytes = bytes;
    }

    /**
     * Returns its bytes.
     *
     * @param id identifier of the request
     */
    String bytes(String id) {
        return mBytes.formatted(id);
    }
}
