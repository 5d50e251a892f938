package org.gentianwalk.gateway.sockets;

/** Bytes in place of an answer, which show that they are none to the request. */
enum WrongAnswer {
    NOISE("noise in place of a head\r\n\r\n"),
    NO_STATUS("HTTP/1.1 abc OK\r\nx-id: %s\r\nx-signed: 1\r\nContent-Length: 5\r\n\r\nwrong"),
    STATUS_ZERO("HTTP/1.1 000 OK\r\nx-id: %s\r\nx-signed: 1\r\nContent-Length: 5\r\n\r\nwrong"),
    STATUS_BELOW("HTTP/1.1 099 OK\r\nx-id: %s\r\nx-signed: 1\r\n\r\nwrong"),
    STATUS_ABOVE("HTTP/1.1 600 OK\r\nx-id: %s\r\nx-signed: 1\r\nContent-Length: 5\r\n\r\nwrong"),
    PART("HTTP/1.1 206 OK\r\nx-id: %s\r\nx-signed: 1\r\nContent-Length: 5\r\n\r\nwrong"),
    UNSIGNED("HTTP/1.1 200 OK\r\nx-id: %s\r\nContent-Length: 5\r\n\r\nwrong"),
    NO_REQUEST("HTTP/1.1 200 OK\r\nx-signed: 1\r\nContent-Length: 5\r\n\r\nwrong"),
    OTHER_REQUEST("HTTP/1.1 200 OK\r\nx-id: other-%s\r\nx-signed: 1\r\n\r\nwrong"),
    NO_CHUNK(
            "HTTP/1.1 200 OK\r\nx-id: %s\r\nx-signed: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + "5\r\nwrong\r\nnoise\r\n"),
    OTHER_CODING(
            "HTTP/1.1 200 OK\r\nx-id: %s\r\nx-signed: 1\r\nTransfer-Encoding: gzip\r\n\r\nwrong"),
    OTHER_PROTOCOL("HTTP/1.1 101 Switch\r\nx-id: %s\r\nx-signed: 1\r\n\r\nwrong");

    private final String mBytes;

    WrongAnswer(String bytes) {
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
