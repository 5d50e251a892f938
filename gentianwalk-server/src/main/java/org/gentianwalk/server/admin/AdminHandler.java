package org.gentianwalk.server.admin;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import java.io.IOException;
import java.util.Map;
import java.util.Set;
import org.gentianwalk.core.error.ErrorKind;
import org.gentianwalk.core.error.Messages;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/** Base class of the handlers: checks path, method and token, and writes the reply. */
abstract class AdminHandler implements HttpHandler {
    private static final Logger LOG = Logger.getLogger(AdminHandler.class);

    private final String mPath;
    private final Set<String> mMethods;
    private final @Nullable AdminToken mToken;

    /** Creates a handler; a null token disables authentication. */
    AdminHandler(String path, Set<String> methods, @Nullable AdminToken token) {
        mPath = path;
        mMethods = methods;
        mToken = token;
    }

    /** Returns the path of the handler. */
    final String path() {
        return mPath;
    }

    /** Handles a request whose path, method and token have been checked. */
    protected abstract Reply reply(HttpExchange exchange) throws IOException;

    @Override
    public final void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            Reply reply;
            try {
                reply = checkAndReply(exchange);
            } catch (RuntimeException e) {
                LOG.error("a request to " + mPath + " failed", e);
                reply = error(ErrorKind.INTERNAL, mPath);
            }
            exchange.getResponseHeaders().set("Content-Type", reply.contentType());
            boolean head = exchange.getRequestMethod().equals("HEAD");
            exchange.sendResponseHeaders(reply.status(), head ? -1 : reply.body().length);
            if (!head) {
                exchange.getResponseBody().write(reply.body());
            }
        }
    }

    private Reply checkAndReply(HttpExchange exchange) throws IOException {
        if (!exchange.getRequestURI().getPath().equals(mPath)) {
            return error(ErrorKind.NOT_FOUND, exchange.getRequestURI().getPath());
        }
        if (!mMethods.contains(exchange.getRequestMethod())) {
            String allowed = String.join(", ", mMethods);
            exchange.getResponseHeaders().set("Allow", allowed);
            return error(ErrorKind.METHOD_NOT_ALLOWED, exchange.getRequestMethod(), allowed);
        }
        String authorization = exchange.getRequestHeaders().getFirst("Authorization");
        if (mToken != null && !mToken.matches(authorization)) {
            exchange.getResponseHeaders().set("WWW-Authenticate", "Bearer");
            String message =
                    "The admin token is missing or wrong. Send it as \"Authorization: Bearer"
                            + " <token>\".";
            return Reply.error(ErrorKind.UNAUTHORIZED, message, Map.of());
        }
        return reply(exchange);
    }

    /** Returns an error reply with the message of its kind. */
    static Reply error(ErrorKind kind, Object... arguments) {
        return Reply.error(kind, Messages.format(kind.messageKey(), arguments), Map.of());
    }
}
