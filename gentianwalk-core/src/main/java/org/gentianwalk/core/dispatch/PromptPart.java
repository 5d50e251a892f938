package org.gentianwalk.core.dispatch;

/**
 * A part of a prompt that other requests may share.
 *
 * @param id identifier of its text
 * @param tokens its length
 */
public record PromptPart(long id, int tokens) {
    public PromptPart {
        if (tokens < 0) {
            throw new IllegalArgumentException("a prompt part can't have " + tokens + " tokens");
        }
    }
}
