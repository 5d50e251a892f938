package org.gentianwalk.server.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.gentianwalk.core.config.ConfigFolder;
import org.gentianwalk.core.config.version.ApplyResult;
import org.gentianwalk.core.config.version.PollSchedule;
import org.gentianwalk.core.hash.Rendezvous;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.proto.ConfigContent;

/** Simulates instances on a virtual clock that probe each other once a second. */
final class ConfigFleet {
    static final String BASE =
            """
            zones: {z-a: {region: north}}
            models: {writer: {}}
            engines:
              e-1: {address: "10.0.0.1:9000", zone: z-a, models: [writer], slots: 2,
                    output-rate: 100tokens/s, prefill-rate: 1ktokens/s}
            kinds: {quote: {rank: urgent}}
            teams:
              vera: {branch: hill, keys: [KEY], kinds: [quote], default-kind: quote}
            """
                    .replace("KEY", "a".repeat(64));

    final FaultyStore mStore;
    final List<Instance> mInstances = new ArrayList<>();
    final Random mRandom;
    long mNowMs;
    boolean mAnnounces = true;

    /**
     * Inconsistencies observed: a version that decreased, or one version with different contents.
     */
    int mInconsistencies;

    private final List<Runnable> mTasks = new ArrayList<>();
    private final Map<Long, ConfigFolder> mFolderByVersion = new TreeMap<>();

    ConfigFleet(long seed, int size) {
        mStore = new FaultyStore(seed);
        mRandom = new Random(seed + 1);
        for (int i = 0; i < size; i++) {
            mInstances.add(new Instance("i-" + i, i));
        }
    }

    final class Instance implements ConfigPeers {
        final String mId;
        final int mPhaseMs;
        final FaultyStore.Access mAccess = mStore.new Access();
        final ConfigService mService;
        boolean mPartitioned;
        private long mLastVersion;

        Instance(String id, int index) {
            mId = id;
            mPhaseMs = index * 137 % 1000;
            ConfigService.Timing timing =
                    new ConfigService.Timing(() -> mNowMs, mRandom::nextLong, time -> {});
            mService =
                    new ConfigService(
                            mAccess.table(),
                            mAccess.objects(),
                            this,
                            ConfigListener.NONE,
                            timing,
                            mTasks::add);
        }

        @Override
        public Optional<ConfigContent> pull(String peer, long have) {
            Instance other = instanceById(peer);
            return other.mPartitioned == mPartitioned
                    ? Optional.of(other.mService.contentSince(have))
                    : Optional.empty();
        }

        @Override
        public void announce(long version) {
            for (int i = 0; i < FANOUT && mAnnounces; i++) {
                probe(anyInstance());
            }
        }

        void probe(Instance other) {
            if (other != this && other.mPartitioned == mPartitioned) {
                other.mService.onPeerVersion(mId, mService.version());
                mService.onPeerVersion(other.mId, other.mService.version());
            }
        }

        void observe() {
            long version = mService.version();
            if (version < mLastVersion || mService.currentRules().version() != version) {
                mInconsistencies++;
            }
            ConfigFolder folder = mService.state().folder();
            ConfigFolder known = mFolderByVersion.putIfAbsent(version, folder);
            if (known != null && !known.equals(folder)) {
                mInconsistencies++;
            }
            mLastVersion = version;
        }
    }

    Instance instanceById(String id) {
        return mInstances.stream().filter(each -> each.mId.equals(id)).findFirst().orElseThrow();
    }

    Instance anyInstance() {
        return mInstances.get(mRandom.nextInt(mInstances.size()));
    }

    /**
     * Advances the clock by 100 ms, the duration of a pull or announcement; each instance probes
     * and polls once a second.
     */
    void tick() {
        mNowMs += 100;
        List<Runnable> tasks = List.copyOf(mTasks);
        mTasks.clear();
        tasks.forEach(Runnable::run);
        for (Instance instance : mInstances) {
            if ((mNowMs + instance.mPhaseMs) / 100 % 10 != 0) {
                continue;
            }
            instance.probe(anyInstance());
            List<String> reachable =
                    mInstances.stream()
                            .filter(each -> each.mPartitioned == instance.mPartitioned)
                            .map(each -> each.mId)
                            .toList();
            Location place = new Location("north", "z-a");
            Rendezvous<String> members = new Rendezvous<>(reachable, id -> id, id -> place);
            if (PollSchedule.isPoller(members, id -> id, instance.mId, mNowMs)) {
                instance.mService.poll();
            }
        }
        mInstances.forEach(Instance::observe);
    }

    void commitBase() {
        Instance first = mInstances.getFirst();
        ApplyResult result =
                first.mService.apply(
                        ConfigFolder.ofTexts(Map.of("00-base.yaml", BASE)), 0, "operator");
        assertThat(result).isEqualTo(new ApplyResult.Accepted(1));
    }

    long newest() {
        return mInstances.stream().mapToLong(each -> each.mService.version()).max().orElseThrow();
    }

    boolean hasConverged(long version) {
        return mInstances.stream().allMatch(each -> each.mService.version() == version);
    }
}
