package org.gentianwalk.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.gentianwalk.core.model.Fingerprint;
import org.gentianwalk.core.policy.routing.Rendezvous;

/**
 * What a lost upstream may be attributed to: a request, or what it shares with other requests,
 * which is a part of its prompt, or its content when that is all that is known of it.
 *
 * @param request fingerprint of the request; of a generation, from the last part of its prompt
 * @param parts fingerprints of the other parts, or of the content
 * @param isKnown false when there are neither parts nor content, so that nothing can be attributed
 */
record SuspectSubject(Fingerprint request, List<Fingerprint> parts, boolean isKnown) {
    private static final SuspectSubject UNKNOWN =
            new SuspectSubject(new Fingerprint(0, 0), List.of(), false);

    SuspectSubject {
        parts = List.copyOf(parts);
    }

    /** Returns the subject of a call; others with the same content are repetitions of it. */
    static SuspectSubject ofCall(Work work) {
        Fingerprint content = work.content();
        if (content == null) {
            return UNKNOWN;
        }
        Fingerprint request = new Fingerprint(content.high(), Rendezvous.hash(work.requestId()));
        return new SuspectSubject(request, List.of(content), true);
    }

    /** Returns the subject of a request to a model engine; its prompt may have no parts. */
    static SuspectSubject ofGeneration(Work work) {
        GenerationShape shape = work.generation();
        if (shape == null || shape.parts().isEmpty()) {
            return ofCall(work);
        }
        long model = Rendezvous.hash(shape.model());
        List<Fingerprint> parts = new ArrayList<>();
        for (PromptPart part : shape.parts().subList(0, shape.parts().size() - 1)) {
            parts.add(new Fingerprint(model, part.id()));
        }
        // The last part of one prompt may be an inner part of another one.
        Fingerprint request = new Fingerprint(~model, shape.parts().getLast().id());
        return new SuspectSubject(request, parts, true);
    }
}
