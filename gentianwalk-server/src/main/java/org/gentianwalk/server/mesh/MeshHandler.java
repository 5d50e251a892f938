package org.gentianwalk.server.mesh;

import com.google.protobuf.MessageLite;
import org.gentianwalk.proto.MessageType;

/**
 * Handles the messages of one type.
 *
 * @param <T> class of the messages
 */
@FunctionalInterface
public interface MeshHandler<T extends MessageLite> {
    /**
     * Handles a message. Must not block when it runs on the event loop.
     *
     * @param sender the authenticated sender
     * @param message the message
     * @param reply sends the reply; may be called later, from any thread, or not at all
     */
    void handle(MeshSender sender, T message, Reply reply);

    /** Sends a reply over the connection on which the message arrived. */
    @FunctionalInterface
    interface Reply {
        /**
         * Sends the reply; it is dropped when the connection is closed.
         *
         * @param type its type
         * @param message the reply
         */
        void send(MessageType type, MessageLite message);
    }
}
