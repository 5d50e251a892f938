package org.gentianwalk.server.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import org.gentianwalk.core.membership.Member;
import org.gentianwalk.core.membership.MemberView;
import org.gentianwalk.proto.ConfigAnnounce;
import org.gentianwalk.proto.ConfigContent;
import org.gentianwalk.proto.ConfigPull;
import org.gentianwalk.proto.MessageType;
import org.gentianwalk.server.config.ConfigPeers;
import org.gentianwalk.server.config.ConfigService;
import org.gentianwalk.server.mesh.MeshNode;
import org.gentianwalk.server.mesh.MeshPeer;
import org.jboss.logging.Logger;

/**
 * Pulls and announces configuration versions over the mesh.
 *
 * <p>Options: none. Example: {@code new MeshConfigPeers(mesh, members::view)}.
 */
public final class MeshConfigPeers implements ConfigPeers {
    /**
     * Allows for two round trips between regions and the transfer of a whole configuration folder.
     */
    private static final Duration PULL_TIMEOUT = Duration.ofSeconds(1);

    private static final Logger LOG = Logger.getLogger(MeshConfigPeers.class);

    private final MeshNode mMesh;
    private final Supplier<MemberView> mMembers;

    /**
     * Creates a client of the peers.
     *
     * @param mesh the transport
     * @param members the membership
     */
    public MeshConfigPeers(MeshNode mesh, Supplier<MemberView> members) {
        mMesh = mesh;
        mMembers = members;
    }

    /**
     * Starts to answer pulls and to forward announcements.
     *
     * @param config the configuration of this instance
     */
    public void serve(ConfigService config) {
        mMesh.registerHandler(
                MessageType.CONFIG_PULL,
                ConfigPull.parser(),
                (sender, pull, reply) ->
                        reply.send(
                                MessageType.CONFIG_CONTENT,
                                config.contentSince(pull.getHaveVersion())));
        mMesh.registerHandler(
                MessageType.CONFIG_ANNOUNCE,
                ConfigAnnounce.parser(),
                (sender, announce, reply) ->
                        config.onPeerVersion(sender.id(), announce.getVersion()));
    }

    @Override
    public Optional<ConfigContent> pull(String peer, long haveVersion) {
        Optional<Member> member = mMembers.get().find(peer);
        if (member.isEmpty()) {
            return Optional.empty();
        }
        ConfigPull pull = ConfigPull.newBuilder().setHaveVersion(haveVersion).build();
        try {
            return Optional.of(
                    mMesh.request(
                                    MeshPeer.of(member.get()),
                                    MessageType.CONFIG_PULL,
                                    pull,
                                    ConfigContent.parser(),
                                    PULL_TIMEOUT)
                            .join());
        } catch (CompletionException e) {
            LOG.debugf(e, "%s did not send its configuration", peer);
            return Optional.empty();
        }
    }

    @Override
    public void announce(long version) {
        List<Member> others = new ArrayList<>(mMembers.get().members());
        others.removeIf(member -> member.id().equals(mMembers.get().self().id()));
        Collections.shuffle(others, ThreadLocalRandom.current());
        ConfigAnnounce announce = ConfigAnnounce.newBuilder().setVersion(version).build();
        for (Member member : others.subList(0, Math.min(FANOUT, others.size()))) {
            mMesh.send(MeshPeer.of(member), MessageType.CONFIG_ANNOUNCE, announce);
        }
    }
}
