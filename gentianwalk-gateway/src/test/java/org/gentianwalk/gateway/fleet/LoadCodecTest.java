package org.gentianwalk.gateway.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.function.UnaryOperator;
import org.gentianwalk.core.dispatch.FleetRetryBudget;
import org.gentianwalk.core.dispatch.GenerationLoad;
import org.gentianwalk.core.dispatch.InstanceLoad;
import org.gentianwalk.core.dispatch.StatedLimit;
import org.gentianwalk.proto.EngineDoubt;
import org.gentianwalk.proto.RunLoad;
import org.gentianwalk.proto.ServiceLoad;
import org.gentianwalk.proto.SuspectEntry;
import org.gentianwalk.proto.UpstreamLimit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against numbers of a peer that are out of range and count as negative ones. */
class LoadCodecTest {
    /** An unsigned number of 32 bits that is negative as an int. */
    private static final int OUT_OF_RANGE = -5;

    private static final RunLoad RUN =
            RunLoad.newBuilder().setEngine("e").setPrompt(10).setMemory(20).setAgeMs(30).build();

    private static final EngineDoubt DOUBT =
            EngineDoubt.newBuilder().setEngine("e").setIncarnation(-1).setAgeMs(5).build();

    private static final SuspectEntry SUSPECT =
            SuspectEntry.newBuilder()
                    .setAgeMs(7)
                    .addLosses(1)
                    .addLossRequests(2)
                    .addLossAgesMs(7)
                    .build();

    private static final UpstreamLimit LIMIT =
            UpstreamLimit.newBuilder().setProcess("p").setRequestsPerS(3).setAgeMs(4).build();

    @Test
    void aValidLoadIsDecoded() {
        InstanceLoad load = decode(service -> service).getFirst();

        assertThat(load.usage()).isEqualTo(new FleetRetryBudget.Usage(9, 2));
        assertThat(load.waiting()).isEqualTo(3);
        assertThat(load.runs())
                .containsExactly(new GenerationLoad("e", 0, 10, 20, 30, false, "", false));
        assertThat(load.failures())
                .containsExactly(new InstanceLoad.EngineFailure("e", -1, 5, false));
        assertThat(load.suspects()).hasSize(1);
    }

    /** A negative number of retries would raise the retry budget of the fleet. */
    @Test
    void aReportWithCountsOutOfRangeIsDropped() {
        assertThat(decode(service -> service.setRetries(OUT_OF_RANGE))).isEmpty();
        assertThat(decode(service -> service.setRequests(OUT_OF_RANGE))).isEmpty();
        assertThat(decode(service -> service.setWaiting(OUT_OF_RANGE))).isEmpty();
        assertThat(decode(service -> service.setService(""))).isEmpty();
    }

    /** Negative memory would be free memory at an engine. */
    @Test
    void aRunOutOfRangeIsDropped() {
        assertRunDropped(RUN.toBuilder().setPrompt(OUT_OF_RANGE));
        assertRunDropped(RUN.toBuilder().setMemory(OUT_OF_RANGE));
        assertRunDropped(RUN.toBuilder().setAgeMs(OUT_OF_RANGE));
        assertRunDropped(RUN.toBuilder().clearEngine());
    }

    /** Evidence with a negative age would be from the future, and would not expire in time. */
    @Test
    void evidenceOutOfRangeIsDropped() {
        assertThat(decode(service -> service.setDoubts(0, old(DOUBT))).getFirst().failures())
                .isEmpty();
        assertThat(
                        decode(service -> service.setDoubts(0, DOUBT.toBuilder().clearEngine()))
                                .getFirst()
                                .failures())
                .isEmpty();
        assertThat(
                        decode(
                                        service ->
                                                service.setSuspects(
                                                        0,
                                                        SUSPECT.toBuilder()
                                                                .setLossAgesMs(0, OUT_OF_RANGE)))
                                .getFirst()
                                .suspects())
                .isEmpty();
    }

    /** An exception would end the processing of the notices on the control thread. */
    @ParameterizedTest
    @ValueSource(doubles = {Double.NaN, -1, Double.NEGATIVE_INFINITY})
    void aLimitThatIsNoNumberIsDropped(double limit) {
        assertThat(limits(LIMIT.toBuilder().setRequestsPerS(limit))).hasSize(1);
    }

    @Test
    void aLimitOutOfRangeIsDropped() {
        assertThat(limits(LIMIT.toBuilder().setAgeMs(OUT_OF_RANGE))).hasSize(1);
        assertThat(limits(LIMIT.toBuilder().clearProcess())).hasSize(1);
        assertThat(limits(LIMIT.toBuilder().setRequestsPerS(StatedLimit.NONE))).hasSize(2);
    }

    private static void assertRunDropped(RunLoad.Builder run) {
        assertThat(decode(service -> service.setRuns(0, run)).getFirst().runs()).isEmpty();
    }

    private static EngineDoubt old(EngineDoubt doubt) {
        return doubt.toBuilder().setAgeMs(OUT_OF_RANGE).build();
    }

    private static List<StatedLimit> limits(UpstreamLimit.Builder other) {
        return LoadCodec.decodeLimits(List.of(other.build(), LIMIT));
    }

    private static List<InstanceLoad> decode(UnaryOperator<ServiceLoad.Builder> change) {
        ServiceLoad.Builder service =
                ServiceLoad.newBuilder()
                        .setService("s")
                        .setNumber(1)
                        .setWaiting(3)
                        .setRequests(9)
                        .setRetries(2)
                        .addRuns(RUN)
                        .addDoubts(DOUBT)
                        .addSuspects(SUSPECT);
        return LoadCodec.decodeLoads(List.of(change.apply(service).build()));
    }
}
