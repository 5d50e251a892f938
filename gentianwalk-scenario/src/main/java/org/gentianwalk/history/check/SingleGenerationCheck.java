package org.gentianwalk.history.check;

import java.util.HashMap;
import java.util.Map;
import org.gentianwalk.core.model.RequestKey;
import org.gentianwalk.history.History;
import org.gentianwalk.history.HistoryEvent.TokenDelivered;

/**
 * P2: all connections of a request see the same token at the same position.
 *
 * <p>Options: none. Example: {@code new SingleGenerationCheck()}.
 */
public final class SingleGenerationCheck extends HistoryCheck {
    /** Creates the checker. */
    public SingleGenerationCheck() {
        super("P2");
    }

    @Override
    protected void inspect(History history) {
        Map<Place, Integer> released = new HashMap<>();
        for (TokenDelivered token : history.events(TokenDelivered.class)) {
            Place place = new Place(token.key(), token.position());
            Integer earlier = released.putIfAbsent(place, token.tokenId());
            if (earlier != null && earlier != token.tokenId()) {
                report(
                        token.timeNanos(),
                        "%s: two generations at position %d (tokens %d and %d)",
                        token.key(),
                        token.position(),
                        earlier,
                        token.tokenId());
            }
        }
    }

    /** A position of an answer. */
    private record Place(RequestKey key, int position) {}
}
