package org.gentianwalk.gateway.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Removes hop-by-hop headers, which concern a single connection only (RFC 9110, 7.6.1). */
final class HopHeaders {
    private static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "proxy-connection",
                    "keep-alive",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "proxy-authorization",
                    "proxy-authenticate",
                    "content-length",
                    "expect");

    private HopHeaders() {}

    /** Returns a copy with the end-to-end headers only; the sender sets the content length anew. */
    static HttpHeaders endToEnd(HttpHeaders headers) {
        HttpHeaders result = new DefaultHttpHeaders();
        List<String> named = headers.getAll(HttpHeaderNames.CONNECTION);
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (HOP_BY_HOP.contains(name) || isNamed(named, name)) {
                continue;
            }
            result.add(header.getKey(), header.getValue());
        }
        return result;
    }

    private static boolean isNamed(List<String> connection, String name) {
        for (String value : connection) {
            for (String option : value.split(",")) {
                if (option.trim().equalsIgnoreCase(name)) {
                    return true;
                }
            }
        }
        return false;
    }
}
