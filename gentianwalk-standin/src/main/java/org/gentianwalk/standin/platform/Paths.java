package org.gentianwalk.standin.platform;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/** Keys in the paths of requests. */
final class Paths {
    private Paths() {}

    /** The key after a prefix of the path; a plus sign stands for itself in a path. */
    static String key(String rawPath, String prefix) {
        String rest = rawPath.substring(prefix.length()).replace("+", "%2B");
        return URLDecoder.decode(rest, StandardCharsets.UTF_8);
    }

    static String encode(String key) {
        return URLEncoder.encode(key, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
