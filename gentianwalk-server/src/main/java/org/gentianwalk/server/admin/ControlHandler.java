package org.gentianwalk.server.admin;

import com.sun.net.httpserver.HttpExchange;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/** Runs one command of {@link InstanceControl} and replies with its result. */
final class ControlHandler extends AdminHandler {
    private final Supplier<Map<String, Object>> mCommand;

    /** Creates a handler for a command. */
    ControlHandler(
            String path, String method, AdminToken token, Supplier<Map<String, Object>> command) {
        super(path, Set.of(method), token);
        mCommand = command;
    }

    @Override
    protected Reply reply(HttpExchange exchange) {
        return Reply.ok(mCommand.get());
    }
}
