package org.gentianwalk.standin.platform;

import java.time.Duration;

/** What goes wrong with one operation. */
public sealed interface Fault {
    /** No fault. */
    Fault NONE = new None();

    /** The operation proceeds. */
    record None() implements Fault {}

    /** The service does nothing and does not answer. */
    record Down() implements Fault {}

    /**
     * The connection is refused. Only the in-memory fake can simulate it; over HTTP, stop the
     * stand-in instead.
     */
    record Refused() implements Fault {}

    /** The operation proceeds after a delay. */
    record Slow(Duration delay) implements Fault {}

    /** The operation takes effect, but the answer is lost. */
    record ResponseLost() implements Fault {}

    /** The answer is lost, and a write takes effect after a delay. */
    record Late(Duration delay) implements Fault {}
}
