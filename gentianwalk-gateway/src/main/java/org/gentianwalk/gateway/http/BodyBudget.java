package org.gentianwalk.gateway.http;

/**
 * Bounds the bytes that the bodies of all requests in progress take together. The limit on one body
 * does not bound them: 24 bodies of 4 MiB are as large as the heap. Confined to the traffic loop.
 */
final class BodyBudget {
    /** Bytes of all bodies; a quarter of an instance's heap of 96 MiB. */
    static final int MAX_BYTES = 24 << 20;

    private int mUsed;

    /**
     * Takes bytes from the budget.
     *
     * @param bytes number of bytes
     * @return false, without an effect, if that many are not left
     */
    boolean take(int bytes) {
        if (bytes > MAX_BYTES - mUsed) {
            return false;
        }
        mUsed += bytes;
        return true;
    }

    /** Returns bytes to the budget. */
    void release(int bytes) {
        mUsed -= bytes;
    }

    /** Returns the number of bytes in use. */
    int used() {
        return mUsed;
    }
}
