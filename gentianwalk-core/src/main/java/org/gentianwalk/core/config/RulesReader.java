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
import org.gentianwalk.core.config.schema.View;
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
    private static final double NO_RATE = 1;

    private Map<String, Known<Team>> mTeams = new HashMap<>();
    private Map<String, Known<UpstreamInfo>> mEngines = new HashMap<>();
    private Node.Mapping mTree = new Node.Mapping(Source.DEFAULT, Map.of());
    private View mRoot = new View(FolderSchema.ROOT, mTree);

    /** Rules cached with the part of the tree from which they were read. */
    private record Known<T>(Node node, T rules) {}

    private record Team(TeamRules rules, List<String> keys) {}

    /** Reads the rules of the team or engine with a given name. */
    private interface PartReader<T> {
        T read(String name);
    }

    /** Reads a tree that passed the checks. */
    MergedConfig read(Node.Mapping tree, long version) {
        Node.Mapping before = mTree;
        View root = new View(FolderSchema.ROOT, tree);
        boolean sameKinds = same(before, tree, "kinds") && same(before, tree, "branches");
        boolean sameTypes = same(before, tree, "zones") && same(before, tree, "engine-types");
        mRoot = root;
        // If reading fails halfway, the next read must not reuse anything.
        mTree = new Node.Mapping(Source.DEFAULT, Map.of());
        RuleResolver resolver = new RuleResolver(root);
        // Most teams have equal rules; sharing the objects saves memory at 9,500 teams.
        Map<WorkRule, WorkRule> shared = new HashMap<>();
        mTeams =
                update(
                        sameKinds ? mTeams : Map.of(),
                        tree.entries().get("teams"),
                        name -> team(resolver, name, shared));
        mEngines =
                update(
                        sameTypes ? mEngines : Map.of(),
                        tree.entries().get("engines"),
                        this::engine);
        MergedConfigBuilder builder = new MergedConfigBuilder().version(version).root(tree);
        mTeams.forEach(
                (name, known) -> builder.team(name, known.rules().keys(), known.rules().rules()));
        mEngines.values().forEach(known -> builder.engine(known.rules()));
        root.named("models")
                .forEach((name, view) -> builder.model(name, (int) view.requiredNumber("context")));
        root.named("services").forEach((name, view) -> builder.service(service(name, view)));
        builder.limits(limits(root.section("limits")))
                .policy(policy(root.section("policy")))
                .replication(replication(root.section("replication")));
        mTree = tree;
        return builder.build();
    }

    private static boolean same(Node.Mapping before, Node.Mapping now, String key) {
        return Objects.equals(before.entries().get(key), now.entries().get(key));
    }

    private static <T> Map<String, Known<T>> update(
            Map<String, Known<T>> known, @Nullable Node group, PartReader<T> reader) {
        Map<String, Known<T>> next = new LinkedHashMap<>();
        if (group instanceof Node.Mapping mapping) {
            for (Map.Entry<String, Node> entry : mapping.entries().entrySet()) {
                Known<T> old = known.get(entry.getKey());
                Node node = entry.getValue();
                boolean unchanged = old != null && (old.node() == node || old.node().equals(node));
                next.put(
                        entry.getKey(),
                        old != null && unchanged
                                ? old
                                : new Known<>(node, reader.read(entry.getKey())));
            }
        }
        return next;
    }

    private static Team team(RuleResolver resolver, String team, Map<WorkRule, WorkRule> shared) {
        View view = resolver.team(team);
        Map<String, WorkRule> rules = new HashMap<>();
        for (View.Text kind : view.texts("kinds")) {
            WorkRule rule = resolver.rule(team, kind.text());
            rules.put(kind.text(), shared.computeIfAbsent(rule, same -> same));
        }
        List<String> keys = view.texts("keys").stream().map(View.Text::text).toList();
        return new Team(
                new TeamRules(
                        view.requiredText("branch"), view.requiredText("default-kind"), rules),
                keys);
    }

    private UpstreamInfo engine(String id) {
        View engine = Objects.requireNonNull(mRoot.named("engines", id), id);
        @Nullable String typeName = engine.text("type");
        @Nullable View type = typeName == null ? null : mRoot.named("engine-types", typeName);
        Set<Capability> capabilities =
                names(layer(engine, type, "capabilities"), "capabilities").stream()
                        .map(name -> Capability.valueOf(name.toUpperCase(Locale.ROOT)))
                        .collect(Collectors.toSet());
        return new UpstreamInfo(
                id,
                uri(engine),
                location(engine),
                names(layer(engine, type, "models"), "models"),
                (int) layer(engine, type, "slots").requiredNumber("slots"),
                layer(engine, type, "output-rate").requiredNumber("output-rate"),
                layer(engine, type, "prefill-rate").requiredNumber("prefill-rate"),
                capabilities);
    }

    private ServiceRule service(String name, View service) {
        List<UpstreamInfo> upstreams = new ArrayList<>();
        service.named("upstreams")
                .forEach(
                        (id, view) ->
                                upstreams.add(
                                        new UpstreamInfo(
                                                id,
                                                uri(view),
                                                location(view),
                                                Set.of(),
                                                (int) view.requiredNumber("connections"),
                                                NO_RATE,
                                                NO_RATE,
                                                Set.of())));
        List<Operation> operations =
                service.sections("operations").stream()
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

    private Location location(View upstream) {
        String zone = upstream.requiredText("zone");
        View view = mRoot.named("zones", zone);
        if (view == null) {
            throw new IllegalStateException("unknown availability zone " + zone);
        }
        return new Location(view.requiredText("region"), zone);
    }

    private static URI uri(View upstream) {
        return URI.create("http://" + upstream.requiredText("address"));
    }

    private static View layer(View engine, @Nullable View type, String key) {
        return engine.has(key) || type == null ? engine : type;
    }

    private static Set<String> names(View view, String key) {
        Set<String> names = new HashSet<>();
        view.texts(key).forEach(text -> names.add(text.text()));
        return names;
    }

    private static Limits limits(View view) {
        return new Limits(
                (int) view.requiredNumber("max-body"),
                view.requiredDuration("body-timeout"),
                view.requiredDuration("queue-timeout"),
                view.requiredDuration("reconnect-grace"),
                view.requiredDuration("write-timeout"));
    }

    private static PolicyRules policy(View view) {
        return new PolicyRules(
                view.requiredNumber("standard-share"),
                view.requiredNumber("retry-budget"),
                (long) view.requiredNumber("queue-bound"),
                (int) view.requiredNumber("max-attempts"),
                view.requiredDuration("stall-timeout"),
                view.requiredNumber("max-ejected"),
                (long) (view.requiredNumber("region-link") / BITS_PER_BYTE));
    }

    private static ReplicationRules replication(View view) {
        return new ReplicationRules(
                (int) view.requiredNumber("copies"),
                view.flag("cross-region"),
                (long) view.requiredNumber("memory"),
                view.requiredDuration("retention"),
                view.requiredDuration("ack-timeout"),
                view.requiredText("when-alone").equals("release"));
    }
}
