package org.gentianwalk.server.control;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;
import org.gentianwalk.core.membership.Member;
import org.gentianwalk.core.membership.MemberView;
import org.gentianwalk.proto.CallAnswer;
import org.gentianwalk.proto.CallQuery;
import org.gentianwalk.proto.CallQueryReply;
import org.gentianwalk.proto.MessageType;
import org.gentianwalk.server.journal.CallPeers;
import org.gentianwalk.server.journal.JournalCallService;
import org.gentianwalk.server.mesh.MeshNode;
import org.gentianwalk.server.mesh.MeshPeer;
import org.jboss.logging.Logger;

/**
 * Queries other instances about their calls over the mesh.
 *
 * <p>Options: none. Example: {@code new MeshCallPeers(mesh, members::view)}.
 */
public final class MeshCallPeers implements CallPeers {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private static final Logger LOG = Logger.getLogger(MeshCallPeers.class);

    private final MeshNode mMesh;
    private final Supplier<MemberView> mMembers;

    /**
     * Creates a client of the peers.
     *
     * @param mesh the transport
     * @param members the membership
     */
    public MeshCallPeers(MeshNode mesh, Supplier<MemberView> members) {
        mMesh = mesh;
        mMembers = members;
    }

    /**
     * Starts to answer the queries of other instances.
     *
     * @param calls the calls of this instance
     */
    public void serve(JournalCallService calls) {
        mMesh.registerHandler(
                MessageType.CALL_QUERY,
                CallQuery.parser(),
                (sender, query, reply) ->
                        reply.send(
                                MessageType.CALL_QUERY_REPLY,
                                CallQueryReply.newBuilder()
                                        .setAnswer(calls.answer(query))
                                        .build()));
    }

    @Override
    public CallAnswer ask(String owner, long incarnation, CallQuery query) {
        Optional<Member> member = mMembers.get().find(owner);
        if (member.isEmpty() || member.get().incarnation() != incarnation) {
            return CallAnswer.NOT_KNOWN;
        }
        try {
            return mMesh.request(
                            MeshPeer.of(member.get()),
                            MessageType.CALL_QUERY,
                            query,
                            CallQueryReply.parser(),
                            TIMEOUT)
                    .join()
                    .getAnswer();
        } catch (CompletionException e) {
            LOG.debugf(e, "%s did not answer a call query", owner);
            return CallAnswer.NOT_KNOWN;
        }
    }
}
