package org.gentianwalk.server.node;

import com.codahale.metrics.MetricRegistry;
import java.net.URI;
import org.gentianwalk.core.config.InstanceFile;
import org.gentianwalk.core.platform.InstanceList;
import org.gentianwalk.core.platform.ObjectStore;
import org.gentianwalk.core.platform.TableService;
import org.gentianwalk.core.platform.WeightStore;
import org.gentianwalk.server.platform.HttpInstances;
import org.gentianwalk.server.platform.HttpObjects;
import org.gentianwalk.server.platform.HttpTable;
import org.gentianwalk.server.platform.HttpWeights;
import org.gentianwalk.server.platform.PlatformHttp;

/** The clients of the platform's four services. */
final class PlatformClients implements AutoCloseable {
    private final PlatformHttp mTableHttp;
    private final PlatformHttp mObjectsHttp;
    private final PlatformHttp mInstancesHttp;
    private final PlatformHttp mWeightsHttp;
    private final TableService mTable;
    private final ObjectStore mObjects;
    private final InstanceList mInstances;
    private final WeightStore mWeights;

    PlatformClients(InstanceFile.Platform addresses, MetricRegistry registry) {
        mTableHttp = http(addresses.table(), registry);
        mObjectsHttp = http(addresses.objects(), registry);
        mInstancesHttp = http(addresses.instances(), registry);
        mWeightsHttp = http(addresses.weights(), registry);
        mTable = new HttpTable(mTableHttp);
        mObjects = new HttpObjects(mObjectsHttp);
        mInstances = new HttpInstances(mInstancesHttp);
        mWeights = new HttpWeights(mWeightsHttp);
    }

    TableService table() {
        return mTable;
    }

    ObjectStore objects() {
        return mObjects;
    }

    InstanceList instances() {
        return mInstances;
    }

    WeightStore weights() {
        return mWeights;
    }

    @Override
    public void close() {
        mTableHttp.close();
        mObjectsHttp.close();
        mInstancesHttp.close();
        mWeightsHttp.close();
    }

    private static PlatformHttp http(URI base, MetricRegistry registry) {
        return new PlatformHttp(
                new PlatformHttp.Options(
                        base, PlatformHttp.Options.CONNECT, PlatformHttp.Options.REQUEST),
                registry);
    }
}
