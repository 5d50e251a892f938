package org.gentianwalk.core.membership;

import com.google.protobuf.MessageLite;
import org.gentianwalk.proto.MessageType;

/**
 * A message to be sent for the membership.
 *
 * @param target identifier of the receiver
 * @param address its address
 * @param type the message's type
 * @param message the message
 */
public record Outgoing(String target, String address, MessageType type, MessageLite message) {}
