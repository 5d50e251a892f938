package org.gentianwalk.gateway.http;

/** Received bytes of a caller, which are parsed one request at a time. */
@FunctionalInterface
interface CallerInput {
    /** Parses the bytes that waited for the end of a request. */
    void resume();
}
