package org.gentianwalk.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.gentianwalk.gateway.wire.CallerHead;
import org.gentianwalk.gateway.wire.HeadText;
import org.gentianwalk.gateway.wire.MalformedHeadException;
import org.gentianwalk.gateway.wire.ResponseHead;
import org.gentianwalk.gateway.wire.UpstreamHead;
import org.gentianwalk.gateway.wire.WireDialect;
import org.jspecify.annotations.Nullable;

/** A dialect for tests, so that they do not depend on any platform. */
public class PlainDialect implements WireDialect {
    @Override
    public CallerHead parseCallerHead(HttpRequest request) throws MalformedHeadException {
        HttpHeaders headers = request.headers();
        if (headers.contains("x-bad")) {
            throw new MalformedHeadException("x-bad can't be read");
        }
        String timeout = headers.get("x-patience");
        return new CallerHead(
                headers.get("x-id", ""),
                timeout == null ? null : Duration.ofMillis(Long.parseLong(timeout)),
                headers.get("x-key"),
                headers.getInt("x-last", 0),
                null);
    }

    @Override
    public void setUpstreamHeaders(HttpHeaders headers, UpstreamHead head) {
        headers.set("x-left", head.timeLeft().toMillis());
        headers.set("x-run", head.upstreamId());
        headers.remove("x-team");
        if (head.team() != null) {
            headers.set("x-team", HeadText.encode(head.team()));
        }
        if (head.lastEvent() > 0) {
            headers.set("x-last", head.lastEvent());
        }
    }

    @Override
    public ResponseHead parseResponseHead(HttpResponse response) {
        HttpHeaders headers = response.headers();
        String keepAlive = headers.get("x-keep");
        int status = response.status().code();
        return new ResponseHead(
                headers.get("x-id"),
                status,
                status == 421 || headers.contains("x-not-run"),
                status == 421,
                null,
                headers.contains("x-signed"),
                headers.contains("x-events"),
                null,
                null,
                false,
                false,
                null,
                keepAlive == null ? null : Duration.ofSeconds(Long.parseLong(keepAlive)));
    }

    @Override
    public void removeInternalHeaders(HttpHeaders headers) {
        headers.remove("x-not-run");
    }

    @Override
    public String promptCachePath() {
        return "/kept";
    }

    @Override
    public String livenessPath() {
        return "/alive";
    }

    /** Parses a body that is a number. */
    @Override
    public @Nullable Long parseIncarnation(byte[] body) {
        String text = new String(body, StandardCharsets.UTF_8);
        return text.matches("[0-9]+") ? Long.valueOf(text) : null;
    }

    @Override
    public void setExpectedUpstream(HttpHeaders headers, String id) {
        headers.set("x-run", id);
    }

    @Override
    public List<Long> parsePromptCache(byte[] body) {
        return List.of();
    }

    @Override
    public String readinessPath() {
        return "/ready";
    }
}
