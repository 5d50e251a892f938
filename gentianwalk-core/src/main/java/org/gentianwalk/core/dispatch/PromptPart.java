package org.gentianwalk.core.dispatch;

/**
 * A part of a prompt that other requests may share.
 *
 * @param id identifier of the text
 * @param tokens length, tokens
 */
public record PromptPart(long id, int tokens) {
    public PromptPart {
        if (tokens < 0) {
            throw new IllegalArgumentException("a prompt part can't have " + tokens + " tokens");
        }
    }
}
