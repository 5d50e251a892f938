package org.gentianwalk.core.config;

import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;
import org.gentianwalk.core.config.ServingRules.Limits;
import org.gentianwalk.core.config.ServingRules.Operation;
import org.gentianwalk.core.config.ServingRules.ServiceRule;
import org.gentianwalk.core.config.ServingRules.WorkRule;
import org.gentianwalk.core.config.schema.FolderSchema;
import org.gentianwalk.core.config.schema.SectionView;
import org.gentianwalk.core.config.tree.Node;
import org.gentianwalk.core.config.tree.Source;
import org.gentianwalk.core.model.Capability;
import org.gentianwalk.core.model.Location;
import org.gentianwalk.core.model.UpstreamInfo;
import org.jspecify.annotations.Nullable;

/**
 * Converts a checked tree to the rules that the serving path reads. Rules of teams and engines
 * whose part of the tree is unchanged since the previous read are reused: reading 9,500 teams and
 * 12,000 engines again for each of 31,000 changes a day would exceed the share of a core that is
 * budgeted for control work.
 */
final class RulesReader {
    private static final int BITS_PER_BYTE = 8;

    /** Placeholder rate of plain services, since {@link UpstreamInfo} requires positive rates. */
    private static final double PLACEHOLDER_RATE = 1;

    private Map<String, CachedPart<TeamEntry>> mTeams = new HashMap<>();
    private Map<String, CachedPart<UpstreamInfo>> mEngines = new HashMap<>();
    private Node.Mapping mTree = new Node.Mapping(Source.DEFAULT, Map.of());
    private SectionView mRoot = new SectionView(FolderSchema.ROOT, mTree);

    /** Rules cached with the part of the tree from which they were read. */
    private record CachedPart<T>(Node node, T rules) {}

    private record TeamEntry(TeamRules rules, List<String> keys) {}

    /** Reads the rules of the team or engine with a given name. */
    private interface PartReader<T> {
        T read(String name);
    }

    /** Reads a tree that passed the checks. */
    MergedConfig read(Node.Mapping tree, long version) {
        Node.Mapping previousTree = mTree;
        SectionView root = new SectionView(FolderSchema.ROOT, tree);
        boolean teamsReusable =
                isUnchanged(previousTree, tree, "kinds")
                        && isUnchanged(previousTree, tree, "branches");
        boolean enginesReusable =
                isUnchanged(previousTree, tree, "zones")
                        && isUnchanged(previousTree, tree, "engine-types");
        mRoot = root;
        // If reading fails halfway, the next read must not reuse anything.
        mTree = new Node.Mapping(Source.DEFAULT, Map.of());
        RuleResolver resolver = new RuleResolver(root);
        // Most teams have equal rules; sharing the objects saves memory at 9,500 teams.
        Map<WorkRule, WorkRule> shared = new HashMap<>();
        mTeams =
                update(
                        teamsReusable ? mTeams : Map.of(),
                        tree.entries().get("teams"),
                        name -> team(resolver, name, shared));
        mEngines =
                update(
                        enginesReusable ? mEngines : Map.of(),
                        tree.entries().get("engines"),
                        this::engine);
        MergedConfigBuilder builder = new MergedConfigBuilder().version(version).root(tree);
        mTeams.forEach(
                (name, cached) ->
                        builder.team(name, cached.rules().keys(), cached.rules().rules()));
        mEngines.values().forEach(cached -> builder.engine(cached.rules()));
        root.sectionsByName("models")
                .forEach((name, view) -> builder.model(name, (int) view.requiredNumber("context")));
        root.sectionsByName("services")
                .forEach((name, view) -> builder.service(service(name, view)));
        builder.limits(limits(root.section("limits")))
                .policy(policy(root.section("policy")))
                .replication(replication(root.section("replication")));
        mTree = tree;
        return builder.build();
    }

    private static boolean isUnchanged(Node.Mapping before, Node.Mapping now, String key) {
        return Objects.equals(before.entries().get(key), now.entries().get(key));
    }

    private static <T> Map<String, CachedPart<T>> update(
            Map<String, CachedPart<T>> cached, @Nullable Node group, PartReader<T> reader) {
        Map<String, CachedPart<T>> next = new LinkedHashMap<>();
        if (group instanceof Node.Mapping mapping) {
            for (Map.Entry<String, Node> entry : mapping.entries().entrySet()) {
                CachedPart<T> previous = cached.get(entry.getKey());
                Node node = entry.getValue();
                boolean unchanged =
                        previous != null
                                && (previous.node() == node || previous.node().equals(node));
                next.put(
                        entry.getKey(),
                        previous != null && unchanged
                                ? previous
                                : new CachedPart<>(node, reader.read(entry.getKey())));
            }
        }
        return next;
    }

    private static TeamEntry team(
            RuleResolver resolver, String team, Map<WorkRule, WorkRule> shared) {
        SectionView view = resolver.team(team);
        Map<String, WorkRule> rules = new HashMap<>();
        for (SectionView.Text kind : view.texts("kinds")) {
            WorkRule rule = resolver.rule(team, kind.text());
            rules.put(kind.text(), shared.computeIfAbsent(rule, same -> same));
        }
        List<String> keys = view.texts("keys").stream().map(SectionView.Text::text).toList();
        return new TeamEntry(
                new TeamRules(
                        view.requiredText("branch"), view.requiredText("default-kind"), rules),
                keys);
    }

    private UpstreamInfo engine(String id) {
        SectionView engine = Objects.requireNonNull(mRoot.sectionByName("engines", id), id);
        @Nullable String typeName = engine.text("type");
        @Nullable SectionView type =
                typeName == null ? null : mRoot.sectionByName("engine-types", typeName);
        Set<Capability> capabilities =
                names(sectionWith(engine, type, "capabilities"), "capabilities").stream()
                        .map(name -> Capability.valueOf(name.toUpperCase(Locale.ROOT)))
                        .collect(Collectors.toSet());
        return new UpstreamInfo(
                id,
                uri(engine),
                location(engine),
                names(sectionWith(engine, type, "models"), "models"),
                (int) sectionWith(engine, type, "slots").requiredNumber("slots"),
                sectionWith(engine, type, "output-rate").requiredNumber("output-rate"),
                sectionWith(engine, type, "prefill-rate").requiredNumber("prefill-rate"),
                capabilities);
    }

    private ServiceRule service(String name, SectionView service) {
        List<UpstreamInfo> upstreams = new ArrayList<>();
        service.sectionsByName("upstreams")
                .forEach(
                        (id, view) ->
                                upstreams.add(
                                        new UpstreamInfo(
                                                id,
                                                uri(view),
                                                location(view),
                                                Set.of(),
                                                (int) view.requiredNumber("connections"),
                                                PLACEHOLDER_RATE,
                                                PLACEHOLDER_RATE,
                                                Set.of())));
        List<Operation> operations =
                service.sectionList("operations").stream()
                        .map(
                                view ->
                                        new Operation(
                                                view.requiredText("method"),
                                                view.requiredText("path"),
                                                view.flag("repeatable"),
                                                view.requiredDuration("timeout")))
                        .toList();
        return new ServiceRule(name, upstreams, operations, service.text("lookup-path"));
    }

    private Location location(SectionView upstream) {
        String zone = upstream.requiredText("zone");
        SectionView view = mRoot.sectionByName("zones", zone);
        if (view == null) {
            throw new IllegalStateException("unknown availability zone " + zone);
        }
        return new Location(view.requiredText("region"), zone);
    }

    private static URI uri(SectionView upstream) {
        return URI.create("http://" + upstream.requiredText("address"));
    }

    private static SectionView sectionWith(
            SectionView engine, @Nullable SectionView type, String key) {
        return engine.has(key) || type == null ? engine : type;
    }

    private static Set<String> names(SectionView view, String key) {
        Set<String> names = new HashSet<>();
        view.texts(key).forEach(text -> names.add(text.text()));
        return names;
    }

    private static Limits limits(SectionView view) {
        return new Limits(
                (int) view.requiredNumber("max-body"),
                view.requiredDuration("body-timeout"),
                view.requiredDuration("queue-timeout"),
                view.requiredDuration("reconnect-grace"),
                view.requiredDuration("write-timeout"));
    }

    private static PolicyRules policy(SectionView view) {
        return new PolicyRules(
                view.requiredNumber("standard-share"),
                view.requiredNumber("retry-budget"),
                (long) view.requiredNumber("queue-bound"),
                (int) view.requiredNumber("max-attempts"),
                view.requiredDuration("stall-timeout"),
                view.requiredNumber("max-ejected"),
                (long) (view.requiredNumber("region-link") / BITS_PER_BYTE));
    }

    private static ReplicationRules replication(SectionView view) {
        return new ReplicationRules(
                (int) view.requiredNumber("copies"),
                view.flag("cross-region"),
                (long) view.requiredNumber("memory"),
                view.requiredDuration("retention"),
                view.requiredDuration("ack-timeout"),
                view.requiredText("when-alone").equals("release"));
    }
}
