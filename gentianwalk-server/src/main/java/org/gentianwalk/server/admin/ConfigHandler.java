package org.gentianwalk.server.admin;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.gentianwalk.core.config.ConfigFolder;
import org.gentianwalk.core.config.Problem;
import org.gentianwalk.core.config.version.ApplyResult;
import org.gentianwalk.core.config.version.ConfigState;
import org.gentianwalk.core.error.ErrorKind;
import org.gentianwalk.core.error.Messages;
import org.gentianwalk.server.config.ConfigAccess;
import org.jspecify.annotations.Nullable;

/**
 * Handles {@code /admin/config}. GET returns {@code {"version", "digest", "files": {name: text}}}.
 * POST accepts {@code {"base_version", "author", "files"}} and returns the accepted version, all
 * problems of a refused folder, or the files that changed since the base version.
 */
final class ConfigHandler extends AdminHandler {
    /** Maximum size of a request body in bytes; 9,500 teams need about 5 MB. */
    static final int MAX_BODY_BYTES = 16 << 20;

    private final ConfigAccess mConfig;

    /** Creates the handler. */
    ConfigHandler(AdminToken token, ConfigAccess config) {
        super("/admin/config", Set.of("GET", "POST"), token);
        mConfig = config;
    }

    @Override
    protected Reply reply(HttpExchange exchange) throws IOException {
        if (exchange.getRequestMethod().equals("GET")) {
            return read();
        }
        byte[] body = exchange.getRequestBody().readNBytes(MAX_BODY_BYTES + 1);
        if (body.length > MAX_BODY_BYTES) {
            return invalid(
                    "The folder is larger than " + MAX_BODY_BYTES + " bytes. Remove old files.");
        }
        JsonNode json;
        try {
            json = Reply.JSON.readTree(body);
        } catch (JacksonException e) {
            return invalid("The body is not valid JSON. Use \"gentianwalk config apply\".");
        }
        return apply(json);
    }

    private Reply read() {
        ConfigState state = mConfig.state();
        Map<String, String> files = new TreeMap<>();
        state.folder()
                .files()
                .forEach(
                        (name, bytes) ->
                                files.put(name, new String(bytes, StandardCharsets.UTF_8)));
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("version", state.version());
        body.put("digest", HexFormat.of().formatHex(state.folder().digest()));
        body.put("files", files);
        return Reply.ok(body);
    }

    private Reply apply(@Nullable JsonNode json) {
        if (json == null
                || !json.path("base_version").isIntegralNumber()
                || !json.path("author").isTextual()
                || !json.path("files").isObject()) {
            return invalid(
                    "The body needs base_version (whole number), author (text) and files (texts by"
                            + " name). Use \"gentianwalk config apply\".");
        }
        Map<String, String> files = new HashMap<>();
        for (Map.Entry<String, JsonNode> file : json.path("files").properties()) {
            if (!file.getValue().isTextual()) {
                return invalid("The file " + file.getKey() + " is not a text.");
            }
            files.put(file.getKey(), file.getValue().textValue());
        }
        ApplyResult result =
                mConfig.apply(
                        ConfigFolder.ofTexts(files),
                        json.path("base_version").longValue(),
                        json.path("author").textValue());
        return reply(result);
    }

    private static Reply reply(ApplyResult result) {
        return switch (result) {
            case ApplyResult.Accepted accepted -> Reply.ok(Map.of("version", accepted.version()));
            case ApplyResult.Refused refused -> {
                List<String> problems = refused.problems().stream().map(Problem::toString).toList();
                yield Reply.error(
                        ErrorKind.INVALID_REQUEST,
                        "The folder has " + problems.size() + " problems and was not accepted.",
                        Map.of("problems", problems));
            }
            case ApplyResult.Conflict conflict -> conflict(conflict);
            case ApplyResult.Unavailable unavailable ->
                    Reply.error(
                            ErrorKind.STORE_UNAVAILABLE,
                            "The store does not answer ("
                                    + unavailable.cause()
                                    + "). Nothing was changed; apply the folder again later.",
                            Map.of());
            case ApplyResult.Unknown unknown ->
                    Reply.error(
                            ErrorKind.OUTCOME_UNKNOWN,
                            "The store did not say whether the change was accepted ("
                                    + unknown.cause()
                                    + "). Apply the same folder with the same base version again:"
                                    + " it is accepted once.",
                            Map.of());
        };
    }

    private static Reply conflict(ApplyResult.Conflict conflict) {
        String changed = String.join(", ", conflict.changedFiles());
        String message =
                Messages.format(
                        ErrorKind.CONFIG_CONFLICT.messageKey(),
                        String.valueOf(conflict.version()),
                        changed);
        return Reply.error(
                ErrorKind.CONFIG_CONFLICT,
                message,
                Map.of(
                        "version",
                        conflict.version(),
                        "author",
                        conflict.author(),
                        "changed_files",
                        conflict.changedFiles()));
    }

    private static Reply invalid(String message) {
        return Reply.error(ErrorKind.INVALID_REQUEST, message, Map.of());
    }
}
