package org.gentianwalk.server.pipeline;

import java.util.List;
import org.gentianwalk.core.replica.GenerationState.Token;

/**
 * State of a generation when an attempt starts.
 *
 * @param held tokens of earlier attempts
 * @param open false when the generation has ended in the meantime
 */
record AttemptStart(List<Token> held, boolean open) {}
