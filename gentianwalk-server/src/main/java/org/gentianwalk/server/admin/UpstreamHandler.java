package org.gentianwalk.server.admin;

import com.sun.net.httpserver.HttpExchange;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.gentianwalk.core.error.ErrorKind;

/** Runs a command for the upstream given in the query, as in {@code ?upstream=engine-3}. */
final class UpstreamHandler extends AdminHandler {
    private static final String PARAMETER = "upstream=";
    private static final int MAX_LISTED_NAMES = 50;

    private final InstanceControl mControl;
    private final Consumer<String> mCommand;
    private final boolean mDrains;

    /** Creates a handler that drains an upstream, or ends its draining. */
    UpstreamHandler(String path, AdminToken token, InstanceControl control, boolean drains) {
        super(path, Set.of("POST"), token);
        mControl = control;
        mCommand = drains ? control::drain : control::undrain;
        mDrains = drains;
    }

    @Override
    protected Reply reply(HttpExchange exchange) {
        String query = exchange.getRequestURI().getRawQuery();
        if (query == null || !query.startsWith(PARAMETER)) {
            return Reply.error(
                    ErrorKind.INVALID_REQUEST,
                    "Name the upstream, as in " + path() + "?upstream=engine-3.",
                    Map.of());
        }
        String upstream;
        try {
            upstream =
                    URLDecoder.decode(query.substring(PARAMETER.length()), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            return Reply.error(ErrorKind.INVALID_REQUEST, "The name is not URL-encoded.", Map.of());
        }
        Collection<String> known = mControl.upstreams();
        if (!known.contains(upstream)) {
            return Reply.error(
                    ErrorKind.NOT_FOUND, unknownUpstreamMessage(upstream, known), Map.of());
        }
        mCommand.accept(upstream);
        return Reply.ok(Map.of("upstream", upstream, "drained", mDrains));
    }

    private static String unknownUpstreamMessage(String upstream, Collection<String> known) {
        String names = known.stream().limit(MAX_LISTED_NAMES).collect(Collectors.joining(", "));
        int more = known.size() - MAX_LISTED_NAMES;
        return "There is no upstream "
                + upstream
                + ". Name one of: "
                + (known.isEmpty() ? "none is configured" : names)
                + (more > 0 ? " and " + more + " more" : "")
                + ".";
    }
}
