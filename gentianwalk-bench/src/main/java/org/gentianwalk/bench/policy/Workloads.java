package org.gentianwalk.bench.policy;

import java.util.ArrayList;
import java.util.List;
import org.gentianwalk.core.model.Rank;

/** Request streams used by several scenarios. */
final class Workloads {
    static final int TEAMS = 10;
    static final int LARGE_TEAMS = 2;
    static final double LARGE_SHARE = 0.3;
    private static final double DESK_LOAD = 0.2;

    private Workloads() {}

    /** Returns urgent and standard work of ten teams, given as fractions of the capacity. */
    static List<Stream> baseLoad(Deployment deployment, double urgent, double standard) {
        List<Stream> streams = new ArrayList<>();
        double small = (1 - LARGE_TEAMS * LARGE_SHARE) / (TEAMS - LARGE_TEAMS);
        for (int i = 0; i < TEAMS; i++) {
            double share = i < LARGE_TEAMS ? LARGE_SHARE : small;
            double main = share * deployment.capacity();
            double desk = share * deployment.deskCapacity() * DESK_LOAD;
            streams.add(urgent(deployment, team(i), urgent * main));
            streams.add(standard(deployment, team(i), standard * main));
            streams.add(desk(deployment, team(i), Rank.URGENT, desk));
            streams.add(desk(deployment, team(i), Rank.STANDARD, desk));
        }
        streams.removeIf(stream -> stream.tokensPerSecond() <= 0);
        return streams;
    }

    static String team(int number) {
        return "t" + number;
    }

    static Stream urgent(Deployment deployment, String team, double rate) {
        return new Stream(team, deployment.mainModel(), Rank.URGENT, rate, 800, 250);
    }

    static Stream standard(Deployment deployment, String team, double rate) {
        return new Stream(team, deployment.mainModel(), Rank.STANDARD, rate, 1_200, 300);
    }

    private static Stream desk(Deployment deployment, String team, Rank rank, double rate) {
        return new Stream(team, deployment.deskModel(), rank, rate, 400, 80);
    }
}
