package org.gentianwalk.bench.policy;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.gentianwalk.core.model.Capability;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.model.UpstreamInfo;

/** The two deployments and their sizes (section 1.1 of the design page). */
public enum Deployment {
    /** Printing and catalogue company in Georgia. */
    KVALI(
            9,
            new Location("tbilisi", "tbilisi-a"),
            new Location("tbilisi", "tbilisi-b"),
            new Location("kutaisi", "kutaisi-a"),
            "catalogue-writer",
            25,
            "order-desk"),
    /** Leasing company in Flanders. */
    VAN_DAELE(
            6,
            new Location("west-flanders", "brugge"),
            new Location("west-flanders", "kortrijk"),
            new Location("east-flanders", "gent"),
            "drafting",
            17,
            "desk");

    static final int SLOTS = 16;
    static final double TOKENS_PER_SECOND = 400;
    static final double PREFILL_PER_SECOND = 8_000;
    private static final int DESK_ENGINES = 3;

    private final int mInstances;
    private final List<Location> mZones;
    private final String mMainModel;
    private final int mMainEngines;
    private final String mDeskModel;

    Deployment(
            int instances,
            Location first,
            Location second,
            Location third,
            String mainModel,
            int mainEngines,
            String deskModel) {
        mInstances = instances;
        mZones = List.of(first, second, third);
        mMainModel = mainModel;
        mMainEngines = mainEngines;
        mDeskModel = deskModel;
    }

    String mainModel() {
        return mMainModel;
    }

    String deskModel() {
        return mDeskModel;
    }

    List<Location> zones() {
        return mZones;
    }

    Map<String, Location> instances() {
        Map<String, Location> instances = new TreeMap<>();
        for (int i = 0; i < mInstances; i++) {
            instances.put("i" + i, mZones.get(i % mZones.size()));
        }
        return instances;
    }

    List<UpstreamInfo> engines() {
        List<UpstreamInfo> engines = new ArrayList<>();
        for (int i = 0; i < mMainEngines; i++) {
            engines.add(engine(mMainModel, i));
        }
        for (int i = 0; i < DESK_ENGINES; i++) {
            engines.add(engine(mDeskModel, i));
        }
        return engines;
    }

    /** Returns the nominal capacity of the main model, tokens per second. */
    double capacity() {
        return mMainEngines * TOKENS_PER_SECOND;
    }

    double deskCapacity() {
        return DESK_ENGINES * TOKENS_PER_SECOND;
    }

    /** Returns the main model's capacity in one region, tokens per second. */
    double capacity(String region) {
        return engines().stream()
                .filter(e -> e.models().contains(mMainModel))
                .filter(e -> e.location().region().equals(region))
                .mapToDouble(UpstreamInfo::tokensPerSecond)
                .sum();
    }

    private UpstreamInfo engine(String model, int number) {
        return new UpstreamInfo(
                model + "-" + number,
                URI.create("http://127.0.0.1:1"),
                mZones.get(number % mZones.size()),
                Set.of(model),
                SLOTS,
                TOKENS_PER_SECOND,
                PREFILL_PER_SECOND,
                Set.of(
                        Capability.RESUME,
                        Capability.CANCEL,
                        Capability.PRIORITY,
                        Capability.CACHE_EVENTS));
    }
}
