package org.gentianwalk.server.mesh;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import org.gentianwalk.core.membership.Member;

/**
 * An instance that receives messages.
 *
 * @param id its identifier
 * @param address IP address and port of its mesh listener, such as {@code 10.1.0.7:7400}
 */
public record MeshPeer(String id, String address) {
    /**
     * Returns the peer for a member.
     *
     * @param member the member
     * @return its identifier and address
     */
    public static MeshPeer of(Member member) {
        return new MeshPeer(member.id(), member.address());
    }

    // Host names are not accepted, since their lookup would block the calling thread.
    InetSocketAddress socketAddress() throws MeshException {
        int colon = address.lastIndexOf(':');
        try {
            return new InetSocketAddress(
                    InetAddress.ofLiteral(address.substring(0, Math.max(colon, 0))),
                    Integer.parseInt(address.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            throw new MeshException(
                    "address " + address + " of " + id + " is not an IP address and port", e);
        }
    }
}
