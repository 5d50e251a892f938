package org.gentianwalk.core.dispatch;

import java.util.List;

/**
 * Size of a generation, without its text.
 *
 * @param model the requested model
 * @param promptTokens length of the prompt
 * @param maxOutputTokens maximum length of the output
 * @param expectedOutputTokens the caller's estimate of the output length, or the maximum if it gave
 *     none
 * @param parts parts of the prompt in order; the last one is specific to the request or its session
 */
public record GenerationShape(
        String model,
        int promptTokens,
        int maxOutputTokens,
        int expectedOutputTokens,
        List<PromptPart> parts) {
    public GenerationShape {
        if (promptTokens < 0 || maxOutputTokens < 0 || expectedOutputTokens < 0) {
            throw new IllegalArgumentException("token counts must not be negative");
        }
        parts = List.copyOf(parts);
    }
}
