package org.gentianwalk.core.error;

/**
 * A value or an error.
 *
 * @param <T> the type of the value
 * @param <E> the type of the error
 */
public sealed interface Result<T, E> {
    /** A successful result. */
    record Ok<T, E>(T value) implements Result<T, E> {}

    /** A failed result. */
    record Err<T, E>(E error) implements Result<T, E> {}

    /**
     * Wraps a value.
     *
     * @param value the value
     * @param <T> the type of the value
     * @param <E> the type of the error
     * @return the result
     */
    static <T, E> Result<T, E> ok(T value) {
        return new Ok<>(value);
    }

    /**
     * Wraps an error.
     *
     * @param error the error
     * @param <T> the type of the value
     * @param <E> the type of the error
     * @return the result
     */
    static <T, E> Result<T, E> err(E error) {
        return new Err<>(error);
    }
}
