package org.gentianwalk.core.config.schema;

import java.net.InetAddress;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.gentianwalk.core.config.tree.Node;

/** An IP address with or without a port; host names are rejected. Values are {@link String}s. */
public final class AddressType extends ValueType {
    private static final Pattern WITH_PORT = Pattern.compile("(.+):([0-9]{1,5})");
    private static final int MAX_PORT = 65535;

    private final boolean mWithPort;

    /**
     * Creates a type.
     *
     * @param withPort true when a port is required, false when none is accepted
     */
    AddressType(boolean withPort) {
        super(
                withPort ? "IP address and port" : "IP address",
                "-",
                withPort ? "10.1.0.7:9000" : "10.1.0.7");
        mWithPort = withPort;
    }

    @Override
    public ParseResult parse(Node.Scalar scalar) {
        if (scalar.type() != Node.ScalarType.STRING) {
            return new ParseResult.WrongType();
        }
        String host = scalar.text();
        if (mWithPort) {
            Matcher matcher = WITH_PORT.matcher(host);
            if (!matcher.matches()) {
                return new ParseResult.WrongType();
            }
            int port = Integer.parseInt(matcher.group(2));
            if (port < 1 || port > MAX_PORT) {
                return new ParseResult.WrongType();
            }
            host = matcher.group(1);
            if (host.startsWith("[") && host.endsWith("]")) {
                host = host.substring(1, host.length() - 1);
            } else if (host.contains(":")) {
                return new ParseResult.WrongType();
            }
        }
        return isIpAddress(host)
                ? new ParseResult.Accepted(scalar.text(), 0)
                : new ParseResult.WrongType();
    }

    private static boolean isIpAddress(String host) {
        try {
            InetAddress address = InetAddress.ofLiteral(host);
            return !address.isAnyLocalAddress();
        } catch (IllegalArgumentException expected) {
            return false;
        }
    }
}
