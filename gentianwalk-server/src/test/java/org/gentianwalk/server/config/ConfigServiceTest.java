package org.gentianwalk.server.config;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.gentianwalk.core.config.ConfigFolder;
import org.gentianwalk.core.config.version.ApplyResult;
import org.gentianwalk.core.config.version.ConfigState;
import org.gentianwalk.proto.ConfigCommit;
import org.gentianwalk.proto.ConfigContent;
import org.gentianwalk.proto.ConfigHead;

class ConfigServiceTest {
    private static final int CHANGES = 500;
    private static final int MAX_ATTEMPTS = 5000;

    private int mSerial;
    private int mNested;
    private final Map<String, Integer> mResults = new java.util.TreeMap<>();

    private record AcceptedChange(long version, ConfigFolder folder) {}

    private static ConfigFolder changed(ConfigFolder folder, String operator, int serial) {
        String name = "50-" + operator + "-" + serial % 20 + ".yaml";
        String text = "limits: {max-body: " + (1 + serial % 60) + "MiB} # change " + serial + "\n";
        return folder.with(Map.of(name, text.getBytes(StandardCharsets.UTF_8)), List.of());
    }

    /**
     * Guards against an accepted change that is lost, a version that decreases and a change that is
     * accepted but reported as rejected.
     */
    @Property(tries = 6, seed = "20261204")
    void twoOperatorsNeverLoseAnAcceptedChange(@ForAll @LongRange(min = 0, max = 1 << 20) long seed)
            throws InvalidProtocolBufferException {
        ConfigFleet fleet = new ConfigFleet(seed, 6);
        mSerial = 0;
        mResults.clear();
        fleet.commitBase();
        heal(fleet);
        fleet.mStore.mFaultRate = 0.15;
        List<AcceptedChange> accepted = new ArrayList<>();
        List<ConfigFolder> rejected = new ArrayList<>();
        fleet.mStore.mBeforeWrite =
                () -> {
                    if (mNested == 0 && fleet.mRandom.nextInt(4) == 0) {
                        mNested++;
                        change(fleet, "b", accepted, rejected);
                        mNested--;
                    }
                };
        while (accepted.size() < CHANGES && mSerial < MAX_ATTEMPTS) {
            fleet.mStore.mDown = mSerial % 50 >= 45;
            boolean partition = mSerial % 40 >= 25;
            fleet.mInstances.subList(0, 2).forEach(each -> each.mPartitioned = partition);
            fleet.mInstances.getFirst().mAccess.mDisconnected = partition;
            fleet.mInstances.get(1).mAccess.mDisconnected = partition;
            change(fleet, "a", accepted, rejected);
            if (fleet.mRandom.nextInt(3) == 0) {
                fleet.mStore.deliverLateWrites();
            }
            fleet.tick();
        }
        heal(fleet);
        check(fleet, accepted, rejected);
    }

    private void change(
            ConfigFleet fleet,
            String operator,
            List<AcceptedChange> accepted,
            List<ConfigFolder> rejected) {
        ConfigService service = fleet.anyInstance().mService;
        ConfigState start = service.state();
        ConfigFolder folder = changed(start.folder(), operator, ++mSerial);
        ApplyResult result = service.apply(folder, start.version(), operator);
        mResults.merge(result.getClass().getSimpleName(), 1, Integer::sum);
        switch (result) {
            case ApplyResult.Accepted ok -> accepted.add(new AcceptedChange(ok.version(), folder));
            case ApplyResult.Conflict conflict -> {
                assertThat(conflict.changedFiles()).isNotEmpty();
                rejected.add(folder);
            }
            case ApplyResult.Unavailable ignored -> rejected.add(folder);
            case ApplyResult.Unknown ignored -> {}
            case ApplyResult.Refused refused -> throw new AssertionError(refused.problems());
        }
    }

    private static void heal(ConfigFleet fleet) {
        fleet.mStore.deliverLateWrites();
        fleet.mStore.mBeforeWrite = () -> {};
        fleet.mStore.mDown = false;
        fleet.mStore.mFaultRate = 0;
        fleet.mInstances.forEach(
                each -> {
                    each.mPartitioned = false;
                    each.mAccess.mDisconnected = false;
                });
        long newest = fleet.mStore.mHeadHistory.size();
        long healed = fleet.mNowMs;
        while (!fleet.hasConverged(newest) && fleet.mNowMs - healed < 60_000) {
            fleet.tick();
        }
        assertThat(fleet.mNowMs - healed).as("ms until in force everywhere").isLessThan(5000);
    }

    private void check(
            ConfigFleet fleet, List<AcceptedChange> accepted, List<ConfigFolder> rejected)
            throws InvalidProtocolBufferException {
        List<ConfigHead> heads = new ArrayList<>();
        for (byte[] value : fleet.mStore.mHeadHistory) {
            heads.add(ConfigHead.parseFrom(value));
        }
        for (int i = 0; i < heads.size(); i++) {
            assertThat(heads.get(i).getVersion()).isEqualTo(i + 1);
            List<ConfigCommit> recent = heads.get(i).getRecentList();
            assertThat(recent).hasSizeLessThanOrEqualTo(64);
            assertThat(recent.getLast().getVersion()).isEqualTo(i + 1);
        }
        for (AcceptedChange change : accepted) {
            byte[] digest = heads.get((int) change.version() - 1).getDigest().toByteArray();
            assertThat(digest).isEqualTo(change.folder().digest());
        }
        for (ConfigFolder folder : rejected) {
            assertThat(heads).noneMatch(head -> sameDigest(head, folder));
        }
        assertThat(fleet.mInconsistencies).isZero();
        assertThat(accepted).hasSizeGreaterThanOrEqualTo(CHANGES);
        assertThat(mResults).containsKeys("Conflict", "Unavailable");
        assertThat(fleet.mStore.mLostResponses).isGreaterThan(20);
        assertThat(fleet.mStore.mObjects.size()).as("objects left").isLessThan(CHANGES / 10);
        System.out.println(
                "config changes: "
                        + mResults
                        + ", lost responses "
                        + fleet.mStore.mLostResponses
                        + ", versions "
                        + heads.size()
                        + ", objects left "
                        + fleet.mStore.mObjects.size());
    }

    private static boolean sameDigest(ConfigHead head, ConfigFolder folder) {
        return java.util.Arrays.equals(head.getDigest().toByteArray(), folder.digest());
    }

    /**
     * Guards against an instance that can't start, or starts without rules, during a store outage.
     */
    @Example
    void anInstanceStartsFromAPeerWhileTheStoreIsDown() {
        ConfigFleet fleet = new ConfigFleet(1, 3);
        fleet.commitBase();
        fleet.mStore.mDown = true;
        ConfigFleet.Instance starting = fleet.mInstances.get(2);
        assertThat(starting.mService.poll()).isFalse();
        assertThat(starting.mService.currentRules().teams()).isEmpty();
        starting.probe(fleet.mInstances.getFirst());
        fleet.tick();
        assertThat(starting.mService.currentRules().version()).isEqualTo(1);
        assertThat(starting.mService.currentRules().teams()).containsExactly("vera");
    }

    /** Guards against an object store that fills up, and a startup that needs deleted objects. */
    @Example
    void oneSnapshotIsLeftAndIsEnoughToStart() {
        ConfigFleet fleet = new ConfigFleet(3, 2);
        fleet.commitBase();
        ConfigService service = fleet.mInstances.getFirst().mService;
        for (int i = 1; i <= 100; i++) {
            ConfigFolder folder = changed(service.state().folder(), "a", i);
            assertThat(service.apply(folder, i, "a")).isEqualTo(new ApplyResult.Accepted(i + 1));
        }
        assertThat(fleet.mStore.mObjects).hasSize(1);
        ConfigService starting = fleet.mInstances.get(1).mService;
        assertThat(starting.poll()).isTrue();
        assertThat(starting.state().folder()).isEqualTo(service.state().folder());
        assertThat(starting.currentRules().version()).isEqualTo(101);
    }

    /** Guards against damaged or older content from a peer replacing the content in force. */
    @Example
    void damagedAndOlderContentChangesNothing() {
        ConfigFleet fleet = new ConfigFleet(2, 2);
        fleet.commitBase();
        ConfigState base = fleet.mInstances.getFirst().mService.state();
        ConfigContent whole = base.contentSince(0);
        ConfigState empty = ConfigState.NONE;
        ConfigContent damaged =
                whole.toBuilder()
                        .setFiles(
                                0,
                                whole.getFiles(0).toBuilder()
                                        .setContent(
                                                com.google.protobuf.ByteString.copyFromUtf8(
                                                        "teams: {}")))
                        .build();
        assertThat(empty.update(damaged)).isInstanceOf(ConfigState.UpdateResult.Corrupt.class);
        ConfigState later =
                ((ConfigState.UpdateResult.Updated)
                                base.update(
                                        ConfigState.fullContent(5, changed(base.folder(), "a", 1))))
                        .state();
        assertThat(later.update(whole)).isInstanceOf(ConfigState.UpdateResult.NotNewer.class);
        ConfigContent delta = later.contentSince(1);
        assertThat(delta.getFilesCount()).isEqualTo(1);
        assertThat(empty.update(delta)).isInstanceOf(ConfigState.UpdateResult.Gap.class);
        assertThat(((ConfigState.UpdateResult.Updated) base.update(delta)).state().folder())
                .isEqualTo(later.folder());
    }

    /** Guards against a change that reaches a large fleet too late. */
    @Example
    void aChangeIsInForceAt350InstancesWithin5Seconds() {
        long probesOnly = slowestConvergenceMs(false);
        long slowest = slowestConvergenceMs(true);
        System.out.println(
                "350 instances: in force everywhere after at most "
                        + slowest
                        + " ms, by probes alone "
                        + probesOnly
                        + " ms");
        assertThat(slowest).isLessThan(5000).isLessThan(probesOnly);
    }

    private static long slowestConvergenceMs(boolean announces) {
        long slowest = 0;
        for (long seed = 0; seed < 5; seed++) {
            ConfigFleet fleet = new ConfigFleet(seed, 350);
            fleet.mAnnounces = announces;
            fleet.commitBase();
            long start = fleet.mNowMs;
            while (!fleet.hasConverged(1) && fleet.mNowMs - start < 60_000) {
                fleet.tick();
            }
            slowest = Math.max(slowest, fleet.mNowMs - start);
        }
        return slowest;
    }
}
