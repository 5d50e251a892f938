package org.gentianwalk.scenario;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeoutException;
import org.gentianwalk.core.config.ConfigFolder;
import org.gentianwalk.core.config.InstanceFile;
import org.gentianwalk.core.config.version.ApplyResult;
import org.gentianwalk.core.model.Capability;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.platform.InstanceList;
import org.gentianwalk.server.mesh.MeshException;
import org.gentianwalk.server.node.ServingNode;
import org.gentianwalk.standin.engine.EngineOptions;
import org.gentianwalk.standin.engine.EngineStandin;
import org.gentianwalk.standin.platform.FaultSwitch;
import org.gentianwalk.standin.platform.PlatformStandin;
import org.gentianwalk.standin.service.ServiceStandin;
import org.jspecify.annotations.Nullable;

/** The instances and stand-ins of a scenario, on loopback in one process. */
final class ScenarioCluster implements AutoCloseable {
    private static final String DEFAULT_REGION = "region-1";
    private static final Duration START_TIMEOUT = Duration.ofSeconds(15);
    private static final int ENGINE_SLOTS = 16;

    private final Map<String, EngineStandin> mEngines = new LinkedHashMap<>();
    private final Map<EngineStandin, Location> mEnginePlaces = new LinkedHashMap<>();
    private final ServiceStandin.Ledger mLedger = new ServiceStandin.Ledger();
    private final Map<ServiceStandin, Location> mServices = new LinkedHashMap<>();
    private final FaultSwitch mStoreFaults = new FaultSwitch();
    private final PlatformStandin mPlatform;
    private final Map<String, Location> mPlaces = new LinkedHashMap<>();
    private final Map<String, Slot> mSlots = new ConcurrentHashMap<>();
    private final Map<String, byte[]> mFolder;

    /** A running instance behind its relays. */
    private record Slot(ServingNode node, LinkRelay mesh, LinkRelay platform) {}

    ScenarioCluster(Scenario.Topology topology, long seed)
            throws IOException, MeshException, TimeoutException, InterruptedException {
        mPlatform = PlatformStandin.start(PlatformStandin.Options.onFreePort(), mStoreFaults);
        startEngines(topology);
        for (int i = 0; i < 2; i++) {
            Location place = firstPlace(topology);
            mServices.put(
                    ServiceStandin.start(ScenarioSettings.SERVICE, mLedger, 0, seed + i), place);
        }
        mFolder = ScenarioSettings.folder(mEnginePlaces, mServices);
        int number = 1;
        for (Map.Entry<String, Integer> zone : new TreeMap<>(topology.instances()).entrySet()) {
            for (int i = 0; i < zone.getValue(); i++) {
                String id = "instance-" + number++;
                mPlaces.put(id, place(topology, zone.getKey()));
            }
        }
        for (String id : mPlaces.keySet()) {
            startInstance(id);
        }
        ServingNode first = node("instance-1");
        if (!(first.config().apply(new ConfigFolder(mFolder), 0, "scenario")
                instanceof ApplyResult.Accepted)) {
            throw new IllegalStateException("the scenario's settings were refused");
        }
        awaitReady();
    }

    List<String> instances() {
        return List.copyOf(mPlaces.keySet());
    }

    List<EngineStandin> engines() {
        return List.copyOf(mEngines.values());
    }

    EngineStandin engine(String id) {
        EngineStandin engine = mEngines.get(id);
        if (engine == null) {
            throw new IllegalArgumentException("no engine " + id + " in " + mEngines.keySet());
        }
        return engine;
    }

    ServiceStandin.Ledger ledger() {
        return mLedger;
    }

    FaultSwitch storeFaults() {
        return mStoreFaults;
    }

    Map<String, byte[]> folder() {
        return mFolder;
    }

    /** Returns a running instance, or null while it is stopped. */
    @Nullable ServingNode find(String id) {
        Slot slot = mSlots.get(id);
        return slot == null ? null : slot.node();
    }

    ServingNode node(String id) {
        ServingNode node = find(id);
        if (node == null) {
            throw new IllegalArgumentException("instance " + id + " does not run");
        }
        return node;
    }

    /** Returns the instances that a balancer would send callers to. */
    List<ServingNode> ready() {
        List<ServingNode> ready = new ArrayList<>();
        for (String id : mPlaces.keySet()) {
            ServingNode node = find(id);
            if (node != null && node.isReady()) {
                ready.add(node);
            }
        }
        return ready;
    }

    void startInstance(String id) throws IOException, MeshException {
        Location place = mPlaces.get(id);
        if (place == null) {
            throw new IllegalArgumentException("no instance " + id + " in " + mPlaces.keySet());
        }
        LinkRelay platform =
                new LinkRelay(new InetSocketAddress("127.0.0.1", mPlatform.uri().getPort()), false);
        InstanceFile file =
                ScenarioSettings.instance(
                        id, place, java.net.URI.create("http://127.0.0.1:" + platform.port()));
        List<LinkRelay> mesh = new ArrayList<>();
        ServingNode node =
                ServingNode.start(
                        file,
                        port -> {
                            try {
                                mesh.add(
                                        new LinkRelay(
                                                new InetSocketAddress("127.0.0.1", port), true));
                            } catch (IOException e) {
                                throw new java.io.UncheckedIOException(e);
                            }
                            return mesh.getFirst().port();
                        });
        mSlots.put(id, new Slot(node, mesh.getFirst(), platform));
        mPlatform
                .instances()
                .put(
                        new InstanceList.Entry(
                                id,
                                InstanceList.Kind.INSTANCE,
                                "127.0.0.1:" + mesh.getFirst().port(),
                                place,
                                InstanceList.State.LIVE));
    }

    /** Ends an instance abruptly. */
    void killInstance(String id) throws IOException {
        Slot slot = mSlots.remove(id);
        if (slot != null) {
            slot.mesh().close();
            slot.platform().close();
            slot.node().close();
        }
    }

    /** Stops an instance gracefully and waits until it has ended. */
    void stopInstance(String id) throws IOException, InterruptedException {
        Slot slot = mSlots.get(id);
        if (slot != null) {
            slot.node().stop();
            mSlots.remove(id, slot);
            slot.mesh().close();
            slot.platform().close();
        }
    }

    /** Cuts an instance off from all others and from the platform, or connects it again. */
    void isolate(String id, boolean isolated) {
        for (Map.Entry<String, Slot> entry : mSlots.entrySet()) {
            boolean self = entry.getKey().equals(id);
            entry.getValue().mesh().freeze(peer -> isolated && (self || peer.equals(id)));
            if (self) {
                entry.getValue().platform().freeze(peer -> isolated);
            }
        }
    }

    /** Makes the instance list say that an engine is leaving; the list lags. */
    void drainEngine(String id) {
        EngineStandin engine = engine(id);
        mPlatform
                .instances()
                .put(
                        new InstanceList.Entry(
                                id,
                                InstanceList.Kind.UPSTREAM,
                                engine.uri().getAuthority(),
                                java.util.Objects.requireNonNull(mEnginePlaces.get(engine)),
                                InstanceList.State.LEAVING));
    }

    @Override
    public void close() throws IOException {
        for (String id : List.copyOf(mSlots.keySet())) {
            killInstance(id);
        }
        mEngines.values().forEach(EngineStandin::close);
        mServices.keySet().forEach(ServiceStandin::close);
        mPlatform.close();
    }

    private void startEngines(Scenario.Topology topology) throws IOException {
        int number = 1;
        for (Map.Entry<String, Integer> zone : new TreeMap<>(topology.engines()).entrySet()) {
            for (int i = 0; i < zone.getValue(); i++) {
                EngineOptions options =
                        EngineOptions.of("engine-" + number++, ScenarioSettings.MODEL)
                                .withSlots(ENGINE_SLOTS)
                                .withTiming(
                                        new EngineOptions.Timing(
                                                Duration.ofNanos(100_000),
                                                topology.tokenDelay(),
                                                Duration.ofMillis(200)));
                if (!topology.resume()) {
                    var capabilities = java.util.EnumSet.allOf(Capability.class);
                    capabilities.remove(Capability.RESUME);
                    options = options.withCapabilities(capabilities);
                }
                EngineStandin engine = EngineStandin.start(options, 0);
                mEngines.put(options.id(), engine);
                mEnginePlaces.put(engine, place(topology, zone.getKey()));
            }
        }
    }

    private void awaitReady() throws TimeoutException, InterruptedException {
        long until = System.nanoTime() + START_TIMEOUT.toNanos();
        while (ready().size() < mPlaces.size() || !isMeshComplete()) {
            if (System.nanoTime() > until) {
                throw new TimeoutException(
                        "only "
                                + ready().size()
                                + " of "
                                + mPlaces.size()
                                + " instances are ready");
            }
            Thread.sleep(20);
        }
    }

    private boolean isMeshComplete() {
        return mSlots.values().stream()
                .allMatch(slot -> slot.node().members().view().usable().size() == mPlaces.size());
    }

    private static Location place(Scenario.Topology topology, String zone) {
        return new Location(topology.regions().getOrDefault(zone, DEFAULT_REGION), zone);
    }

    private static Location firstPlace(Scenario.Topology topology) {
        return place(topology, new TreeMap<>(topology.instances()).firstKey());
    }
}
