package org.gentianwalk.server.pipeline;

import java.util.Optional;

/**
 * Identifier of a server-sent event.
 *
 * @param attempt the attempt that produced the last token
 * @param position tokens released so far
 */
record EventId(int attempt, int position) {
    static Optional<EventId> parse(String text) {
        int dot = text.indexOf('.');
        try {
            int attempt = Integer.parseInt(text, 0, Math.max(0, dot), 10);
            int position = Integer.parseInt(text, dot + 1, text.length(), 10);
            return attempt < 1 || position < 0
                    ? Optional.empty()
                    : Optional.of(new EventId(attempt, position));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    @Override
    public String toString() {
        return attempt + "." + position;
    }
}
